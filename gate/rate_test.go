package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/ratelimit"
)

// newRateTestGate returns a gate with one serving endpoint and a freshness bound of an hour.
func newRateTestGate() *Gate {
	limits := DefaultLimits()
	limits.Freshness = time.Hour
	g := New(1, limits, []Endpoint{{ID: "e"}})
	g.Configure(1, map[string]fleetv1.EndpointState{"e": fleetv1.EndpointState_ENDPOINT_STATE_SERVING})
	g.Confirm(1, time.Second)
	return g
}

// countAdmitted sends a dispatch every 50 ms and returns how many are admitted.
func countAdmitted(g *Gate, from, to time.Duration, limit *agentv1.RateLimit) int {
	count := 0
	for now := from; now < to; now += 50 * time.Millisecond {
		d := &agentv1.DispatchRequest{Incarnation: 1, Endpoint: "e", RateLimit: limit}
		if g.Admit(now, d).Decision == Admit {
			count++
			g.Finish(now, d, Complete, nil)
		}
	}
	return count
}

// Guards against a rate limit that polls bypass, that outlives the process that advertised it, or
// that a restarted agent does not know.
func TestGateEnforcesRateLimit(t *testing.T) {
	is := is.New(t)
	g := newRateTestGate()
	is.Equal(countAdmitted(g, 2*time.Second, 3*time.Second, nil), 20) // no limit
	g.LearnRateLimit(3*time.Second, "e", ratelimit.Limit{Rate: 2, SentAt: 2 * time.Second, ReceivedAt: 3 * time.Second})
	polls := 0
	for now := 3 * time.Second; now < 33*time.Second; now += 100 * time.Millisecond {
		ok, limited := g.AdmitPoll(now, "e")
		is.True(limited)
		if ok {
			polls++
		}
	}
	is.True(polls >= 6 && polls <= 8) // an eighth of the limit
	passed := countAdmitted(g, 33*time.Second, 63*time.Second, nil)
	is.True(passed >= 58 && passed <= 63) // 60 and the burst

	refused := g.Admit(63*time.Second, &agentv1.DispatchRequest{Incarnation: 1, Endpoint: "e"})
	is.Equal(refused.Fault.Kind, fault.RateLimited)
	is.True(refused.Fault.RetryAfter > 0)

	g.ProcessEnded(64*time.Second, "e")
	is.Equal(countAdmitted(g, 64*time.Second, 65*time.Second, nil), 20) // the next process has advertised none

	rate := 1.0
	restarted := newRateTestGate()
	advertised := &agentv1.RateLimit{Endpoint: "e", Rate: &rate}
	is.True(countAdmitted(restarted, 2*time.Second, 12*time.Second, advertised) <= 12) // the sender knows the limit
}

// Guards against dispatches and polls during a pause, against a burst at its end, and against a
// pause or a leaving announcement that outlives the process it came from.
func TestGateEnforcesPause(t *testing.T) {
	is := is.New(t)
	g := newRateTestGate()
	g.RecordPushback(2*time.Second, "e", 3*time.Second)
	is.Equal(countAdmitted(g, 2*time.Second, 5*time.Second, nil), 0)
	refused := g.Admit(4*time.Second, &agentv1.DispatchRequest{Incarnation: 1, Endpoint: "e"})
	is.Equal(refused.Fault.Kind, fault.RateLimited)
	is.Equal(refused.Fault.RetryAfter, time.Second)
	ok, _ := g.AdmitPoll(4*time.Second, "e")
	is.True(!ok)
	is.True(g.CheckSend(4999*time.Millisecond, "e") != nil)
	is.Equal(g.CheckSend(5*time.Second, "e"), nil) // a probe
	is.True(g.CheckSend(5*time.Second, "e") != nil)
	g.RecordAccepted("e", 4*time.Second) // sent before the end of the pause
	is.True(g.CheckSend(5*time.Second, "e") != nil)
	g.RecordAccepted("e", 5*time.Second)
	is.Equal(g.CheckSend(5*time.Second, "e"), nil)

	g.RecordPushback(6*time.Second, "e", time.Hour)
	g.RecordLeaving(6*time.Second, "e", 5*time.Second, true)
	g.RecordLeaving(7*time.Second, "e", 5500*time.Millisecond, false) // sent before the announcement
	is.Equal(g.Admit(7*time.Second, &agentv1.DispatchRequest{Incarnation: 1, Endpoint: "e"}).Fault.Kind, fault.Leaving)
	is.Equal(len(g.Drain().Drained), 0) // still in service by configuration
	g.ProcessEnded(8*time.Second, "e")
	is.Equal(countAdmitted(g, 8*time.Second, 9*time.Second, nil), 20)
}

// Guards against running a claim whose dispatch was refused because of a pause: it is reported as
// not run and must never run later.
func TestClaimRefusedInAPauseNeverRuns(t *testing.T) {
	is := is.New(t)
	g := newRateTestGate()
	g.RecordPushback(2*time.Second, "e", 3*time.Second)
	ticket := int64(2500 * time.Millisecond)
	d := &agentv1.DispatchRequest{Incarnation: 1, Endpoint: "e", ClaimId: ClaimID("c", ticket), ClaimTicketNs: ticket}
	is.Equal(g.Admit(3*time.Second, d).Fault.Kind, fault.RateLimited)
	later := g.Admit(6*time.Second, d) // a delayed duplicate of the same claim
	is.Equal(later.Decision, Refuse)
	is.Equal(later.Fault.Kind, fault.Fenced)
}

// Guards against polls that come on top of the rate limit: dispatches and polls together must keep to
// it.
func TestPollsCountTowardsRateLimit(t *testing.T) {
	is := is.New(t)
	g := newRateTestGate()
	const rate, seconds = 8, 20
	g.LearnRateLimit(2*time.Second, "e", ratelimit.Limit{Rate: rate, SentAt: time.Second, ReceivedAt: 2 * time.Second})
	dispatches, polls := 0, 0
	for now := 2 * time.Second; now < (2+seconds)*time.Second; now += 50 * time.Millisecond {
		if ok, _ := g.AdmitPoll(now, "e"); ok {
			polls++
		}
		dispatches += countAdmitted(g, now, now+50*time.Millisecond, nil)
	}
	t.Logf("%d dispatches and %d polls in %d s under a limit of %d per second", dispatches, polls, seconds, rate)
	is.True(polls >= 1)
	is.True(dispatches+polls <= rate*seconds+rate/2) // the limit and a burst
}
