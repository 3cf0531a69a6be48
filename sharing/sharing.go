// Package sharing keeps what entries share through the hosts whose load reports they all read:
// crash reports, the rate limits that endpoints name, and suspicions of endpoints that do not answer.
// A host passes them on to all entries, and permits the requests to limited endpoints one by one. The control replicas have no part
// in it, so that an entry that is cut off from them takes part.
package sharing

import (
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/endpoint/suspicion"
	"github.com/lilackeel/lilackeel/quarantine"
	"github.com/lilackeel/lilackeel/ratelimit"
)

// Host is the part of a host's service that entries share. It is safe for concurrent use.
type Host struct {
	clock      func() time.Duration
	crashes    *quarantine.Registry
	limits     *ratelimit.Arbiter
	suspicions suspicion.Log
}

// NewHost returns a host that knows nothing but what the arbiter knows, whose times are those
// of the clock.
func NewHost(clock func() time.Duration, limits *ratelimit.Arbiter) *Host {
	return &Host{clock: clock, crashes: quarantine.NewRegistry(), limits: limits}
}

// PublishCrashReports takes in the crash reports of an entry.
func (h *Host) PublishCrashReports(r *agentv1.PublishCrashReportsRequest) {
	h.crashes.Publish(h.clock(), r.GetCrashReports())
}

// PublishSuspicions takes in the suspicions of an entry.
func (h *Host) PublishSuspicions(r *agentv1.PublishSuspicionsRequest) {
	now := h.clock()
	h.suspicions.Add(now, suspicion.FromProto(now, r.GetSuspicions()))
}

// Permit answers the wish of an entry to send a request to an endpoint that names a limit.
func (h *Host) Permit(r *agentv1.PermitRequest) *agentv1.PermitResponse {
	now := h.clock()
	named, ok := ratelimit.FromProto(now, r.GetLimit())
	if !ok {
		return &agentv1.PermitResponse{Limit: r.GetLimit()}
	}
	if !r.GetWanted() {
		h.limits.Learn(now, named)
		return &agentv1.PermitResponse{Limit: r.GetLimit()}
	}
	permit := h.limits.Acquire(now, named, int(r.GetChoice()))
	named.Limit = permit.Limit
	return &agentv1.PermitResponse{Limit: ratelimit.ToProto(now, named), Granted: permit.Granted, WaitMs: permit.Wait.Milliseconds()}
}

// Reader reads what entries share, for one reader of the host's reports.
type Reader struct {
	host                        *Host
	crashes, limits, suspicions uint64
}

// Reader takes in what a new reader knows, and returns its position.
func (h *Host) NewReader(r *agentv1.ReportsRequest) *Reader {
	now := h.clock()
	h.crashes.Publish(now, r.GetCrashReports())
	for _, message := range r.GetRateLimits() {
		if named, ok := ratelimit.FromProto(now, message); ok {
			h.limits.Learn(now, named)
		}
	}
	return &Reader{host: h}
}

// Fill adds to a report what the reader has not read yet, and reports whether that is anything.
func (r *Reader) Fill(report *agentv1.Report) bool {
	now := r.host.clock()
	report.CrashReports, r.crashes = r.host.crashes.Read(now, r.crashes)
	var limits []ratelimit.EndpointLimit
	limits, r.limits = r.host.limits.Since(r.limits)
	for _, named := range limits {
		report.RateLimits = append(report.RateLimits, ratelimit.ToProto(now, named))
	}
	var suspicions []suspicion.Report
	suspicions, r.suspicions = r.host.suspicions.Since(r.suspicions)
	report.Suspicions = suspicion.ToProto(now, suspicions)
	return len(report.GetCrashReports())+len(limits)+len(suspicions) > 0
}
