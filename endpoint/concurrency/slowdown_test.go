package concurrency

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowConfig and slowPool are a group of 63 ranks whose passes take 62 ms at 320 calls, and 158 ms
// with one rank that is 2.26 times slower.
var (
	slowConfig = Config{MaxGap: 120 * time.Millisecond, FixedGap: 34 * time.Millisecond, Slots: 504}
	slowPool   = pool{fixed: 34, perCall: 1.4, skew: 1}
)

// overload runs slowPool at its limit. slowdownAt returns the slowdown at a time, reported the one
// that the entry knows then; nil if the limiter is not told of it. It returns the limits after each
// update, every 100 ms.
func overload(length time.Duration, slowdownAt func(time.Duration) float64, reported func(time.Duration) float64) (limits []float64) {
	var l Limiter
	running := 320.0
	nextGap := time.Duration(0)
	for now := time.Duration(0); now < length; now += 10 * time.Millisecond {
		if now >= nextGap {
			gap := time.Duration(slowdownAt(now) * float64(slowPool.gap(running)))
			l.Observe(now, gap, slowConfig)
			nextGap = now + gap
		}
		if now%(100*time.Millisecond) != 0 {
			continue
		}
		if reported != nil {
			l.SetSlowdown(now, reported(now), slowConfig)
		}
		limit := l.Update(now, slowConfig, running)
		running += 0.3 * (limit - running)
		limits = append(limits, limit)
	}
	return limits
}

// during returns a slowdown that lasts from one time to another, delayed as reports are.
func during(from, to time.Duration, slowdown float64, delay time.Duration) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now >= from+delay && now < to+delay {
			return slowdown
		}
		return nominalSlowdown
	}
}

const reportLag = 150 * time.Millisecond

// TestLimitFollowsSlowdownAndRecovery guards against a limit that lags behind a slow rank, and that
// stays low for the six seconds in which slow windows count after the rank has recovered.
func TestLimitFollowsSlowdownAndRecovery(t *testing.T) {
	is := is.New(t)
	const from, to = 10 * time.Second, 18 * time.Second
	for _, slowdown := range []float64{1.3, 1.6, 2.26, 3, 6, 12} {
		told := overload(30*time.Second, during(from, to, slowdown, 0), during(from, to, slowdown, reportLag))
		untold := overload(30*time.Second, during(from, to, slowdown, 0), nil)
		at := func(limits []float64, now time.Duration) float64 { return limits[now/(100*time.Millisecond)] }
		before, after := at(told, from), at(told, from+500*time.Millisecond)
		gap := time.Duration(slowdown * float64(slowPool.gap(after)))
		t.Logf("slowdown %.2f: limit %.0f before, %.0f after 0.5 s (gap %v), %.0f at the end, %.0f at 0.6 s after the recovery; not told: %.0f, %.0f, %.0f",
			slowdown, before, after, gap, at(told, to), at(told, to+600*time.Millisecond),
			at(untold, from+500*time.Millisecond), at(untold, to), at(untold, to+600*time.Millisecond))
		switch lowest := minSlotRatio * float64(slowConfig.Slots); {
		case slowdown <= 3:
			is.True(gap <= slowConfig.MaxGap || after < 1.01*lowest)
		default: // no limit meets MaxGap: as if the limiter were not told
			is.True(after >= at(untold, from+500*time.Millisecond))
		}
		for now := to + 600*time.Millisecond; now < 30*time.Second; now += 100 * time.Millisecond {
			is.True(at(told, now) >= 0.95*before)
		}
		if slowdown == 2.26 {
			is.True(at(untold, to+600*time.Millisecond) < 0.8*before)
		}
	}
}

// TestNominalSlowdownChangesNoLimit guards against any effect on groups without a slow rank, among
// them groups that are slow for another reason.
func TestNominalSlowdownChangesNoLimit(t *testing.T) {
	is := is.New(t)
	uneven := func(now time.Duration) float64 {
		return during(3*time.Second, 4*time.Second, 2.5, 0)(now % (5 * time.Second))
	}
	for _, reported := range []float64{0, 1, 1.05, 0.5} {
		is.Equal(overload(30*time.Second, uneven, func(time.Duration) float64 { return reported }), overload(30*time.Second, uneven, nil))
	}
}

// TestAlternatingSlowdownKeepsLowLimit guards against a slowdown that changes with each report and so
// discards all observations, or lets the limit rise and fall.
func TestAlternatingSlowdownKeepsLowLimit(t *testing.T) {
	is := is.New(t)
	alternating := func(now time.Duration) float64 {
		if now > 10*time.Second && now < 15*time.Second && now/(100*time.Millisecond)%2 == 0 {
			return 2.26
		}
		return nominalSlowdown
	}
	limits := overload(20*time.Second, during(10*time.Second, 15*time.Second, 2.26, 0), alternating)
	for _, limit := range limits[105:150] {
		is.True(limit < 0.7*limits[100])
	}
	is.True(limits[156] >= 0.95*limits[100])
}

// TestLimitRisesOnceTheMapFitsTheSlowdown guards against a limit that the steps with the old map keep
// low for six seconds, although the new map is in force 0.6 s after the slowdown.
func TestLimitRisesOnceTheMapFitsTheSlowdown(t *testing.T) {
	is := is.New(t)
	var l Limiter
	const slowAt, remappedAt = 10 * time.Second, 10600 * time.Millisecond
	running, nextGap := 320.0, time.Duration(0)
	for now := time.Duration(0); now < 14*time.Second; now += 10 * time.Millisecond {
		if now >= nextGap {
			p := slowPool
			switch {
			case now >= remappedAt:
				p.fixed *= 2.26 // the calls and experts of the slow rank have moved
			case now >= slowAt:
				p.fixed, p.perCall = 2.26*p.fixed, 2.26*p.perCall
			}
			gap := p.gap(running)
			l.Observe(now, gap, slowConfig)
			nextGap = now + gap
		}
		if now%(100*time.Millisecond) != 0 {
			continue
		}
		l.SetSlowdown(now, during(slowAt, 20*time.Second, 2.26, reportLag)(now), slowConfig)
		limit := l.Update(now, slowConfig, running)
		running += 0.3 * (limit - running)
	}
	best := (targetRatio*float64(slowConfig.MaxGap.Milliseconds()) - 2.26*slowPool.fixed) / slowPool.perCall * 16
	t.Logf("limit %.0f, the map allows %.0f", l.limit, best)
	is.True(l.limit >= 0.9*min(best, float64(slowConfig.Slots)))
}

// TestSlowGroupThatOpensKeepsItsInitialLimit guards against a group that opens with a slow rank and
// is filled to its last slot because nothing has been observed yet.
func TestSlowGroupThatOpensKeepsItsInitialLimit(t *testing.T) {
	is := is.New(t)
	cfg := slowConfig
	cfg.InitialLimit = 160
	var l Limiter
	for now := time.Duration(0); now < 2*time.Second; now += 100 * time.Millisecond {
		l.SetSlowdown(now, 2.26, cfg)
		is.True(l.Update(now, cfg, 0) <= cfg.InitialLimit)
	}
}
