package pick

import "time"

// CallCount scores the number of calls that an endpoint already has. Each further call slows all
// calls of the endpoint and, in a lock-step group, those of all ranks, since the rank with the
// most calls determines the step time.
type CallCount struct {
	// PerCall is the time that one more call adds to the duration of a call.
	PerCall time.Duration
}

// Phase implements Scorer.
func (CallCount) Phase() Phase { return AfterFirstToken }

// Cost implements Scorer.
func (s CallCount) Cost(_ *Query, c *Candidate) time.Duration {
	return time.Duration(c.Load.Running * float64(s.PerCall))
}
