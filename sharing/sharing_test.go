package sharing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/ratelimit"
)

// Guards against a host that does not forward a limit to its readers, or that accepts a malformed
// one.
func TestHostForwardsLimits(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	h := NewHost(func() time.Duration { return now }, ratelimit.NewArbiter())
	early := h.NewReader(&agentv1.ReportsRequest{})
	is.True(!early.Fill(&agentv1.Report{}))
	rate := 2.0
	h.Permit(&agentv1.PermitRequest{Limit: &agentv1.RateLimit{Endpoint: "e/1", Rate: &rate, SentAgeMs: 300, AgeMs: 200}})
	late := h.NewReader(&agentv1.ReportsRequest{RateLimits: []*agentv1.RateLimit{{Endpoint: "f/1", Rate: &rate}, {Rate: &rate}}})
	for _, reader := range []*Reader{early, late} {
		report := &agentv1.Report{}
		is.True(reader.Fill(report))
		is.Equal(len(report.GetRateLimits()), 2)
		is.True(!reader.Fill(&agentv1.Report{})) // read once
	}
	now += time.Second
	permit := h.Permit(&agentv1.PermitRequest{Limit: &agentv1.RateLimit{Endpoint: "e/1", Rate: &rate, SentAgeMs: 1300, AgeMs: 1200}, Wanted: true})
	is.True(!permit.GetGranted()) // a bucket starts empty
	now += time.Duration(permit.GetWaitMs()+1) * time.Millisecond
	permit = h.Permit(&agentv1.PermitRequest{Limit: permit.GetLimit(), Wanted: true})
	is.True(permit.GetGranted())
	h.Permit(&agentv1.PermitRequest{Limit: &agentv1.RateLimit{Endpoint: "e/1"}}) // the endpoint no longer advertises a limit
	report := &agentv1.Report{}
	is.True(early.Fill(report))
	is.True(report.GetRateLimits()[0].Rate == nil)
	negative := -1.0
	permit = h.Permit(&agentv1.PermitRequest{Limit: &agentv1.RateLimit{Endpoint: "e/1", Rate: &negative}, Wanted: true})
	is.True(!permit.GetGranted())
}

// Guards against a host that does not add up the demand of the entries.
func TestHostAddsUpDemand(t *testing.T) {
	is := is.New(t)
	h := NewHost(func() time.Duration { return time.Hour }, ratelimit.NewArbiter())
	for i, entry := range []string{"a", "b", "b"} {
		demand := &agentv1.PoolDemand{Pool: "p", Capacity: 5, Entries: 1, Levels: []*agentv1.LevelDemand{{Level: 3, Arrivals: 2, Admitted: 1}}}
		sum := h.PublishDemand(&agentv1.PublishDemandRequest{Entry: entry, Pools: []*agentv1.PoolDemand{demand}}).GetPools()[0]
		entries := float64(min(i+1, 2))
		is.Equal(float64(sum.GetEntries()), entries)
		is.Equal(sum.GetCapacity(), 5*entries)
		is.Equal(sum.GetLevels()[0].GetArrivals(), 2*entries)
		is.Equal(sum.GetLevels()[0].GetAdmitted(), entries)
	}
}
