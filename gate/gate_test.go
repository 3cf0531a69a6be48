package gate

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/proof"
)

const (
	ownIncarnation = 7
	start          = 1000 * time.Second
	serving        = fleetv1.EndpointState_ENDPOINT_STATE_SERVING
	leaving        = fleetv1.EndpointState_ENDPOINT_STATE_LEAVING
)

// newServing returns a gate whose endpoint "e" serves by revision 5, confirmed
// at start.
func newServing() *Gate {
	g := New(ownIncarnation, DefaultLimits(), []Endpoint{{ID: "e", Slots: 2}})
	g.Configure(5, map[string]fleetv1.EndpointState{"e": serving})
	g.Confirm(5, start)
	return g
}

func dispatch(f *agentv1.Freshness) *agentv1.DispatchRequest {
	return &agentv1.DispatchRequest{Endpoint: "e", Incarnation: ownIncarnation, Freshness: f}
}

func kindOf(v Verdict) fault.Kind {
	if v.Decision == Admit {
		return ""
	}
	return v.Fault.Kind
}

// Cut off from the quorum, an agent admits on the entry's knowledge alone, and
// nothing once that is old as well, doubtful, or behind its own.
func TestAdmissionNeedsFreshKnowledge(t *testing.T) {
	proof.Cell{
		Promise: proof.Leaving, Faults: []proof.Fault{proof.CutBothWays, proof.Late}, Step: "admission while the agent, and then the entry too, is cut off",
		Guard: "Gate.ownFresh and Gate.entryFresh, each check alone", Together: true,
	}.Log(t)
	is := is.New(t)
	g := newServing()
	now := start + 10*time.Second
	is.Equal(kindOf(g.Admit(start+2500*time.Millisecond, dispatch(nil))), fault.Kind("")) // own knowledge at the bound
	is.Equal(kindOf(g.Admit(now, dispatch(nil))), fault.Stale)

	knows := func(ticketAge, offset time.Duration, revision uint64) fault.Kind {
		kind := kindOf(g.Admit(now, dispatch(&agentv1.Freshness{AgentTimeNs: int64(now - ticketAge), OffsetNs: int64(offset), Revision: revision})))
		if kind == "" {
			g.Finish(now, dispatch(nil), Complete, nil)
		}
		return kind
	}
	is.Equal(knows(5*time.Second, 4*time.Second, 5), fault.Kind("")) // confirmed a second ago
	is.Equal(knows(2*time.Second, -time.Second, 5), fault.Stale)     // confirmed three seconds ago
	is.Equal(knows(5*time.Second, 4*time.Second, 4), fault.Stale)    // behind the agent
	is.Equal(knows(5*time.Second, 4*time.Second, 6), fault.Kind("")) // ahead of the agent
	is.Equal(knows(time.Second, 2*time.Second, 5), fault.Stale)      // claims to know the future
	is.Equal(knows(-time.Second, -2*time.Second, 5), fault.Stale)    // ticket not yet issued
	is.Equal(knows(time.Minute, 59*time.Second, 5), fault.Stale)     // ticket too old to compare clocks
	is.Equal(knows(time.Second, math.MaxInt64, 5), fault.Stale)      // overflows
	is.Equal(knows(time.Second, math.MinInt64, 5), fault.Stale)      // overflows
}

// A leaving endpoint is refused whatever the entry believes, a confirmation of
// a revision not yet in force counts for nothing, and nothing reverts.
func TestLeavingEndpointIsRefused(t *testing.T) {
	proof.Cell{
		Promise: proof.Leaving, Faults: []proof.Fault{proof.Late, proof.Crossed}, Step: "admission by an entry that has not heard of the leave",
		Guard: "gated.leaving",
	}.Log(t)
	proof.Cell{
		Promise: proof.Configuration, Faults: []proof.Fault{proof.Late, proof.Crossed}, Step: "an older configuration reaches the gate",
		Guard: "the comparison of revisions in Gate.Configure",
	}.Log(t)
	is := is.New(t)
	g := newServing()
	is.Equal(g.Admit(start, dispatch(nil)).Decision, Admit)
	g.Configure(6, map[string]fleetv1.EndpointState{"e": leaving})
	g.Configure(5, map[string]fleetv1.EndpointState{"e": serving}) // late, crossed
	fresh := &agentv1.Freshness{AgentTimeNs: int64(start), Revision: 9}
	is.Equal(kindOf(g.Admit(start, dispatch(fresh))), fault.Leaving)
	is.Equal(g.Drain().InFlight["e"], int32(1))
	g.Finish(start, dispatch(nil), Complete, nil)
	is.Equal(g.Drain().Drained, []string{"e"})

	g.Configure(7, map[string]fleetv1.EndpointState{"e": serving})
	g.Confirm(8, start+time.Minute)
	is.Equal(kindOf(g.Admit(start+time.Minute, dispatch(nil))), fault.Stale) // revision 8 may say leaving
	g.Confirm(6, start+time.Minute)
	is.Equal(kindOf(g.Admit(start+time.Minute, dispatch(nil))), fault.Kind("")) // 7 was accepted since
	g.Confirm(6, start)                                                         // late, crossed
	is.Equal(kindOf(g.Admit(start+time.Minute, dispatch(nil))), fault.Kind(""))
	g.Configure(8, nil)
	is.Equal(kindOf(g.Admit(start+time.Minute, dispatch(nil))), fault.Unavailable)
	g.Stop()
	is.Equal(kindOf(g.Admit(start+time.Minute, dispatch(nil))), fault.Leaving)
	other := dispatch(nil)
	other.Incarnation++
	is.Equal(kindOf(g.Admit(start, other)), fault.Fenced)
}

