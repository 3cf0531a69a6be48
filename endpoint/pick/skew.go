package pick

import "time"

// Skew scores the time by which the call would delay the other calls of a
// lock-step group. The rank with the most requests determines the step time of
// all ranks, so a call slows the group only if its rank becomes that rank.
type Skew struct {
	// StepPerRequest is the time that one more request adds to its rank's step.
	StepPerRequest time.Duration
	// Weight is the weight of other calls' time relative to that of the call.
	Weight float64
}

// Phase implements Scorer.
func (Skew) Phase() Phase { return AfterFirstToken }

// Cost implements Scorer. On the rank with the most requests, a call slows the group
// by the full StepPerRequest, on a rank at or below the mean not at all. In between,
// the probability that the rank will determine the step time is modeled as the square
// of its relative distance from the mean.
func (s Skew) Cost(q *Query, c *Candidate) time.Duration {
	if c.Endpoint.Group == "" {
		return 0
	}
	above := c.Load.Running - c.Load.GroupMean
	peak := c.Load.GroupPeak - c.Load.GroupMean
	if above <= 0 || peak <= 0 {
		return 0
	}
	distance := min(1, above/peak)
	delay := distance * distance * float64(s.StepPerRequest)
	return time.Duration(s.Weight * delay * c.Load.GroupRunning * q.OutputTokens(c))
}
