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

// HandleReport applies one report, which arrived at the given time, to the entry's tables. Loads
// and events of endpoints that are not in the table are dropped.
func (p *ReportSubscriber) HandleReport(addr string, r *agentv1.Report, received time.Time) {
	p.mu.Lock()
	p.tickets[addr] = ticket{incarnation: r.GetIncarnation(), ns: r.GetTicketNs(), received: received}
	if r.GetReaders() > 0 {
		p.readers[addr] = int(r.GetReaders())
		p.engines[addr] = engineAddrs(r)
	}
	p.mu.Unlock()
	now := received.Sub(processStart)
	p.mergeCrashReports(now, r.GetCrashReports())
	p.limits.mergeLimits(now, r.GetRateLimits())
	for _, run := range p.suspects.Merge(now, suspicion.FromProto(now, r.GetSuspicions())) {
		p.logger.Info("an endpoint is suspected by several entries", slog.String("endpoint", endpoint.IDFromRunID(run)))
	}
	view := p.table.Snapshot()
	for _, l := range r.GetLoads() {
		if l.GetGroup() != "" {
			p.groups.Report(l.GetEndpoint(), l.GetGroup(), l.GetClosed())
		}
		if e, known := findReported(view, l.GetEndpoint()); known {
			p.handleLoad(now, e, l)
		}
	}
	for _, event := range r.GetEvents() {
		if _, known := view.Get(event.GetEndpoint()); known {
			p.handleCacheEvent(now, r.GetIncarnation(), event)
		}
	}
}

// engineAddrs returns the addresses of the engines that a rank's host reports on.
func engineAddrs(r *agentv1.Report) []string {
	engines := make([]string, 0, len(r.GetLoads()))
	for _, l := range r.GetLoads() {
		engines = append(engines, l.GetEndpoint())
	}
	return engines
}

// findReported finds the endpoint of a load report, which is named by its id or by its address.
func findReported(view *endpoint.View, name string) (*endpoint.Endpoint, bool) {
	if e, known := view.Get(name); known {
		return e, true
	}
	return view.ByAddr(name)
}

// handleLoad updates the load tracker and the outlier detector. The detector also gets endpoints
// without a step time: how many endpoints it may eject depends on the total number, including
// those that get no calls at the moment.
func (p *ReportSubscriber) handleLoad(now time.Duration, e *endpoint.Endpoint, l *agentv1.LoadReport) {
	report := loadReport(e, l)
	p.loads.Report(now, e.ID, report)
	p.outliers.Observe(now, peerGroupOf(e), e.ID, outlier.Sample{Latency: report.OwnStep, FromReport: true})
	if p.isRemoved(e.ID) {
		p.outliers.Forget(e.ID)
	}
}

func (p *ReportSubscriber) handleCacheEvent(now time.Duration, incarnation uint64, e *agentv1.CacheEvent) {
	p.index.Apply(now, prefix.Event{
		Endpoint: e.GetEndpoint(), Incarnation: incarnation, Seq: e.GetSeq(),
		Stored: e.GetStored(), Removed: e.GetRemoved(), Cleared: e.GetCleared(),
	})
	if p.isRemoved(e.GetEndpoint()) {
		p.index.Forget(e.GetEndpoint())
	}
}

// isRemoved reports whether the endpoint has been removed from the table, possibly while a report
// of it was being applied: it is removed from the table before its state is dropped elsewhere.
func (p *ReportSubscriber) isRemoved(id string) bool {
	_, known := p.table.Snapshot().Get(id)
	return !known
}

// loadReport converts a report for the load tracker. An engine that does not report its resident
// adapters is assumed to hold all adapters that it serves.
func loadReport(e *endpoint.Endpoint, l *agentv1.LoadReport) load.Report {
	report := load.Report{
		Age:           time.Duration(l.GetAgeMs()) * time.Millisecond,
		Running:       int(l.GetRunning()),
		Waiting:       int(l.GetWaiting()),
		PrefillTokens: int(l.GetPrefillTokens()),
		PrefillRate:   l.GetPrefillRate(),
		StepTime:      time.Duration(l.GetStepUs()) * time.Microsecond,
		OwnStep:       time.Duration(l.GetOwnStepUs()) * time.Microsecond,
		Slowdown:      l.GetSlowdown(),
		Adapters:      l.GetAdapters().GetNames(),
	}
	if l.Adapters == nil {
		report.Adapters = e.Adapters
	}
	return report
}

// peerGroupOf returns the name of the group of endpoints that are comparable with e: the ranks of
// its group, the engines that serve its model, or the services of its pool.
func peerGroupOf(e *endpoint.Endpoint) string {
	switch {
	case e.Group != "":
		return "group " + e.Group
	case e.Kind == endpoint.Engine:
		return e.Pool + "/" + e.Model
	}
	return e.Pool
}
