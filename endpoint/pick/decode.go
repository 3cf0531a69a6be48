package pick

import "time"

// Decode scores the time of the decode steps for all output tokens. Like Wait, it
// samples the step time from its distribution.
type Decode struct {
	// StdDevScale scales the standard deviation of the samples; 0 selects the mean.
	StdDevScale float64
}

// Phase implements Scorer.
func (Decode) Phase() Phase { return AfterFirstToken }

// Cost implements Scorer.
func (s Decode) Cost(q *Query, c *Candidate) time.Duration {
	step := float64(c.Load.StepTime)
	if s.StdDevScale != 0 {
		step = max(0, step+q.Rand.NormFloat64()*s.StdDevScale*float64(c.Load.StepTimeStdDev))
	}
	return time.Duration(q.OutputTokens(c) * step)
}
