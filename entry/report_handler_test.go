package entry

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/endpoint/lockstep"
	"github.com/lilackeel/lilackeel/endpoint/pick"
	"github.com/lilackeel/lilackeel/endpoint/prefix"
	"github.com/lilackeel/lilackeel/endpoint/speed"
	"github.com/lilackeel/lilackeel/endpoint/suspicion"
	"github.com/lilackeel/lilackeel/quarantine"
)

// reportFleet is a Server with the real tables and picker and fake agents, in the fake time of
// synctest. Its endpoints are the ranks of one group.
type reportFleet struct {
	*Server
	reports *ReportSubscriber
	table   *endpoint.Table
	ranks   []string
	// failing is the rank that fails its calls, slow the one whose own steps take six times as long;
	// empty for none.
	failing, slow string
	// countsOnly is true if reports contain no step times.
	countsOnly bool
	// calls counts the dispatches of the current run by rank.
	calls map[string]int
}

// unconfirmedFreshness is a FreshnessSource without a confirmation by a quorum.
type unconfirmedFreshness struct{}

func (unconfirmedFreshness) Freshness() (uint64, time.Time, bool) { return 0, time.Time{}, false }

func newReportFleet(ranks int) *reportFleet {
	f := &reportFleet{table: endpoint.NewTable(), calls: map[string]int{}}
	agents := &fakes{agent: f.serve}
	f.Server = agents.server()
	f.Loads, f.Index = load.New(load.Config{}, f.table), prefix.New(prefix.Config{Entries: 64})
	f.Picker = pick.New(pick.Config{}, f.table, f.Loads, f.Index, f.Outliers)
	f.reports = NewReportSubscriber(Config{}, nil, f.table, f.Loads, f.Index, f.Outliers, lockstep.New(), unconfirmedFreshness{}, quarantine.NewTracker(), NewRateLimits(Config{}, f.table, NewAdmissionController(Config{}), slog.New(slog.DiscardHandler)), suspicion.NewTracker(1), slog.New(slog.DiscardHandler))
	f.Targets = f.reports
	var all []endpoint.Endpoint
	for i := range ranks {
		f.ranks = append(f.ranks, fmt.Sprint("rank-", i))
		all = append(all, endpoint.Endpoint{
			ID: f.ranks[i], Pool: "pool", Kind: endpoint.Engine, Model: "draft", State: endpoint.Serving,
			Group: "group", Rank: i, Slots: 8, AgentAddr: "agent", Incarnation: 5,
		})
	}
	f.table.Apply(all, nil)
	return f
}

func (f *reportFleet) serve(_ context.Context, d *agentv1.DispatchRequest, send func(*agentv1.DispatchResponse)) error {
	f.calls[d.GetEndpoint()]++
	head := headOf("text/event-stream", "")
	if d.GetEndpoint() == f.failing {
		head.GetHead().Status = 503
	}
	send(head)
	for i := range 3 {
		time.Sleep(5 * time.Millisecond)
		send(chunkOf(2*i, "x\n"))
	}
	send(endOf(6))
	return nil
}

// run sends calls for the given duration, about nine per second with one report each, and returns
// the number of calls that each rank got.
func (f *reportFleet) run(ctx context.Context, duration time.Duration) map[string]int {
	clear(f.calls)
	startedAt := time.Now()
	for iteration := 0; time.Since(startedAt) < duration; iteration++ {
		f.reports.HandleReport("agent", f.report(), time.Now())
		if iteration%10 == 0 {
			f.Outliers.Tick(time.Since(processStart))
		}
		sendPost(f.Server, ctx, chatPath, streamBody)
		time.Sleep(100 * time.Millisecond)
	}
	return f.calls
}

func (f *reportFleet) report() *agentv1.Report {
	r := &agentv1.Report{Incarnation: 5}
	for _, id := range f.ranks {
		l := &agentv1.LoadReport{Endpoint: id, StepUs: 5000, OwnStepUs: 4500}
		if id == f.slow {
			l.OwnStepUs *= 6
		}
		if f.countsOnly {
			l.StepUs, l.OwnStepUs = 0, 0
		}
		r.Loads = append(r.Loads, l)
	}
	return r
}

// TestFailingAndSlowRanksAreEjectedAndRecover has one rank that fails its calls, and one whose own
// steps are slow, which is not visible in the latency of calls. Each is ejected by comparison with
// its group, and gets its share of calls again after it has recovered.
func TestFailingAndSlowRanksAreEjectedAndRecover(t *testing.T) {
	for _, fault := range []string{"failing", "failing without step times", "slow"} {
		t.Run(fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				defer func(start time.Time) { processStart = start }(processStart)
				processStart = time.Now()
				f := newReportFleet(6)
				f.countsOnly = strings.HasSuffix(fault, "without step times")
				healthy := f.run(t.Context(), time.Minute)
				faulty := f.ranks[0]
				for _, id := range f.ranks {
					is.Equal(f.Outliers.Ejections(id), 0)
					if healthy[id] > healthy[faulty] {
						faulty = id
					}
				}
				before := healthy[faulty]
				if fault == "slow" {
					f.slow = faulty
				} else {
					f.failing = faulty
				}
				f.run(t.Context(), 2*time.Minute)
				is.True(f.Outliers.Ejections(faulty) > 0)
				during := f.run(t.Context(), time.Minute)[faulty]
				f.failing, f.slow = "", ""
				f.run(t.Context(), 10*time.Minute)
				after := f.run(t.Context(), time.Minute)[faulty]
				t.Logf("calls in a minute: before the fault %d, in it %d, after it %d", before, during, after)
				is.True(during <= before/4)
				is.True(after >= before/2)
				for _, id := range f.ranks {
					is.True(id == faulty || f.Outliers.Ejections(id) == 0)
				}
			})
		})
	}
}

