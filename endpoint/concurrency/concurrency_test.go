package concurrency

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// pool models a group whose step time grows with the number of calls and with the skew
// of the expert load. Times are in milliseconds.
type pool struct{ fixed, perCall, skew float64 }

func (p pool) gap(running float64) time.Duration {
	return time.Duration((p.fixed + p.perCall*running/16*(0.15+0.85*p.skew)) * float64(time.Millisecond))
}

var config = Config{MaxGap: 120 * time.Millisecond, FixedGap: 18200 * time.Microsecond, Slots: 192}

// simulate runs a pool at its limit, as under overload, for the given length. It returns
// the last limit, and the mean number of running calls and the worst gap of the second half.
func simulate(l *Limiter, p pool, from, length time.Duration, running float64) (limit, mean float64, worst time.Duration) {
	steps := 0
	for now := from; now < from+length; now += 100 * time.Millisecond {
		gap := p.gap(running)
		l.Observe(now, gap, config)
		limit = l.Update(now, config, running)
		running += 0.3 * (limit - running)
		if now > from+length/2 {
			mean += running
			steps++
			worst = max(worst, gap)
		}
	}
	return limit, mean / float64(steps), worst
}

func TestOverloadStaysWithinMaxGap(t *testing.T) {
	for _, skew := range []float64{1, 1.5, 3} {
		is := is.New(t)
		var l Limiter
		p := pool{fixed: 18.2, perCall: 5, skew: skew}
		_, running, worst := simulate(&l, p, 0, 20*time.Second, 192)
		is.True(worst <= config.MaxGap)                             // no stream is late
		full := p.gap(192) <= config.MaxGap                         // all slots may be used
		used := p.gap(running) >= config.MaxGap*7/10                // or most of MaxGap is used
		is.True(full || used || running <= minSlotRatio*192*1.0001) // or the minimum limit applies
	}
}

// TestSlowPeriodsSetLimit simulates a pool whose skew rises for 0.5 s every 3.5 s. The
// limit must be low enough for these periods, since one late chunk makes a stream late.
func TestSlowPeriodsSetLimit(t *testing.T) {
	is := is.New(t)
	var l Limiter
	running := 192.0
	late, steps := 0, 0
	for now := time.Duration(0); now < 60*time.Second; now += 50 * time.Millisecond {
		p := pool{fixed: 18.2, perCall: 4.2, skew: 1.3}
		if now%(3500*time.Millisecond) < 500*time.Millisecond {
			p.skew = 3.2
		}
		gap := p.gap(running)
		l.Observe(now, gap, config)
		limit := l.Update(now, config, running)
		running += 0.15 * (limit - running)
		if now > 10*time.Second {
			steps++
			if gap > config.MaxGap {
				late++
			}
		}
	}
	is.True(late*50 < steps)
}

func TestLimitRecoversWhenSkewEnds(t *testing.T) {
	is := is.New(t)
	var l Limiter
	skewed, _, _ := simulate(&l, pool{fixed: 18.2, perCall: 5, skew: 3}, 0, 5*time.Second, 192)
	even, _, _ := simulate(&l, pool{fixed: 18.2, perCall: 5, skew: 1.1}, 5*time.Second, 12*time.Second, skewed)
	is.True(even > 1.5*skewed)
}

func TestStallsDoNotLowerLimit(t *testing.T) {
	is := is.New(t)
	var l Limiter
	for now := time.Duration(0); now < 5*time.Second; now += 100 * time.Millisecond {
		l.Observe(now, 1500*time.Millisecond, config)
		is.Equal(l.Update(now, config, 100), 192.0)
	}
}

func TestLimitIsSlotsWithoutMaxGap(t *testing.T) {
	is := is.New(t)
	var l Limiter
	for now := time.Duration(0); now < time.Second; now += 100 * time.Millisecond {
		l.Observe(now, time.Second, Config{})
		is.Equal(l.Update(now, Config{Slots: 10}, 10), 10.0)
	}
}

func TestSlowPoolKeepsMinimumLimit(t *testing.T) {
	is := is.New(t)
	var l Limiter
	limit, _, _ := simulate(&l, pool{fixed: 500, perCall: 5, skew: 1}, 0, 20*time.Second, 192)
	is.True(limit >= minSlotRatio*192*0.99)
}
