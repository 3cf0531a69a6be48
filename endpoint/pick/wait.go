package pick

import "time"

// Wait weighs the time before the endpoint starts on the call. It draws the
// time from its distribution instead of taking the mean (Thompson sampling):
// entries that read the same
// lagged reports would otherwise all go to the same endpoint, however little
// the reports still tell.
type Wait struct {
	// Spread scales the standard deviation of the draw; 0 takes the mean.
	StdDevScale float64
}

// Phase implements Scorer.
func (Wait) Phase() Phase { return BeforeFirstToken }

// Cost implements Scorer.
func (s Wait) Cost(q *Query, c *Candidate) time.Duration {
	if s.StdDevScale == 0 {
		return c.Load.Wait
	}
	drawn := q.Rand.NormFloat64() * s.StdDevScale * float64(c.Load.WaitStdDev)
	return max(0, c.Load.Wait+time.Duration(drawn))
}
