package pick

import (
	"time"

	"github.com/lilackeel/lilackeel/endpoint/load"
)

// Adapter scores the time to load an adapter that is not resident in the engine's
// memory.
type Adapter struct {
	// Loads provides the resident adapters of each engine.
	Loads *load.Tracker
	// LoadTime is the time to load an adapter.
	LoadTime time.Duration
}

// Phase implements Scorer.
func (Adapter) Phase() Phase { return BeforeFirstToken }

// Cost implements Scorer.
func (s Adapter) Cost(q *Query, c *Candidate) time.Duration {
	if s.Loads.Resident(c.Endpoint.ID, q.Adapter) {
		return 0
	}
	return s.LoadTime
}
