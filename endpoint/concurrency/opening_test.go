package concurrency

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAPoolThatOpensIsNotRemembered opens a pool before a crowd: for a second its first map
// leaves a skew of 3.2 and every pass reads as many prompts as it can, which adds 50 ms; then
// a good map is in force. The limit of the opening holds until it is filled, and two seconds
// after it the pool may use most of its slots.
func TestAPoolThatOpensIsNotRemembered(t *testing.T) {
	is := is.New(t)
	var l Limiter
	cfg := config
	cfg.InitialLimit = 70
	l.Reset(0, cfg)
	running, limit, most := 0.0, 0.0, 0.0
	for now := 100 * time.Millisecond; now < 4*time.Second; now += 50 * time.Millisecond {
		p := pool{fixed: 18.2, each: 5, skew: 1.1}
		pause := p.pause(running)
		if now < 1200*time.Millisecond {
			p.skew = 3.2
			pause = p.pause(running) + 50*time.Millisecond
			most = max(most, limit)
		}
		l.Observe(now, pause, cfg)
		limit = l.Update(now, cfg, running)
		running += 0.3 * (min(limit, 130) - running)
	}
	is.True(most <= cfg.InitialLimit)
	is.True(limit > 0.8*float64(cfg.Slots))
}

// TestAFilledPoolIsNotTakenForOneThatOpens starts an entry beside others that have filled the
// pool.
func TestAFilledPoolIsNotTakenForOneThatOpens(t *testing.T) {
	is := is.New(t)
	cfg := config
	cfg.InitialLimit = 70
	var filled, idle Limiter
	is.Equal(filled.Update(time.Second, cfg, 100), float64(cfg.Slots))
	is.Equal(idle.Update(time.Second, cfg, 3), cfg.InitialLimit)
}
