package concurrency

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// pool is a group whose steps take longer with more calls and a higher skew.
type pool struct{ fixed, each, skew float64 }

func (p pool) pause(running float64) time.Duration {
	return time.Duration((p.fixed + p.each*running/16*(0.15+0.85*p.skew)) * float64(time.Millisecond))
}

var config = Config{MaxGap: 120 * time.Millisecond, FixedGap: 18200 * time.Microsecond, Slots: 192}

// play runs a pool at its limit, as under a flood of callers, for a time.
func play(l *Limiter, p pool, from, length time.Duration, running float64) (limit, mean float64, worst time.Duration) {
	steps := 0
	for now := from; now < from+length; now += 100 * time.Millisecond {
		pause := p.pause(running)
		l.Observe(now, pause, config)
		limit = l.Update(now, config, running)
		running += 0.3 * (limit - running)
		if now > from+length/2 {
			mean += running
			steps++
			worst = max(worst, pause)
		}
	}
	return limit, mean / float64(steps), worst
}

func TestAFloodKeepsThePace(t *testing.T) {
	for _, skew := range []float64{1, 1.5, 3} {
		is := is.New(t)
		var l Limiter
		p := pool{fixed: 18.2, each: 5, skew: skew}
		_, running, worst := play(&l, p, 0, 20*time.Second, 192)
		is.True(worst <= config.MaxGap)                      // streams stay in time
		full := p.pause(192) <= config.MaxGap                // unless the slots bind
		used := p.pause(running) >= config.MaxGap*7/10       // the pace is made use of
		is.True(full || used || running <= least*192*1.0001) // and no more is left idle than needed
	}
}

// TestSlowMomentsSetTheLimit plays a pool whose skew jumps for half a second every
// three and a half: a stream is late for one late part.
func TestSlowMomentsSetTheLimit(t *testing.T) {
	is := is.New(t)
	var l Limiter
	running := 192.0
	late, passes := 0, 0
	for now := time.Duration(0); now < 60*time.Second; now += 50 * time.Millisecond {
		p := pool{fixed: 18.2, each: 4.2, skew: 1.3}
		if now%(3500*time.Millisecond) < 500*time.Millisecond {
			p.skew = 3.2
		}
		pause := p.pause(running)
		l.Observe(now, pause, config)
		limit := l.Update(now, config, running)
		running += 0.15 * (limit - running)
		if now > 10*time.Second {
			passes++
			if pause > config.MaxGap {
				late++
			}
		}
	}
	is.True(late*50 < passes)
}

func TestWhatEndsTheSkewGivesTheRoomBack(t *testing.T) {
	is := is.New(t)
	var l Limiter
	skewed, _, _ := play(&l, pool{fixed: 18.2, each: 5, skew: 3}, 0, 5*time.Second, 192)
	even, _, _ := play(&l, pool{fixed: 18.2, each: 5, skew: 1.1}, 5*time.Second, 12*time.Second, skewed)
	is.True(even > 1.5*skewed)
}

func TestAStallIsNoLoad(t *testing.T) {
	is := is.New(t)
	var l Limiter
	for now := time.Duration(0); now < 5*time.Second; now += 100 * time.Millisecond {
		l.Observe(now, 1500*time.Millisecond, config)
		is.Equal(l.Update(now, config, 100), 192.0)
	}
}

func TestWithoutAPromiseTheSlotsAreTheLimit(t *testing.T) {
	is := is.New(t)
	var l Limiter
	for now := time.Duration(0); now < time.Second; now += 100 * time.Millisecond {
		l.Observe(now, time.Second, Config{})
		is.Equal(l.Update(now, Config{Slots: 10}, 10), 10.0)
	}
}

func TestASlowPoolIsNotLeftIdle(t *testing.T) {
	is := is.New(t)
	var l Limiter
	limit, _, _ := play(&l, pool{fixed: 500, each: 5, skew: 1}, 0, 20*time.Second, 192)
	is.True(limit >= least*192*0.99)
}
