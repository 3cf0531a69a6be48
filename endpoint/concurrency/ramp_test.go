package concurrency

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFillingPoolIsNotTreatedAsSlow fills a pool with 90 calls within a second while the
// known number of calls lags by 300 ms, as reports do. Gaps stay at two thirds of MaxGap,
// so the limit must allow most of the slots.
func TestFillingPoolIsNotTreatedAsSlow(t *testing.T) {
	is := is.New(t)
	var l Limiter
	p := pool{fixed: 29, perCall: 2.2, skew: 3.3}
	cfg := Config{MaxGap: 120 * time.Millisecond, FixedGap: 29 * time.Millisecond, Slots: 192}
	calls := func(now time.Duration) float64 { return max(0, min(90*now.Seconds(), 90)) }
	var limit float64
	for now := time.Duration(0); now < 4*time.Second; now += 50 * time.Millisecond {
		l.Observe(now, p.gap(calls(now)), cfg)
		if now%(100*time.Millisecond) == 0 {
			limit = l.Update(now, cfg, calls(now-300*time.Millisecond))
		}
	}
	is.True(p.gap(90) < 80*time.Millisecond)
	is.True(limit > 130)
}

// TestOneDelayedStepDoesNotLowerLimit simulates one step of 200 ms among steps of 60 ms,
// which must not lower the limit, and then five, which must.
func TestOneDelayedStepDoesNotLowerLimit(t *testing.T) {
	is := is.New(t)
	limitAfter := func(slow int) (limit float64) {
		var l Limiter
		for step := range 60 {
			now := time.Duration(step) * 60 * time.Millisecond
			gap := 60 * time.Millisecond
			if step >= 40 && step < 40+slow {
				gap = 200 * time.Millisecond
			}
			l.Observe(now, gap, config)
			limit = l.Update(now, config, 100)
		}
		return limit
	}
	is.Equal(limitAfter(1), limitAfter(0))
	is.True(limitAfter(5) < limitAfter(0)/2)
}
