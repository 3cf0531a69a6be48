package balance

import (
	"math"
	"time"

	"github.com/lilackeel/lilackeel/endpoint/speed"
)

// RankSpeeds keeps the slowdowns that the ranks of one group report: the factors by which
// they work slower than nominal. It is not safe for concurrent use.
//
// An increase takes effect at once. A decrease takes effect only after it has lasted for some
// time, because a rank that is wrongly taken for slow costs its share of the group's capacity,
// while one that is wrongly taken for nominal delays every step.
type RankSpeeds struct {
	ranks []rankSpeed
}

// rankSpeed is the slowdown of one rank.
type rankSpeed struct {
	// slowdown is the value in use, zero for none, and renewedAt when it was last reported.
	slowdown  float64
	renewedAt time.Duration
	// recoveredAt is when the last decrease took effect, and hold how long the next one must
	// last.
	recoveredAt time.Duration
	hold        time.Duration
}

const (
	// slowdownTolerance is the relative difference from the value in use up to which a report
	// changes nothing. The last digits allow for rounding, as in 1.1 - 1.
	slowdownTolerance = 0.1 + 1e-9
	// slowdownExpiry is the time after which a value that has not been renewed is dropped.
	slowdownExpiry = 3 * time.Second
	// decreaseHold is how long a decrease must last: longer than the 300 ms between two reports
	// of a rank of a group that is asked in two polls.
	decreaseHold = 500 * time.Millisecond
	// relapseTime is the time after a decrease within which an increase doubles the hold of the
	// next decrease, up to slowdownExpiry. A slowdown that comes and goes every second would
	// otherwise cause a switch each time.
	relapseTime = 10 * time.Second
)

// NewRankSpeeds returns the speeds of a group whose ranks are all nominal.
func NewRankSpeeds(ranks int) *RankSpeeds { return &RankSpeeds{ranks: make([]rankSpeed, ranks)} }

// Record records the slowdown that a rank reports, normalized by speed.Normalize. A rank that
// does not exist is ignored.
func (s *RankSpeeds) Record(now time.Duration, rank int, slowdown float64) {
	if rank < 0 || rank >= len(s.ranks) {
		return
	}
	slowdown, _ = speed.Normalize(slowdown)
	s.ranks[rank].record(now, slowdown)
}

// Costs returns the time that a unit of load takes on each rank, 1 being nominal.
func (s *RankSpeeds) Costs(now time.Duration) []float64 {
	costs := make([]float64, len(s.ranks))
	for rank := range costs {
		costs[rank] = s.ranks[rank].cost(now)
	}
	return costs
}

func (r *rankSpeed) cost(now time.Duration) float64 {
	if r.slowdown == 0 || now-r.renewedAt > slowdownExpiry {
		return 1
	}
	return r.slowdown
}

func (r *rankSpeed) record(now time.Duration, slowdown float64) {
	inUse := r.cost(now)
	if inUse < r.slowdown {
		r.recoveredAt = r.renewedAt + slowdownExpiry
	}
	switch {
	case r.slowdown == 0:
		inUse, r.hold = slowdown, decreaseHold
	case math.Abs(slowdown-inUse) <= slowdownTolerance*inUse:
	case slowdown > inUse:
		inUse, r.hold = slowdown, r.nextHold(now)
	case now-r.renewedAt < r.hold:
		return
	default:
		inUse, r.recoveredAt = slowdown, now
	}
	r.slowdown, r.renewedAt = inUse, now
}

// nextHold returns how long a decrease must last after an increase at now.
func (r *rankSpeed) nextHold(now time.Duration) time.Duration {
	if r.recoveredAt == 0 || now-r.recoveredAt >= relapseTime {
		return decreaseHold
	}
	return min(2*r.hold, slowdownExpiry)
}
