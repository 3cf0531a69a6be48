package load

import (
	"slices"
	"sync"
	"time"

	"github.com/lilackeel/lilackeel/endpoint"
)

// Tracker tracks the load of all endpoints as seen by one entry.
type Tracker struct {
	mu      sync.Mutex
	config  Config
	table   *endpoint.Table
	records map[string]*record
	groups  map[string]*group
	peers   map[peerKey]*peerStats
}

// peerKey identifies a set of comparable endpoints: one pool, model and version.
type peerKey struct {
	pool, model, version string
}

// group is a lock-step group with the records of its members.
type group struct {
	members []*record
	// running and peak are cached until the next change of a member.
	running, peak float64
	sumsValid     bool
}

// New returns a tracker for the endpoints of the table.
func New(cfg Config, table *endpoint.Table) *Tracker {
	return &Tracker{
		config:  cfg.withDefaults(),
		table:   table,
		records: map[string]*record{},
		groups:  map[string]*group{},
		peers:   map[peerKey]*peerStats{},
	}
}

// Report processes a load report of endpoint id. A report that is older than the
// last one, or from an endpoint that is not in the table, is dropped.
func (t *Tracker) Report(now time.Duration, id string, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.table.Snapshot().Get(id)
	if !ok {
		return
	}
	rec := t.record(id)
	t.bind(rec, e)
	if r.PrefillTokens == 0 {
		r.PrefillTokens = r.Waiting * int(rec.peers.prompt.value)
	}
	taken := now - r.Age
	if rec.reported && taken < rec.reportTime {
		return
	}
	rec.applyReport(now, taken, r)
	rec.invalidateGroup()
	t.config.Speeds.Report(taken, id, r.Slowdown)
}

// Sent records that this entry dispatches a call of the given size to id. The
// caller must pass the returned Call to FirstToken at most once and to Done once.
func (t *Tracker) Sent(now time.Duration, id string, w Work) Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.record(id)
	e := t.estimate(now, rec)
	expected := e.Wait + durationAtRate(float64(w.PromptTokens), e.PrefillRate) + e.StepTime
	predictionError := rec.decayedPredictionError(now, t.config.PredictionErrorTTL)
	rec.addCall(now, w)
	rec.peers.prompt.add(float64(w.PromptTokens), minWindow)
	rec.invalidateGroup()
	return Call{ID: id, SentAt: now, Work: w, ExpectedFirstToken: expected, predictionError: predictionError}
}

// FirstToken records that the first token of the call has arrived.
func (t *Tracker) FirstToken(now time.Duration, c *Call) {
	if c.started {
		return
	}
	c.started = true
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.records[c.ID]
	if rec == nil {
		return
	}
	rec.markPrefilled(c)
	rec.updatePredictionError(now, now-c.SentAt, c.ExpectedFirstToken-c.predictionError)
}

// Done records that the call has ended, whether or not it succeeded.
func (t *Tracker) Done(now time.Duration, c *Call, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.records[c.ID]
	if rec == nil {
		return
	}
	if !c.started {
		c.started = true
		rec.markPrefilled(c)
	}
	rec.removeCall(c)
	rec.invalidateGroup()
	if !r.Failed && r.Tokens > 0 {
		rec.peers.output.add(float64(r.Tokens), minWindow)
	}
}

// Wait estimates the time before id would start a new call.
func (t *Tracker) Wait(now time.Duration, id string) time.Duration {
	return t.Estimate(now, id).Wait
}

// Estimate returns the current estimate for id.
func (t *Tracker) Estimate(now time.Duration, id string) Estimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.estimate(now, t.record(id))
}

// InFlight returns the number of calls that this entry has in flight at id.
func (t *Tracker) InFlight(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rec := t.records[id]; rec != nil {
		return rec.inFlight
	}
	return 0
}

// Reported returns the number of calls at id according to its last report, not discounted by its age,
// plus those that this entry has sent since.
func (t *Tracker) Reported(id string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.records[id]
	if rec == nil {
		return 0
	}
	return max(rec.report.calls()+float64(len(rec.sent)), float64(rec.inFlight))
}

// Resident reports whether the adapter is resident in the memory of the engine
// id, according to its last report. The empty adapter always is.
func (t *Tracker) Resident(id, adapter string) bool {
	if adapter == "" {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.records[id]
	return rec != nil && slices.Contains(rec.report.Adapters, adapter)
}

// ReportsOwnStep reports whether the engine id has reported its own step time. If
// so, outlier detection uses that instead of the latency of its calls.
func (t *Tracker) ReportsOwnStep(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.records[id]
	return rec != nil && rec.ownStep
}

// Forget discards the state of an endpoint that has left the table. Calls that
// are still in flight there may end later.
func (t *Tracker) Forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rec := t.records[id]; rec != nil {
		t.unbind(rec)
		delete(t.records, id)
	}
	t.config.Speeds.Forget(id)
}

// record returns the record of the endpoint, creating it if necessary.
func (t *Tracker) record(id string) *record {
	if rec := t.records[id]; rec != nil {
		return rec
	}
	e, ok := t.table.Snapshot().Get(id)
	if !ok {
		e = &endpoint.Endpoint{ID: id}
	}
	rec := &record{}
	t.bind(rec, e)
	t.records[id] = rec
	return rec
}

// bind updates the record's peer set and group to those of the table record e.
func (t *Tracker) bind(rec *record, e *endpoint.Endpoint) {
	if rec.endpoint == e {
		return
	}
	t.unbind(rec)
	rec.endpoint = e
	rec.peers = t.peerStats(e)
	rec.peers.members++
	if e.Group == "" {
		return
	}
	rec.group = t.group(e.Group)
	rec.group.members = append(rec.group.members, rec)
	rec.invalidateGroup()
}

// unbind removes the record from its peer set and its group.
func (t *Tracker) unbind(rec *record) {
	if rec.peers != nil {
		rec.peers.members--
	}
	if rec.group == nil {
		return
	}
	rec.group.members = slices.DeleteFunc(rec.group.members, func(m *record) bool { return m == rec })
	rec.invalidateGroup()
	rec.group = nil
}

func (t *Tracker) peerStats(e *endpoint.Endpoint) *peerStats {
	key := peerKey{e.Pool, e.Model, e.Version}
	s := t.peers[key]
	if s == nil {
		s = &peerStats{step: decayModel{clipped: true}}
		t.peers[key] = s
	}
	return s
}

func (t *Tracker) group(name string) *group {
	g := t.groups[name]
	if g == nil {
		g = &group{}
		t.groups[name] = g
	}
	return g
}

// updateGroupSums recomputes the cached sums if a member has changed.
func (t *Tracker) updateGroupSums(now time.Duration, g *group) {
	if g.sumsValid {
		return
	}
	g.sumsValid = true
	g.running, g.peak = 0, 0
	for _, m := range g.members {
		running := t.running(now, m)
		g.running += running
		g.peak = max(g.peak, running)
	}
}
