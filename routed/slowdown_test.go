package routed

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
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
	is.Equal(lowestSlowdown(s.computePlacement(now, s.table.Load(), 1).pools["pool"]), 2.5)
	is.Equal(s.groupLoads(now + 3*time.Second)[name].slowdown, 0.0) // the reports have expired
}

// TestSpeedChangesAreLoggedOnce guards against a line per report, or per change of a slowdown that
// alternates, and against a gauge that keeps counting endpoints that have recovered or left.
func TestSpeedChangesAreLoggedOnce(t *testing.T) {
	is := is.New(t)
	b := newTestEntry(t, answerOK, answerOK)
	s := b.server
	s.Speeds = speed.New()
	var log bytes.Buffer
	s.Logger = slog.New(slog.NewTextHandler(&log, nil))
	lines := func(text string) int { return strings.Count(log.String(), text) }
	count := func() float64 { return metrics.GetOrCreateGauge(`lilackeel_slow_endpoints{pool="pool"}`, nil).Get() }
	s.recordSpeeds(0)
	is.Equal(log.Len(), 0)
	now := time.Second
	for i := range 50 { // e1 is slow, e2 alternates
		s.Speeds.Report(now, "e1", 2)
		s.Speeds.Report(now, "e2", []float64{3, 1}[i%2])
		s.recordSpeeds(now)
		now += 100 * time.Millisecond
	}
	is.Equal(lines("endpoint=e1"), 1)
	is.True(lines("endpoint=e2") <= 5 && lines("slower than nominal") >= 2)
	is.Equal(count(), 1.0)
	b.table.Apply(nil, []string{"e2"})
	now += 3 * time.Second
	s.recordSpeeds(now)
	is.Equal(lines("nominal speed again\" endpoint=e1"), 1)
	is.Equal(count(), 0.0)
	s.recordSpeeds(now + time.Minute)
	is.Equal(len(s.slowEndpoints.logged), 0)
}
