package routed

import (
	"time"

	"github.com/lilackeel/lilackeel/endpoint"
)

// ownEvidence is how long something that came from an endpoint speaks against what other entries
// report of it: a fault may lie between it and them.
const ownEvidence = 500 * time.Millisecond

// suspects returns the endpoints of a pool to leave out on the evidence of several entries.
func (s *Server) suspects(now time.Duration, view *endpoint.View, pool string) []string {
	present := func(run string) bool {
		e, known := view.Get(endpoint.IDFromRunID(run))
		return known && e.Pool == pool && e.RunID() == run
	}
	var out []string
	for _, run := range s.Suspects.Excluded(now, present, s.placement.Load().sizes[pool]) {
		if id := endpoint.IDFromRunID(run); !s.Reach.ReceivedSince(id, now-ownEvidence) {
			out = append(out, id)
		}
	}
	return out
}