// TestReportsOfUnknownEndpointsAreDropped checks that reports and events of endpoints that are not
// in the table, or have been removed from it, leave no state behind.
func TestReportsOfUnknownEndpointsAreDropped(t *testing.T) {
	is := is.New(t)
	f := newReportFleet(2)
	report := f.report()
	for _, id := range append([]string{"stranger"}, f.ranks...) {
		report.Events = append(report.Events, &agentv1.CacheEvent{Endpoint: id, Seq: 1, Stored: []uint64{7}})
	}
	report.Loads = append(report.Loads, &agentv1.LoadReport{Endpoint: "stranger", OwnStepUs: 4500})
	now := time.Now()
	f.reports.HandleReport("agent", report, now)
	is.Equal(f.Index.Stats().Events, uint64(2))
	is.Equal(f.Index.Match(now.Sub(processStart), f.ranks[1], []uint64{7}), 1)
	is.True(!f.Loads.ReportsOwnStep("stranger"))

	f.table.Apply(nil, f.ranks[1:])
	f.Index.Forget(f.ranks[1])
	f.Loads.Forget(f.ranks[1])
	f.reports.HandleReport("agent", report, now)
	is.Equal(f.Index.Stats().Events, uint64(3)) // only the event of the rank that stays
	is.Equal(f.Index.Match(now.Sub(processStart), f.ranks[1], []uint64{7}), 0)
	f.reports.handleCacheEvent(0, 5, report.GetEvents()[2]) // removed after it had been looked up
	is.Equal(f.Index.Match(now.Sub(processStart), f.ranks[1], []uint64{7}), 0)
	is.True(!f.Loads.ReportsOwnStep(f.ranks[1]))
}

// TestMissingLoadFieldsKeepEstimates checks that fields which are missing in an engine's load report
// do not change its estimates.
func TestMissingLoadFieldsKeepEstimates(t *testing.T) {
	is := is.New(t)
	e := &endpoint.Endpoint{ID: "e", Kind: endpoint.Engine, Adapters: []string{"crew"}}
	is.Equal(loadReport(e, &agentv1.LoadReport{Running: 1}), load.Report{Running: 1, Adapters: []string{"crew"}})
	known := loadReport(e, &agentv1.LoadReport{Adapters: &agentv1.ResidentAdapters{}, StepUs: 2, OwnStepUs: 1, PrefillRate: 3})
	is.Equal(known, load.Report{StepTime: 2 * time.Microsecond, OwnStep: time.Microsecond, PrefillRate: 3})

	f := newReportFleet(3)
	now := time.Now()
	for range 100 {
		now = now.Add(time.Second)
		f.reports.HandleReport("agent", &agentv1.Report{Loads: []*agentv1.LoadReport{{Endpoint: "rank-0", Running: 1}}}, now)
		f.Outliers.Tick(now.Sub(processStart))
	}
	estimate := f.Loads.Estimate(now.Sub(processStart), "rank-0")
	is.True(estimate.StepTime > 0 && estimate.PrefillRate > 0)
	is.True(!f.Loads.ReportsOwnStep("rank-0"))
}

// TestReportedSlowdownIsTracked guards against a slowdown that is lost on its way from the report,
// one that outlasts the engine that reported it, and one of an endpoint that is not in the table.
func TestReportedSlowdownIsTracked(t *testing.T) {
	is := is.New(t)
	f, speeds := newReportFleet(2), speed.New()
	f.reports.loads = load.New(load.Config{Speeds: speeds}, f.table)
	received := time.Now()
	now := received.Sub(processStart)
	f.reports.HandleReport("agent", &agentv1.Report{Loads: []*agentv1.LoadReport{
		{Endpoint: "rank-0", Slowdown: 2.26}, {Endpoint: "rank-1"}, {Endpoint: "stranger", Slowdown: 9},
	}}, received)
	is.Equal(speeds.Slowdown(now, "rank-0"), 2.26)
	is.Equal(speeds.Slowdown(now, "rank-1"), 1.0)
	is.Equal(speeds.Slowdown(now, "stranger"), 1.0)
	f.reports.loads.Forget("rank-0")
	is.Equal(speeds.Slowdown(now, "rank-0"), 1.0)
}
