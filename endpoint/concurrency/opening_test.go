package concurrency

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOpeningDoesNotAffectLaterLimit opens a pool for which many callers wait. For about a
// second its first expert map has a skew of 3.2, and prefill adds 50 ms to every step; then a
// balanced map takes effect. The initial limit must hold until the pool is filled, and two
// seconds later the pool must be allowed most of its slots.
func TestOpeningDoesNotAffectLaterLimit(t *testing.T) {
	is := is.New(t)
	var l Limiter
	cfg := config
	cfg.InitialLimit = 70
	l.Reset(0, cfg)
	running, limit, most := 0.0, 0.0, 0.0
	for now := 100 * time.Millisecond; now < 4*time.Second; now += 50 * time.Millisecond {
		p := pool{fixed: 18.2, perCall: 5, skew: 1.1}
		gap := p.gap(running)
		if now < 1200*time.Millisecond {
			p.skew = 3.2
			gap = p.gap(running) + 50*time.Millisecond
			most = max(most, limit)
		}
		l.Observe(now, gap, cfg)
		limit = l.Update(now, cfg, running)
		running += 0.3 * (min(limit, 130) - running)
	}
	is.True(most <= cfg.InitialLimit)
	is.True(limit > 0.8*float64(cfg.Slots))
}

// TestFilledPoolIsNotTreatedAsOpening covers an entry that starts when other entries have
// already filled the pool.
func TestFilledPoolIsNotTreatedAsOpening(t *testing.T) {
	is := is.New(t)
	cfg := config
	cfg.InitialLimit = 70
	var filled, idle Limiter
	is.Equal(filled.Update(time.Second, cfg, 100), float64(cfg.Slots))
	is.Equal(idle.Update(time.Second, cfg, 3), cfg.InitialLimit)
}
