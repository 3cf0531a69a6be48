package quarantine

import (
	"math"
	"time"
)

const (
	// rateDecayTime is the time after which an observation has the weight 1/e.
	rateDecayTime = time.Minute
	// priorRuns is the number of runs without a crash that are assumed before the first
	// observation.
	priorRuns = 100.0
)

// crashRate is the rate at which processes crash while running requests that are not known to cause
// crashes: the recent number of runs, with exponential decay, and how many of these were the first
// crash of their request.
type crashRate struct {
	runs, crashes float64
	updatedAt     time.Duration
}

func (r *crashRate) observe(now time.Duration, crashed bool) {
	decay := math.Exp(-float64(max(now-r.updatedAt, 0)) / float64(rateDecayTime))
	r.runs, r.crashes, r.updatedAt = r.runs*decay+1, r.crashes*decay, now
	if crashed {
		r.crashes++
	}
}

// requiredCrashes returns the number of crashes before a request is held: high enough that a
// harmless request is very unlikely to reach it at this rate.
func (r *crashRate) requiredCrashes(now time.Duration) int {
	decay := math.Exp(-float64(max(now-r.updatedAt, 0)) / float64(rateDecayTime))
	probability := r.crashes * decay / (r.runs*decay + priorRuns)
	required := minCrashes
	for required < maxRequiredCrashes && math.Pow(probability, float64(required)) > maxFalseHoldChance {
		required++
	}
	return required
}
