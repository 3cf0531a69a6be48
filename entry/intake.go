package entry

import (
	"log/slog"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/endpoint/outlier"
	"github.com/lilackeel/lilackeel/endpoint/prefix"
	"github.com/lilackeel/lilackeel/endpoint/suspicion"
)

// Take takes in one report that came at the given time. What it says of
// endpoints that are not in the table is dropped.
func (p *Reports) Take(addr string, r *agentv1.Report, received time.Time) {
	p.mu.Lock()
	p.tickets[addr] = ticket{incarnation: r.GetIncarnation(), ns: r.GetTicketNs(), received: received}
	if r.GetReaders() > 0 {
		p.readers[addr] = int(r.GetReaders())
		p.engines[addr] = enginesOf(r)
	}
	p.mu.Unlock()
	now := received.Sub(processStart)
	p.mergeCrashReports(now, r.GetCrashReports())
	p.limits.learn(now, r.GetRateLimits())
	for _, run := range p.suspects.Merge(now, suspicion.FromProto(now, r.GetSuspicions())) {
		p.logger.Info("several entries suspect an endpoint", slog.String("endpoint", endpoint.IDFromRunID(run)))
	}
	view := p.table.Snapshot()
	for _, l := range r.GetLoads() {
		if l.GetGroup() != "" {
			p.groups.Report(l.GetEndpoint(), l.GetGroup(), l.GetClosed())
		}
		if e, known := reporter(view, l.GetEndpoint()); known {
			p.takeLoad(now, e, l)
		}
	}
	for _, event := range r.GetEvents() {
		if _, known := view.Get(event.GetEndpoint()); known {
			p.takeEvent(now, r.GetIncarnation(), event)
		}
	}
}

// enginesOf returns the addresses of the engines that a rank's host reports on.
func enginesOf(r *agentv1.Report) []string {
	engines := make([]string, 0, len(r.GetLoads()))
	for _, l := range r.GetLoads() {
		engines = append(engines, l.GetEndpoint())
	}
	return engines
}

// reporter finds the endpoint of a report, which names it by its id or by its own
// address.
func reporter(view *endpoint.View, name string) (*endpoint.Endpoint, bool) {
	if e, known := view.Get(name); known {
		return e, true
	}
	return view.ByAddr(name)
}

// takeLoad feeds the tracker and the detector. The detector gets endpoints
// without a step time as well: how many may be out depends on how many there are,
// also of those that get no calls now.
func (p *Reports) takeLoad(now time.Duration, e *endpoint.Endpoint, l *agentv1.LoadReport) {
	report := loadOf(e, l)
	p.loads.Report(now, e.ID, report)
	p.outliers.Observe(now, peersOf(e), e.ID, outlier.Sample{Latency: report.OwnStep, FromReport: true})
	if p.hasLeft(e.ID) {
		p.outliers.Forget(e.ID)
	}
}

func (p *Reports) takeEvent(now time.Duration, incarnation uint64, e *agentv1.CacheEvent) {
	p.index.Apply(now, prefix.Event{
		Endpoint: e.GetEndpoint(), Incarnation: incarnation, Seq: e.GetSeq(),
		Stored: e.GetStored(), Removed: e.GetRemoved(), Cleared: e.GetCleared(),
	})
	if p.hasLeft(e.GetEndpoint()) {
		p.index.Forget(e.GetEndpoint())
	}
}

// hasLeft reports whether the endpoint has left the table, perhaps while
// something was learned of it: the table changes before the rest forgets.
func (p *Reports) hasLeft(id string) bool {
	_, known := p.table.Snapshot().Get(id)
	return !known
}

// loadOf returns a report as the tracker takes it. An engine that does not say
// which adapters are in its memory is taken to hold those that it serves.
func loadOf(e *endpoint.Endpoint, l *agentv1.LoadReport) load.Report {
	report := load.Report{
		Age:           time.Duration(l.GetAgeMs()) * time.Millisecond,
		Running:       int(l.GetRunning()),
		Waiting:       int(l.GetWaiting()),
		PrefillTokens: int(l.GetPrefillTokens()),
		PrefillRate:   l.GetPrefillRate(),
		StepTime:      time.Duration(l.GetStepUs()) * time.Microsecond,
		OwnStep:       time.Duration(l.GetOwnStepUs()) * time.Microsecond,
		Adapters:      l.GetAdapters().GetNames(),
	}
	if l.Adapters == nil {
		report.Adapters = e.Adapters
	}
	return report
}

// peersOf names the endpoints that are comparable with e: the ranks of its
// group, the engines that serve its model, or the services of its pool.
func peersOf(e *endpoint.Endpoint) string {
	switch {
	case e.Group != "":
		return "group " + e.Group
	case e.Kind == endpoint.Engine:
		return e.Pool + "/" + e.Model
	}
	return e.Pool
}
