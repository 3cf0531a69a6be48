package routed

import (
	"bytes"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/speed"
	"github.com/lilackeel/lilackeel/site"
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

// TestResponseTimesAreMeasuredWhereConfigured guards against judging endpoints where neither the
// setting nor a cold start of their pool calls for it, and against not doing so where it does.
func TestResponseTimesAreMeasuredWhereConfigured(t *testing.T) {
	is := is.New(t)
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		answerOK(w, r)
	}
	countSlow := func(prepare func(s *Server, pool *fleetv1.Pool), path string) int {
		b := newTestEntry(t, slow, answerOK, answerOK)
		b.server.Speeds = speed.New()
		config := testSite()
		prepare(b.server, config.Pools[0])
		b.server.Publish(site.NewTable(config))
		for range 60 {
			_, _, _ = post(t, b, path, nil)
		}
		now := b.server.clock()
		b.server.Speeds.Evaluate(now, map[string]int{"pool": 3})
		return b.server.Speeds.CountSlow(now, func(id string) bool { return id == "e1" })
	}
	withSetting := func(s *Server, _ *fleetv1.Pool) { s.config.MeasureSpeed = true }
	is.Equal(countSlow(func(*Server, *fleetv1.Pool) {}, "/read/x"), 0)
	is.Equal(countSlow(withSetting, "/read/x"), 1)
	is.Equal(countSlow(func(_ *Server, pool *fleetv1.Pool) { pool.ColdRate = 2 }, "/read/x"), 1)
	is.Equal(countSlow(withSetting, "/stream/x"), 0)
}
