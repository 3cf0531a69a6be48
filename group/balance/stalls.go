package balance

import (
	"math"
	"time"
)

// StallEstimator estimates what switches cost in addition to their copies. It is not safe
// for concurrent use.
//
// If a group waits at the step of a switch for longer than its streams tolerate, every
// active stream is late, which costs as much as if the group had not worked for the
// duration of a stream. Where packets are lost or orders go unanswered, this happens in
// most switches and none of them is worthwhile; otherwise it happens in none.
type StallEstimator struct {
	mean      time.Duration
	updatedAt time.Duration
}

const (
	// toleratedStall is how long a group may wait without its streams being late: about
	// what remains of the promised maximum pause after a step.
	toleratedStall = 40 * time.Millisecond
	// lostStreamTime is the work that is lost by a longer wait: about that of one stream.
	lostStreamTime = 1200 * time.Millisecond
	// stallWeight is the weight of the newest switch, and stallDecayTime the time constant
	// after which switching is worth trying again.
	stallWeight    = 0.5
	stallDecayTime = 3 * time.Second
)

// RecordSwitch records how long a group may have waited at the step of a switch.
func (e *StallEstimator) RecordSwitch(now, waited time.Duration) {
	cost := waited
	if waited > toleratedStall {
		cost = lostStreamTime
	}
	mean := e.ExpectedCost(now)
	e.mean, e.updatedAt = mean+time.Duration(stallWeight*float64(cost-mean)), now
}

// ExpectedCost returns the expected cost of the next switch.
func (e *StallEstimator) ExpectedCost(now time.Duration) time.Duration {
	return time.Duration(float64(e.mean) * math.Exp(-float64(now-e.updatedAt)/float64(stallDecayTime)))
}
