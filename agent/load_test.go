package agent

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/standin"
)

// Guards against reports that lose the optional figures of an engine about its prompts, steps and
// adapters, or that set figures which the engine omits. A step that does not end must be reported with
// its duration so far.
func TestReportsCarryOptionalEngineFigures(t *testing.T) {
	is := is.New(t)
	cfg := standin.EngineConfig{Slots: 2, TokenTime: time.Millisecond, PrefillTime: time.Millisecond}
	engine := standin.NewEngine(cfg)
	cfg.CountsOnly = true
	s := newFixture(t, map[string]http.Handler{"engine": engine, "engine-plain": standin.NewEngine(cfg)})
	request := completion(true, "1000")
	go s.dispatch(request)
	plain := completion(true, "1000")
	plain.Endpoint = "engine-plain"
	go s.dispatch(plain)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	stream := must(s.client.Reports(ctx, &agentv1.ReportsRequest{IntervalMs: 20}))
	next := func(id string, holds func(l *agentv1.LoadReport) bool) *agentv1.LoadReport {
		for {
			for _, l := range must(stream.Recv()).GetLoads() {
				if l.GetEndpoint() == id && holds(l) {
					return l
				}
			}
		}
	}
	isStepping := func(l *agentv1.LoadReport) bool { return l.GetRunning() > 0 && l.GetStepUs() >= 1000 }
	full := next("engine", isStepping)
	is.True(full.GetOwnStepUs() >= 1000)
	is.Equal(full.GetPrefillRate(), 16000.0) // a block of 16 tokens in a millisecond
	is.True(full.PrefillTokens != nil)
	is.True(full.Adapters != nil && len(full.GetAdapters().GetNames()) == 0) // known to be empty

	countsOnly := next("engine-plain", func(l *agentv1.LoadReport) bool { return l.GetRunning() > 0 })
	is.True(countsOnly.PrefillTokens == nil)
	is.True(countsOnly.Adapters == nil)
	is.Equal([]int64{countsOnly.GetStepUs(), countsOnly.GetOwnStepUs()}, []int64{0, 0})

	engine.SetFaults(standin.Faults{Stall: true})
	next("engine", func(l *agentv1.LoadReport) bool { return l.GetStepUs() > 100_000 && l.GetOwnStepUs() > 100_000 })
}

// Guards against load figures that are reported to the same reader twice, or not to every reader.
func TestLoadSamplesAreReportedOncePerReader(t *testing.T) {
	is := is.New(t)
	b, at := newReportBuffer(), time.Now()
	sample := func(running int32, at time.Time) { b.setLoad(&agentv1.LoadReport{Endpoint: "e", Running: running}, at) }
	var read position
	count := func() int {
		report, next := b.report(read, at)
		read = next
		return len(report.GetLoads())
	}
	sample(1, at)
	is.Equal(count(), 1)
	is.Equal(count(), 0)
	sample(1, at.Add(time.Millisecond)) // the same figures, polled again
	is.Equal(count(), 0)
	sample(1, at.Add(time.Second)) // measured again
	is.Equal(count(), 1)
	sample(2, at.Add(time.Second))
	is.Equal(count(), 1)
	other, _ := b.report(position{}, at)
	is.Equal(len(other.GetLoads()), 1) // a new reader gets all loads
}
