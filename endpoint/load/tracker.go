package load

import (
	"slices"
	"sync"
	"time"

	"github.com/lilackeel/lilackeel/endpoint"
)

// Tracker keeps the load of all endpoints as one entry sees it.
type Tracker struct {
	mu      sync.Mutex
	config  Config
	table   *endpoint.Table
	records map[string]*record
	groups  map[string]*group
	fleets  map[fleetKey]*fleet
}

// fleetKey names the endpoints that are alike: one pool, model and version.
type fleetKey struct {
	pool, model, version string
}

// group is a lock-step group as its members' records show it.
type group struct {
	members []*record
	// running and peak are kept until the next change of a member.
	running, peak float64
	fresh         bool
}

// New returns a tracker for the endpoints of the table.
func New(cfg Config, table *endpoint.Table) *Tracker {
	return &Tracker{
		config:  cfg.withDefaults(),
		table:   table,
		records: map[string]*record{},
		groups:  map[string]*group{},
		fleets:  map[fleetKey]*fleet{},
	}
}

// Report takes in what endpoint id said of its load. A report that is older
// than the last one, or from an endpoint that is not in the table, is dropped.
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
		r.PrefillTokens = r.Waiting * int(rec.fleet.prompt.value)
	}
	taken := now - r.Age
	if rec.reported && taken < rec.taken {
		return
	}
	rec.take(now, taken, r)
	rec.touch()
}

// Sent notes that this entry dispatches a call of the given work to id. The
// caller passes the returned Call to FirstToken at most once and to Done once.
func (t *Tracker) Sent(now time.Duration, id string, w Work) Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.record(id)
	e := t.estimate(now, rec)
	expected := e.Wait + perSecond(float64(w.PromptTokens), e.PrefillRate) + e.StepTime
	surprise := rec.surpriseAt(now, t.config.PredictionErrorTTL)
	rec.send(now, w)
	rec.fleet.prompt.add(float64(w.PromptTokens), minWindow)
	rec.touch()
	return Call{ID: id, SentAt: now, Work: w, ExpectedFirstToken: expected, surprise: surprise}
}

// FirstToken notes that the first token of the call came.
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
	rec.started(c)
	rec.learn(now, now-c.SentAt, c.ExpectedFirstToken-c.surprise)
}

// Done notes that the call ended, whatever its result.
func (t *Tracker) Done(now time.Duration, c *Call, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.records[c.ID]
	if rec == nil {
		return
	}
	if !c.started {
		c.started = true
		rec.started(c)
	}
	rec.ended(c)
	rec.touch()
	if !r.Failed && r.Tokens > 0 {
		rec.fleet.answer.add(float64(r.Tokens), minWindow)
	}
}

// Wait estimates the time before id would start on a new call.
func (t *Tracker) Wait(now time.Duration, id string) time.Duration {
	return t.Estimate(now, id).Wait
}

// Estimate returns what the tracker believes of id.
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

// Resident reports whether the adapter is in the memory of the engine id, as
// far as its reports say. The empty adapter always is.
func (t *Tracker) Resident(id, adapter string) bool {
	if adapter == "" {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.records[id]
	return rec != nil && slices.Contains(rec.report.Adapters, adapter)
}

// ReportsOwnStep reports whether the engine id has reported its own step time, by
// which it is then judged instead of by the time of its calls.
func (t *Tracker) ReportsOwnStep(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.records[id]
	return rec != nil && rec.ownStep
}

// Forget drops what is known of an endpoint that has left the table. Calls that
// are still in flight there may end later.
func (t *Tracker) Forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rec := t.records[id]; rec != nil {
		t.unbind(rec)
		delete(t.records, id)
	}
}

// record returns the record of the endpoint, made if need be.
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

// bind makes the record follow the endpoint as the table has it now.
func (t *Tracker) bind(rec *record, e *endpoint.Endpoint) {
	if rec.endpoint == e {
		return
	}
	t.unbind(rec)
	rec.endpoint = e
	rec.fleet = t.fleet(e)
	rec.fleet.members++
	if e.Group == "" {
		return
	}
	rec.group = t.group(e.Group)
	rec.group.members = append(rec.group.members, rec)
	rec.touch()
}

// unbind takes the record out of its fleet and its group.
func (t *Tracker) unbind(rec *record) {
	if rec.fleet != nil {
		rec.fleet.members--
	}
	if rec.group == nil {
		return
	}
	rec.group.members = slices.DeleteFunc(rec.group.members, func(m *record) bool { return m == rec })
	rec.touch()
	rec.group = nil
}

func (t *Tracker) fleet(e *endpoint.Endpoint) *fleet {
	key := fleetKey{e.Pool, e.Model, e.Version}
	f := t.fleets[key]
	if f == nil {
		f = &fleet{step: persistence{clipped: true}}
		t.fleets[key] = f
	}
	return f
}

func (t *Tracker) group(name string) *group {
	g := t.groups[name]
	if g == nil {
		g = &group{}
		t.groups[name] = g
	}
	return g
}

// refresh recomputes the sums over the members if one has changed.
func (t *Tracker) refresh(now time.Duration, g *group) {
	if g.fresh {
		return
	}
	g.fresh = true
	g.running, g.peak = 0, 0
	for _, m := range g.members {
		running := t.runningAt(now, m)
		g.running += running
		g.peak = max(g.peak, running)
	}
}
