package balance

import "time"

// Spell learns how long demand stays as it is. It is not safe for concurrent use.
type DemandLifetime struct {
	// since is when the present demand was first seen, mean the mean time between two
	// jumps, zero if fewer than two have been seen.
	since time.Duration
	mean  time.Duration
	begun bool
}

const (
	// firstSpell is how long demand is expected to stay before a jump was seen: long
	// enough that an even map pays.
	firstSpell = 2 * time.Second
	// spellWeight is the weight of the newest time between two jumps.
	spellWeight = 0.3
	// leastSpell and longestSpell bound what is expected.
	leastSpell   = time.Second
	longestSpell = time.Minute
)

// Jumped notes that demand has changed.
func (s *DemandLifetime) RecordJump(now time.Duration) {
	if s.begun {
		took := now - s.since
		if s.mean == 0 {
			s.mean = took
		}
		s.mean += time.Duration(spellWeight * float64(took-s.mean))
	}
	s.since, s.begun = now, true
}

// Left is how much longer the present demand is expected to stay: what is left of the
// mean time, no less than half of it, as jumps are not on time. Where it has lasted for
// twice the mean time the jumps may have ended, and it is expected to last half as long
// again. Without two jumps to go by it is firstSpell however long it has lasted: to count
// on more made switches of a hundredth of the skew look worth their copies.
func (s *DemandLifetime) Remaining(now time.Duration) time.Duration {
	if s.mean == 0 {
		return firstSpell
	}
	lasted := now - s.since
	left := max(s.mean-lasted, s.mean/2)
	if lasted > 2*s.mean {
		left = max(left, lasted/2)
	}
	return min(max(left, leastSpell), longestSpell)
}
