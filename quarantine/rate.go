package quarantine

import (
	"math"
	"time"
)

const (
	// rateMemory is the time after which what was noted counts for 1/e.
	rateMemory = time.Minute
	// assumedRuns is how many runs without an end are taken as noted before the first.
	assumedRuns = 100.0
)

// rate is how often processes end under requests that are not known to end any: how many runs
// there were of late, and how many of these were the first that a request met an end in.
type rate struct {
	runs, ends float64
	at         time.Duration
}

func (r *rate) note(now time.Duration, ended bool) {
	kept := math.Exp(-float64(max(now-r.at, 0)) / float64(rateMemory))
	r.runs, r.ends, r.at = r.runs*kept+1, r.ends*kept, now
	if ended {
		r.ends++
	}
}

// needed is how many ends a request must have met: so many that one which does nothing hardly
// ever meets as many at this rate.
func (r *rate) needed(now time.Duration) int {
	kept := math.Exp(-float64(max(now-r.at, 0)) / float64(rateMemory))
	chance := r.ends * kept / (r.runs*kept + assumedRuns)
	needed := fewestEnds
	for needed < mostEnds && math.Pow(chance, float64(needed)) > tolerated {
		needed++
	}
	return needed
}
