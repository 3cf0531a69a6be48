package pick

import "time"

// Even weighs the calls that an endpoint has already. All of its answers become slower with
// each, and in a lock-step group those of all ranks, since the fullest rank sets the pace.
type CallCount struct {
	// PerCall is the time that one more call adds to an answer.
	PerCall time.Duration
}

// Phase implements Scorer.
func (CallCount) Phase() Phase { return AfterFirstToken }

// Cost implements Scorer.
func (s CallCount) Cost(_ *Query, c *Candidate) time.Duration {
	return time.Duration(c.Load.Running * float64(s.PerCall))
}
