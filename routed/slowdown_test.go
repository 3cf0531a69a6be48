package routed

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/speed"
)

// TestSlowdownOfSlowestRankReachesItsGroup guards against a limiter that is not told of a slow rank,
// and against one slow endpoint of a pool without lock-step limiting the calls of the others.
func TestSlowdownOfSlowestRankReachesItsGroup(t *testing.T) {
	is := is.New(t)
	b := newTestEntry(t, answerOK, answerOK, answerOK)
	s := b.server
	s.Speeds = speed.New()
	now := time.Second
	s.Speeds.Report(now, "e1", 1.5)
	s.Speeds.Report(now, "e2", 2.5)
	is.Equal(s.groupLoads(now)[poolGroup{"pool", ungroupedPrefix + "pool"}].slowdown, 0.0)

	for _, e := range b.table.Snapshot().All() {
		s.Groups.Report(e.Addr, "g", false)
	}
	leaving, _ := b.table.Get("e2") // a rank that leaves still slows its group
	leaving.State, leaving.Revision = endpoint.Leaving, 2
	b.table.Apply([]endpoint.Endpoint{leaving}, nil)
	name := poolGroup{"pool", "g"}
	is.Equal(s.groupLoads(now)[name].slowdown, 2.5)
	s.computePlacement(now, s.table.Load(), 1)
	is.Equal(s.groupLoads(now + 3*time.Second)[name].slowdown, 0.0) // the reports have expired
}
