package pick

import "time"

// Pace weighs the time that the endpoint's steps take for the whole answer. It
// draws the time of a step from its distribution, as Wait does.
type Decode struct {
	// Spread scales the standard deviation of the draw; 0 takes the mean.
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
