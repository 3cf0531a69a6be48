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

// limitedGate is a gate before one endpoint, which takes work.
func limitedGate() *Gate {
	limits := DefaultLimits()
	limits.Freshness = time.Hour
	g := New(1, limits, []Endpoint{{ID: "e"}})
	g.Configure(1, map[string]fleetv1.EndpointState{"e": fleetv1.EndpointState_ENDPOINT_STATE_SERVING})
	g.Confirm(1, time.Second)
	return g
}

// admitted is how many of the dispatches that come each 50 ms pass within a time.
func admitted(g *Gate, from, to time.Duration, limit *agentv1.RateLimit) int {
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

// Guards against a limit that polls get past, that outlives the process that named it, or that
// an agent which has just started does not know.
func TestTheGateKeepsANamedLimit(t *testing.T) {
	is := is.New(t)
	g := limitedGate()
	is.Equal(admitted(g, 2*time.Second, 3*time.Second, nil), 20) // no limit
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
	passed := admitted(g, 33*time.Second, 63*time.Second, nil)
	is.True(passed >= 58 && passed <= 63) // 60, and what is saved up

	refused := g.Admit(63*time.Second, &agentv1.DispatchRequest{Incarnation: 1, Endpoint: "e"})
	is.Equal(refused.Fault.Kind, fault.RateLimited)
	is.True(refused.Fault.RetryAfter > 0)

	g.ProcessEnded(64*time.Second, "e")
	is.Equal(admitted(g, 64*time.Second, 65*time.Second, nil), 20) // the next process has named none

	rate := 1.0
	reborn := limitedGate()
	known := &agentv1.RateLimit{Endpoint: "e", Rate: &rate}
	is.True(admitted(reborn, 2*time.Second, 12*time.Second, known) <= 12) // the sender knows
}

// Guards against dispatches and polls in a pause, against a crowd at its end, and against a pause, or
// the word that an endpoint leaves, that outlives the process which gave it.
func TestTheGateKeepsAPause(t *testing.T) {
	is := is.New(t)
	g := limitedGate()
	g.RecordPushback(2*time.Second, "e", 3*time.Second)
	is.Equal(admitted(g, 2*time.Second, 5*time.Second, nil), 0)
	refused := g.Admit(4*time.Second, &agentv1.DispatchRequest{Incarnation: 1, Endpoint: "e"})
	is.Equal(refused.Fault.Kind, fault.RateLimited)
	is.Equal(refused.Fault.RetryAfter, time.Second)
	ok, _ := g.AdmitPoll(4*time.Second, "e")
	is.True(!ok)
	is.True(g.CheckSend(4999*time.Millisecond, "e") != nil)
	is.Equal(g.CheckSend(5*time.Second, "e"), nil) // a probe
	is.True(g.CheckSend(5*time.Second, "e") != nil)
	g.RecordAccepted("e", 4*time.Second) // the answer to an earlier request
	is.True(g.CheckSend(5*time.Second, "e") != nil)
	g.RecordAccepted("e", 5*time.Second)
	is.Equal(g.CheckSend(5*time.Second, "e"), nil)

	g.RecordPushback(6*time.Second, "e", time.Hour)
	g.RecordLeaving(6*time.Second, "e", 5*time.Second, true)
	g.RecordLeaving(7*time.Second, "e", 5500*time.Millisecond, false) // asked before
	is.Equal(g.Admit(7*time.Second, &agentv1.DispatchRequest{Incarnation: 1, Endpoint: "e"}).Fault.Kind, fault.Leaving)
	is.Equal(len(g.Drain().Drained), 0) // the configuration has not taken it out
	g.ProcessEnded(8*time.Second, "e")
	is.Equal(admitted(g, 8*time.Second, 9*time.Second, nil), 20)
}

// Guards against a claim that is spent on a dispatch which the pause of its endpoint refuses: it has
// not run, and never will.
func TestAClaimInAPauseIsNotRun(t *testing.T) {
	is := is.New(t)
	g := limitedGate()
	g.RecordPushback(2*time.Second, "e", 3*time.Second)
	ticket := int64(2500 * time.Millisecond)
	d := &agentv1.DispatchRequest{Incarnation: 1, Endpoint: "e", ClaimId: ClaimID("c", ticket), ClaimTicketNs: ticket}
	is.Equal(g.Admit(3*time.Second, d).Fault.Kind, fault.RateLimited)
	later := g.Admit(6*time.Second, d) // the same claim, delivered late
	is.Equal(later.Decision, Refuse)
	is.Equal(later.Fault.Kind, fault.Fenced)
}
