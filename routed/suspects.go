package routed

import (
	"time"

	"github.com/lilackeel/lilackeel/endpoint"
)

// ownEvidenceTTL is how long data received from an endpoint overrides the reports of other
// entries: the fault may be between them and the endpoint.
const ownEvidenceTTL = 500 * time.Millisecond

// suspectedEndpoints returns the endpoints of a pool to exclude, based on the reports of
// several entries.
func (s *Server) suspectedEndpoints(now time.Duration, view *endpoint.View, pool string) []string {
	present := func(run string) bool {
		e, known := view.Get(endpoint.IDFromRunID(run))
		return known && e.Pool == pool && e.RunID() == run
	}
	var excluded []string
	for _, run := range s.Suspects.Excluded(now, present, s.placement.Load().sizes[pool]) {
		if id := endpoint.IDFromRunID(run); !s.Reach.ReceivedSince(id, now-ownEvidenceTTL) {
			excluded = append(excluded, id)
		}
	}
	return excluded
}
