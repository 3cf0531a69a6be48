// Package sharing implements the host side of what entries share through the hosts whose load
// reports they all read: crash reports, the rate limits that endpoints advertise, suspicions of
// unresponsive endpoints, and the demand for pools. A host forwards the first three to all entries,
// grants a permit for each request to a rate-limited endpoint, and adds up the demand. The control
// replicas are not involved, so that an entry that is partitioned from them can still share.
package sharing

import (
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/endpoint/suspicion"
	"github.com/lilackeel/lilackeel/overload"
	"github.com/lilackeel/lilackeel/quarantine"
	"github.com/lilackeel/lilackeel/ratelimit"
)

// Host holds the data that entries share through one host. It is safe for concurrent use.
type Host struct {
	clock      func() time.Duration
	crashes    *quarantine.Registry
	limits     *ratelimit.Arbiter
	suspicions suspicion.Log
	demand     overload.Sums
}

// NewHost returns a host with the limits of the arbiter and no other data. All times are those of
// the clock.
func NewHost(clock func() time.Duration, limits *ratelimit.Arbiter) *Host {
	return &Host{clock: clock, crashes: quarantine.NewRegistry(), limits: limits}
}

// PublishCrashReports stores the crash reports of an entry.
func (h *Host) PublishCrashReports(r *agentv1.PublishCrashReportsRequest) {
	h.crashes.Publish(h.clock(), r.GetCrashReports())
}

// PublishSuspicions stores the suspicions of an entry.
func (h *Host) PublishSuspicions(r *agentv1.PublishSuspicionsRequest) {
	now := h.clock()
	h.suspicions.Add(now, suspicion.FromProto(now, r.GetSuspicions()))
}

// PublishDemand stores the demand of an entry and returns the sums over all entries.
func (h *Host) PublishDemand(r *agentv1.PublishDemandRequest) *agentv1.PublishDemandResponse {
	sums := h.demand.Publish(h.clock(), r.GetEntry(), overload.FromProto(r.GetPools()))
	return &agentv1.PublishDemandResponse{Pools: overload.ToProto(sums)}
}

// Permit handles a permit request for an endpoint that advertises a limit. A request that wants no
// permit only updates the limit.
func (h *Host) Permit(r *agentv1.PermitRequest) *agentv1.PermitResponse {
	now := h.clock()
	limit, ok := ratelimit.FromProto(now, r.GetLimit())
	if !ok {
		return &agentv1.PermitResponse{Limit: r.GetLimit()}
	}
	if !r.GetWanted() {
		h.limits.Learn(now, limit)
		return &agentv1.PermitResponse{Limit: r.GetLimit()}
	}
	permit := h.limits.Acquire(now, limit, int(r.GetChoice()))
	limit.Limit = permit.Limit
	return &agentv1.PermitResponse{Limit: ratelimit.ToProto(now, limit), Granted: permit.Granted, WaitMs: permit.Wait.Milliseconds()}
}

// Reader tracks how far one reader of the host's reports has read the shared data.
type Reader struct {
	host                        *Host
	crashes, limits, suspicions uint64
}

// NewReader stores the reports and limits that a new reader sends along, and returns a Reader that
// starts at the beginning.
func (h *Host) NewReader(r *agentv1.ReportsRequest) *Reader {
	now := h.clock()
	h.crashes.Publish(now, r.GetCrashReports())
	for _, message := range r.GetRateLimits() {
		if limit, ok := ratelimit.FromProto(now, message); ok {
			h.limits.Learn(now, limit)
		}
	}
	return &Reader{host: h}
}

// Fill adds the data that the reader has not read yet to a report, and reports whether there is
// any.
func (r *Reader) Fill(report *agentv1.Report) bool {
	now := r.host.clock()
	report.CrashReports, r.crashes = r.host.crashes.Read(now, r.crashes)
	var limits []ratelimit.EndpointLimit
	limits, r.limits = r.host.limits.Since(r.limits)
	for _, limit := range limits {
		report.RateLimits = append(report.RateLimits, ratelimit.ToProto(now, limit))
	}
	var suspicions []suspicion.Report
	suspicions, r.suspicions = r.host.suspicions.Since(r.suspicions)
	report.Suspicions = suspicion.ToProto(now, suspicions)
	return len(report.GetCrashReports())+len(limits)+len(suspicions) > 0
}
