package pick

import "time"

// Wait scores the time before the endpoint starts the call. It samples the time
// from its distribution instead of using the mean (Thompson sampling). Otherwise,
// all entries that read the same lagged reports would choose the same endpoint,
// however uncertain the reports have become.
type Wait struct {
	// StdDevScale scales the standard deviation of the samples; 0 selects the mean.
	StdDevScale float64
}

// Phase implements Scorer.
func (Wait) Phase() Phase { return BeforeFirstToken }

// Cost implements Scorer.
func (s Wait) Cost(q *Query, c *Candidate) time.Duration {
	if s.StdDevScale == 0 {
		return c.Load.Wait
	}
	deviation := q.Rand.NormFloat64() * s.StdDevScale * float64(c.Load.WaitStdDev)
	return max(0, c.Load.Wait+time.Duration(deviation))
}
