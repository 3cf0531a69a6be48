package pick

import "time"

// Skew weighs the time by which the call would slow the other calls of a
// lock-step group. The rank with the most requests sets the pace of all, so
// only a call that makes a rank the fullest slows the group.
type Skew struct {
	// StepPerRequest is the time that one more request adds to its rank's step.
	StepPerRequest time.Duration
	// Weight is the worth of the others' time compared with the caller's.
	Weight float64
}

// Phase implements Scorer.
func (Skew) Phase() Phase { return AfterFirstToken }

// Cost implements Scorer. A rank that is already the fullest slows the group
// by the whole time of a request, one at the mean by none; between them the
// chance that the rank sets the pace later on grows with the square.
func (s Skew) Cost(q *Query, c *Candidate) time.Duration {
	if c.Endpoint.Group == "" {
		return 0
	}
	above := c.Load.Running - c.Load.GroupMean
	reach := c.Load.GroupPeak - c.Load.GroupMean
	if above <= 0 || reach <= 0 {
		return 0
	}
	chance := min(1, above/reach)
	slower := chance * chance * float64(s.StepPerRequest)
	return time.Duration(s.Weight * slower * c.Load.GroupRunning * q.OutputTokens(c))
}
