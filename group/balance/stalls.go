package balance

import (
	"math"
	"time"
)

// Stalls learns what switches cost beside their copies. It is not safe for concurrent
// use.
//
// A group that waits at the step of a switch for longer than streams bear makes every
// stream under way late: as if the group had not worked for as long as a stream takes.
// Where packets are lost or orders go unanswered that happens in most switches, and none
// of them is worth it; in calm times in none.
type StallEstimator struct {
	mean time.Duration
	at   time.Duration
}

const (
	// borne is how long a group may wait without its streams being late: about what a
	// promised pause leaves beside a step.
	borne = 40 * time.Millisecond
	// streamTime is the work that is lost with a longer wait: about that of one stream.
	streamTime = 1200 * time.Millisecond
	// stallWeight is the weight of the newest switch, and stallMemory the time after
	// which a switch is worth a try again.
	stallWeight = 0.5
	stallMemory = 3 * time.Second
)

// Switched takes in how long a group may have waited at the step of a switch.
func (s *StallEstimator) RecordSwitch(now, waited time.Duration) {
	cost := waited
	if waited > borne {
		cost = streamTime
	}
	mean := s.ExpectedCost(now)
	s.mean, s.at = mean+time.Duration(stallWeight*float64(cost-mean)), now
}

// Expected is what the next switch is expected to cost.
func (s *StallEstimator) ExpectedCost(now time.Duration) time.Duration {
	return time.Duration(float64(s.mean) * math.Exp(-float64(now-s.at)/float64(stallMemory)))
}