// A recorded answer is given again; old answers give way to new ones but their
// status stays, and no more than the slots and their queue are admitted.
func TestAnswersAndSlotsAreBounded(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	limits.AnswerBytes, limits.Overcommit = 100, 1
	g := New(ownIncarnation, limits, []Endpoint{{ID: "e", Slots: 2}})
	g.Configure(1, map[string]fleetv1.EndpointState{"e": serving})
	g.Confirm(1, start)
	claim := func(id string) *agentv1.DispatchRequest {
		return &agentv1.DispatchRequest{Endpoint: "e", Incarnation: ownIncarnation, ClaimId: id, ClaimTicketNs: int64(start)}
	}
	is.Equal(g.Admit(start, claim("a")).Decision, Admit)
	is.Equal(g.Admit(start, claim("b")).Decision, Admit)
	is.Equal(kindOf(g.Admit(start, claim("c"))), fault.Overloaded)
	for _, id := range []string{"a", "b"} {
		g.Finish(start, claim(id), Complete, &controlv1.Answer{Status: 201, Body: make([]byte, 60)})
	}
	is.True(g.Admit(start, claim("a")).Answer.GetTruncated())
	is.Equal(g.Admit(start, claim("a")).Answer.GetStatus(), int32(201))
	is.Equal(len(g.Admit(start, claim("b")).Answer.GetBody()), 60)
	is.Equal(kindOf(g.Admit(start, claim("c"))), fault.Fenced) // refused once, closed for good
	mixed := claim(ClaimID("d", int64(start-1)))
	is.Equal(kindOf(g.Admit(start, mixed)), fault.Invalid) // the id names another ticket
}

// With its memory full, the gate keeps what runs and what has ended within the
// window, and does not vouch for a ticket that it has not issued yet.
func TestFullMemoryKeepsWhatIsNeeded(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	limits.Claims = 1
	g := New(ownIncarnation, limits, nil)
	is.Equal(g.claims.start(start, "a", start), nil)
	revoke := func(now time.Duration, id string) agentv1.RevokeState {
		return g.Revoke(now, &agentv1.RevokeRequest{ClaimId: id, Incarnation: ownIncarnation}).GetState()
	}
	ended := start + 2*limits.AdmissionWindow
	is.True(!g.claims.room(ended))
	g.Finish(ended, &agentv1.DispatchRequest{ClaimId: "a"}, Complete, &controlv1.Answer{Status: 200})
	is.True(!g.claims.room(ended + limits.AdmissionWindow))
	is.Equal(revoke(ended, "a"), agentv1.RevokeState_REVOKE_STATE_ANSWERED)
	is.Equal(revoke(ended, ClaimID("b", int64(ended+1))), agentv1.RevokeState_REVOKE_STATE_UNKNOWN)
	is.True(g.claims.room(ended + limits.AdmissionWindow + 1))
	is.Equal(revoke(ended, "a"), agentv1.RevokeState_REVOKE_STATE_UNKNOWN) // forgotten by now
}

// No order passes before a quorum has told the highest token, nor one with a
// lower token afterwards.
func TestOrdersAreFenced(t *testing.T) {
	is := is.New(t)
	g := newServing()
	order := func(fence uint64) error {
		return g.AdmitOrder(&agentv1.OrderRequest{Endpoint: "e", Incarnation: ownIncarnation, Fence: fence})
	}
	g.RaiseFence(9) // a heartbeat's answer is not a quorum's
	is.Equal(fault.KindOf(order(10)), fault.NoQuorum)
	g.LearnFence(8)
	is.Equal(fault.KindOf(order(8)), fault.Fenced)
	is.NoErr(order(9))
	is.NoErr(order(11))
	is.Equal(fault.KindOf(order(10)), fault.Fenced)
}

func BenchmarkAdmit(b *testing.B) {
	g := newServing()
	d := dispatch(&agentv1.Freshness{AgentTimeNs: int64(start), Revision: 5})
	b.ReportAllocs()
	for b.Loop() {
		g.Admit(start, d)
		g.Finish(start, d, Complete, nil)
	}
}

func BenchmarkAdmitClaim(b *testing.B) {
	g := newServing()
	answer := &controlv1.Answer{Status: 200, Body: make([]byte, 256)}
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		g.Confirm(5, now)
		d := dispatch(nil)
		d.ClaimTicketNs = int64(now)
		d.ClaimId = ClaimID("x", d.ClaimTicketNs)
		if g.Admit(now, d).Decision != Admit {
			b.Fatal("refused")
		}
		g.Finish(now, d, Complete, answer)
	}
}
