package concurrency

import (
	"math"
	"time"
)

const (
	// nominalSlowdown is the slowdown of a pool whose ranks all work at their nominal speed.
	nominalSlowdown = 1.0
	// minSlowdownChange is the change of the slowdown from which observations are separated.
	minSlowdownChange = 0.1
	// slowdownHold is how long a lower slowdown must last before it takes effect. A rank whose
	// slowdown alternates from report to report would otherwise have each of them take effect,
	// and nothing could be learned from the gaps in between.
	slowdownHold = 300 * time.Millisecond
	// settleTime is how long after a change of the slowdown gaps may contain steps from before it:
	// about one long gap.
	settleTime = 200 * time.Millisecond
	// remapTime is how long after an increase of the slowdown the group may still run with a map
	// that gives the slow rank its full load: the map is switched once or twice soon after the increase.
	// Steps from before them do not predict later ones.
	remapTime = 700 * time.Millisecond
)

// slowdownState is the slowdown of a pool's slowest rank, and what was learned before it was slow.
type slowdownState struct {
	// value is the slowdown in effect; zero is nominal.
	value float64
	// lowest is the highest slowdown reported since heldAt, when value was last confirmed.
	lowest float64
	heldAt time.Duration
	// settledAt is when steps no longer contain work from before the last change of value.
	settledAt time.Duration
	// nominal contains the observations from before the pool became slow; nil if there are none.
	nominal *observations
	// predictedSlope replaces the slope until gaps have been observed under the slowdown; zero if
	// it cannot be predicted.
	predictedSlope float64
}

// observations is what a Limiter has learned up to a time.
type observations struct {
	slopes       [retentionSeconds][2]float64
	latestSecond int64
	limit        float64
}

// effective returns the slowdown in effect.
func (s *slowdownState) effective() float64 { return max(s.value, nominalSlowdown) }

// settling reports whether a window that began at start does not predict later ones because the
// slowdown had just changed.
func (s *slowdownState) settling(start time.Duration) bool { return start < s.settledAt }

// Slowdown returns the slowdown in effect.
func (l *Limiter) Slowdown() float64 { return l.slowdown.effective() }

// SetSlowdown sets the slowdown of the pool's slowest rank: the factor by which it works slower than
// nominal. What was observed under another slowdown no longer counts. The limit for a higher one is
// predicted from the observations under the nominal speed, and on recovery these are used again, with
// the limit from before. It must be called before each Update if the ranks report slowdowns.
func (l *Limiter) SetSlowdown(now time.Duration, slowdown float64, cfg Config) {
	s := &l.slowdown
	current := s.effective()
	slowdown = max(slowdown, nominalSlowdown)
	if slowdown > current-minSlowdownChange {
		s.heldAt, s.lowest = now, 0
		if slowdown >= current+minSlowdownChange {
			l.changeSlowdown(now, slowdown, cfg)
		}
		return
	}
	s.lowest = max(s.lowest, slowdown)
	if now-s.heldAt >= slowdownHold {
		l.changeSlowdown(now, s.lowest, cfg)
		s.heldAt, s.lowest = now, 0
	}
}

// changeSlowdown makes another slowdown effective.
func (l *Limiter) changeSlowdown(now time.Duration, slowdown float64, cfg Config) {
	s := &l.slowdown
	if math.Abs(slowdown-nominalSlowdown) < minSlowdownChange {
		slowdown = nominalSlowdown
	}
	if s.effective() == nominalSlowdown && l.limit > 0 {
		l.expireSlopes(now)
		s.nominal = &observations{slopes: l.slopes, latestSecond: l.latestSecond, limit: l.limit}
	}
	increased := slowdown > s.effective()
	s.value, s.settledAt, s.predictedSlope = slowdown, now+settleTime, 0
	l.pending, l.sum, l.count, l.windowStart = l.pending[:0], 0, 0, now
	l.slopes = [retentionSeconds][2]float64{}
	switch {
	case s.nominal == nil:
	case slowdown == nominalSlowdown:
		l.restore(now, s.nominal)
		s.nominal = nil
	case slowdown*float64(cfg.FixedGap) < targetRatio*float64(cfg.MaxGap):
		s.predictedSlope = slowdown * highestSlope(&s.nominal.slopes)
		if s.predictedSlope > 0 {
			l.limit = l.desired(cfg)
		}
		if s.predictedSlope > 0 && increased {
			s.settledAt = now + remapTime
		}
	}
	// Otherwise no limit keeps the gaps below MaxGap, and the observed gaps decide, if they are not
	// too long to count.
}

// restore makes earlier observations effective, as if they had been made just before now.
func (l *Limiter) restore(now time.Duration, o *observations) {
	l.expireSlopes(now)
	for age := range int64(retentionSeconds) {
		if o.latestSecond >= age && l.latestSecond >= age {
			l.slopes[(l.latestSecond-age)%retentionSeconds] = o.slopes[(o.latestSecond-age)%retentionSeconds]
		}
	}
	l.limit = o.limit
}
