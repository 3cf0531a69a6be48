package picking

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/endpoint/outlier"
	"github.com/lilackeel/lilackeel/endpoint/pick"
	"github.com/lilackeel/lilackeel/endpoint/prefix"
	"github.com/lilackeel/lilackeel/fault"
)

// One-way delays between an entry and an endpoint.
const (
	sameZoneDelay  = 500 * time.Microsecond
	crossZoneDelay = 1500 * time.Microsecond
)

// entry is one entry. Each has its own view of the fleet.
type entry struct {
	sim             *sim
	zone            string
	rng             *rand.Rand
	loads           *load.Tracker
	index           *prefix.Index
	outliers        *outlier.Detector
	picker          *pick.Picker
	roundRobinIndex int
}

// attempt is the dispatch of a call to a rank.
type attempt struct {
	trackedCall  load.Call
	rank         *rank
	networkDelay time.Duration
}

func newEntry(s *sim, i int) *entry {
	p := s.policy
	e := &entry{
		sim:      s,
		zone:     zoneName(i),
		rng:      rand.New(rand.NewPCG(s.seed, uint64(i)+1000)),
		loads:    load.New(p.load, s.table),
		index:    prefix.New(p.prefix),
		outliers: outlier.New(p.outlier),
	}
	e.roundRobinIndex = e.rng.IntN(len(s.ranks))
	e.picker = pick.New(p.pick, s.table, e.loads, e.index, e.outliers)
	return e
}

// handleArrival dispatches a call. If the policy refuses it, the call arrives again
// after the delay that the refusal demands.
func (e *entry) handleArrival(a *arrival) {
	r := e.request(a)
	id, explain, err := e.sim.policy.choose(e, r)
	if err != nil {
		e.sim.metrics.refused++
		e.sim.clock.after(retryAfter(err), func() { e.handleArrival(a) })
		return
	}
	e.dispatch(a, e.sim.byID[id], explain)
}

func (e *entry) request(a *arrival) *pick.Request {
	return &pick.Request{
		Pool: poolName, Model: modelName, Adapter: a.adapter, Workspace: a.workspace, Zone: e.zone,
		Prompt: a.prompt, PromptTokens: a.promptTokens, MaxTokens: 1024,
	}
}

// retryAfter returns the delay after which a refused call may be retried.
func retryAfter(err error) time.Duration {
	f := fault.As(err)
	if f == nil || f.RetryAfter <= 0 {
		panic(fmt.Sprintf("picker refused a call without a retry delay: %v", err))
	}
	return f.RetryAfter
}

// dispatch sends the call to the rank.
func (e *entry) dispatch(a *arrival, r *rank, explain pick.Explain) {
	now := e.sim.clock.now
	matched := explain.Chosen.Matched
	if explain.ImportFrom != "" {
		matched = explain.ImportBlocks
	}
	work := load.Work{PromptTokens: a.promptTokens - matched*blockTokens, MaxTokens: a.answerTokens}
	t := &attempt{trackedCall: e.loads.Sent(now, r.record.ID, work), rank: r, networkDelay: crossZoneDelay}
	if r.record.Zone == e.zone {
		t.networkDelay = sameZoneDelay
	}
	if e.sim.policy.usesIndex {
		e.index.Sent(now, r.record.ID, a.prompt)
	}
	c := &call{arrival: a, entry: e, attempt: t}
	delay := t.networkDelay + e.sim.startImport(c, explain)
	e.sim.metrics.recordDispatch(c)
	e.sim.clock.after(delay, func() { r.accept(c) })
}

// onFirstToken is called by the rank when it has produced the first token, which
// reaches the entry after the network delay.
func (e *entry) onFirstToken(c *call) {
	e.sim.clock.after(c.attempt.networkDelay, func() {
		e.loads.FirstToken(e.sim.clock.now, &c.attempt.trackedCall)
	})
}

// onFinished is called by the rank when it has produced the last token.
func (e *entry) onFinished(c *call) {
	e.sim.clock.after(c.attempt.networkDelay, func() { e.complete(c) })
}

// complete ends the call at the entry.
func (e *entry) complete(c *call) {
	e.loads.Done(e.sim.clock.now, &c.attempt.trackedCall, load.Result{Tokens: c.answerTokens})
}

// handleReport processes the load report of a rank. For outlier detection, a rank is
// compared with its group, a stand-alone engine with its pool.
func (e *entry) handleReport(r *rank, report load.Report) {
	e.loads.Report(e.sim.clock.now, r.record.ID, report)
	peers := r.record.Group
	if peers == "" {
		peers = poolName
	}
	e.outliers.Observe(e.sim.clock.now, peers, r.record.ID, outlier.Sample{Latency: report.OwnStep})
}
