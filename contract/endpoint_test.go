package contract

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/proof"
)

// TestLeavingEndpointStaysLeaving checks that an endpoint that operators set leaving or
// stopped accepts no work until they set it serving, whatever agents announce, replicas
// restore or other operators request meanwhile.
func TestLeavingEndpointStaysLeaving(t *testing.T) {
	proof.Cell{Promise: proof.Leaving, Faults: []proof.Fault{proof.Kill, proof.Restart, proof.DelayedMessages, proof.ReorderedMessages, proof.ConcurrentOperators, proof.ResentIntents}, Step: "announcements, expiries, restored replicas and other operators after the leave", Combined: true,
		Guard: "each alone: the wanted state takes precedence over the announced one, is in the snapshot, base revisions are compared, a repeated confirm keeps its answer"}.Log(t)
	for seed := range uint64(30) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(seed)
			h.announce("a", 1, newEngine("e1"))
			wanted := pick(h.rng, leaving, stopped)
			base := h.state.Revision()
			h.planAndConfirm(&controlv1.Intent{Id: "leave", Endpoints: []*controlv1.EndpointChange{{Id: "e1", State: wanted}}})
			for step := range 200 {
				agent, incarnation := pick(h.rng, "a", "b"), 1+h.rng.Uint64N(6)
				switch h.rng.IntN(7) {
				case 0, 1:
					announced := newEngine("e1")
					announced.State = pick(h.rng, serving, 0)
					h.announce(agent, incarnation, announced)
				case 2:
					h.announce(agent, incarnation)
				case 3:
					h.apply(EncodeExpire(0, AgentRef{agent, incarnation}))
				case 4:
					restoreFromSnapshot(h)
				case 5: // an operator whose base revision predates the leave
					join := &controlv1.Intent{Id: fmt.Sprint("join-", step), BaseRevision: base, Endpoints: []*controlv1.EndpointChange{{Id: "e1", State: serving}}}
					is.Equal(h.planAndConfirm(join).Err.Kind, fault.Conflict)
				case 6:
					is.Equal(h.confirm("leave").Revision, base+1)
				}
				is.Equal(h.state.Endpoint("e1").GetState(), wanted)
				is.True(!h.apply(EncodeClaim(0, newClaimRequest("k", "x", 1, agent, incarnation, "e1"))).Granted)
			}
			h.apply(EncodeExpire(0, AgentRef{"a", h.state.agents["a"].incarnation}))
			h.announce("c", 1, newEngine("e1"))
			h.planAndConfirm(&controlv1.Intent{Id: "join", Endpoints: []*controlv1.EndpointChange{{Id: "e1", State: serving}}})
			is.Equal(h.state.Endpoint("e1").GetState(), serving)
		})
	}
}

// TestAnnouncementsDoNotConflictWithIntents checks that an endpoint that an agent withdrew
// and announced again does not make an intent with an older base revision conflict.
func TestAnnouncementsDoNotConflictWithIntents(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.announce("a", 1, newEngine("e1"), newEngine("e2"))
	base := h.state.Revision()
	leave := &controlv1.Intent{Id: "leave", BaseRevision: base, Endpoints: []*controlv1.EndpointChange{{Id: "e1", State: leaving}}}
	h.plan(&controlv1.Intent{Id: "before", Endpoints: leave.GetEndpoints()})
	h.announce("a", 1, newEngine("e2"))
	is.Equal(h.confirm("before").Err.Kind, fault.Conflict) // the endpoint does not exist now
	h.announce("a", 2, newEngine("e1"), newEngine("e2"))
	is.Equal(h.planAndConfirm(leave).Err, nil)
	is.Equal(h.confirm("before").Err.Kind, fault.Conflict)
}

// TestStaleIntentCannotRecreateRemovedObject checks that an intent based on a revision
// before the removal of a workspace cannot recreate it, even when the tombstone has been
// evicted.
func TestStaleIntentCannotRecreateRemovedObject(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.ConcurrentOperators, proof.Restart}, Step: "intent based on a revision before a removal", Combined: true,
		Guard: "tombstones of removed objects, and tombstones in the snapshot, each alone"}.Log(t)
	is := is.New(t)
	h := newHarness(1)
	workspaces := []*fleetv1.Workspace{newWorkspace("ops", 1, 0)}
	h.planAndConfirm(&controlv1.Intent{Id: "create", Workspaces: workspaces})
	h.plan(&controlv1.Intent{Id: "planned", Workspaces: []*fleetv1.Workspace{newWorkspace("ops", 2, 0)}})
	h.planAndConfirm(&controlv1.Intent{Id: "remove", RemoveWorkspaces: []string{"ops"}})
	is.Equal(h.confirm("planned").Err.Kind, fault.Conflict)
	restoreFromSnapshot(h)
	late := &controlv1.Intent{Id: "late", BaseRevision: 1, Workspaces: workspaces}
	is.True(strings.Contains(h.plan(late).Err.Message, "intent remove of operator amel"))
	for i := range maxTombstones {
		h.state.tombstones.add(objectRef{modelKind, fmt.Sprint(i)}, 3, "other")
	}
	is.Equal(h.plan(late).Err.Kind, fault.Conflict)
	late.BaseRevision = h.state.Revision()
	is.Equal(h.planAndConfirm(late).Err, nil)
}

// TestSupersededAgentsAreFenced checks that a superseded incarnation is refused, that two
// agents cannot hold one endpoint, and that an announcement without changes creates no
// revision.
func TestSupersededAgentsAreFenced(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.DelayedMessages, proof.Restart}, Step: "messages of a superseded incarnation of an agent", Combined: true,
		Guard: "the list of superseded incarnations"}.Log(t)
	is := is.New(t)
	h := newHarness(1)
	is.Equal(h.announce("a", 7, newEngine("e1")).Revision, uint64(1))
	changes, _, err := h.state.AnnounceChanges(newAnnouncement("a", 7, newEngine("e1")))
	is.NoErr(err)
	is.True(!changes)
	is.Equal(h.announce("a", 7, newEngine("e1")).Revision, uint64(1))
	is.Equal(h.announce("a", 3, newEngine("e1")).Revision, uint64(2)) // a restart; incarnations are random numbers
	is.Equal(h.announce("a", 7, newEngine("e1")).Err.Kind, fault.Fenced)
	is.Equal(h.apply(EncodeDrained(0, AgentRef{"a", 7}, "e1")).Err.Kind, fault.Fenced)
	is.Equal(h.apply(EncodeObserved(0, AgentRef{"a", 7}, &fleetv1.Endpoint{Id: "e1", Model: "old"})).Err.Kind, fault.Fenced)
	h.apply(EncodeExpire(0, AgentRef{"a", 7}))
	is.True(h.state.Endpoint("e1").GetLive())

	result := h.announce("b", 1, newEngine("e1"), newEngine("e2"))
	is.Equal(len(result.Refused), 1)
	is.Equal(result.Refused[0].Kind, fault.Conflict)
	is.Equal(h.state.Endpoint("e1").GetAgent(), "a")
	is.Equal(h.state.Endpoint("e2").GetAgent(), "b")
	h.apply(EncodeExpire(0, AgentRef{"a", 3}))
	h.announce("b", 1, newEngine("e1"), newEngine("e2"))
	is.Equal(h.state.Endpoint("e1").GetAgent(), "b")
	h.announce("a", 3)
	is.Equal(h.state.Endpoint("e1").GetAgent(), "b")

	stopping := newAnnouncement("b", 1, newEngine("e1"))
	stopping.Stopping = true
	h.apply(EncodeAnnounce(0, stopping))
	is.Equal(h.state.Endpoint("e1").GetState(), leaving)
	is.Equal(h.state.Endpoint("e2"), nil)
	h.announce("b", 2, newEngine("e1"))
	is.Equal(h.state.Endpoint("e1").GetState(), serving)
}

// TestFirstMapDecisionIsFinal checks that the first decision of a switch is final and that
// a coordinator with an old fencing token cannot decide.
func TestFirstMapDecisionIsFinal(t *testing.T) {
	proof.Cell{Promise: proof.OneMapPerStep, Faults: []proof.Fault{proof.Restart, proof.DelayedMessages, proof.DuplicatedMessages}, Step: "begin and decision of a switch in the log", Combined: true,
		Guard: "each alone: the fencing token, the first decision is final, maps in the snapshot"}.Log(t)
	is := is.New(t)
	h := newHarness(1)
	begin := func(epoch, fence uint64, text string) *Result {
		return h.apply(EncodeMapBegin(0, "g", epoch, fence, []byte(text)))
	}
	decide := func(epoch, fence uint64, commit bool) *Result {
		return h.apply(EncodeMapDecide(0, "g", epoch, fence, commit, 100))
	}
	is.Equal(begin(2, 5, "m").Err.Kind, fault.Conflict)
	is.Equal(begin(1, 5, "m1").Err, nil)
	is.Equal(begin(1, 6, "m1").Err, nil) // the next leader takes over the switch
	is.Equal(begin(1, 5, "m1").Err.Kind, fault.Fenced)
	is.Equal(begin(2, 6, "m2").Err.Kind, fault.Conflict)
	is.Equal(decide(1, 5, false).Err.Kind, fault.Fenced)
	is.Equal(decide(1, 6, true).Map.GetState(), fleetv1.MapState_MAP_STATE_COMMITTED)
	is.Equal(decide(1, 7, false).Map.GetState(), fleetv1.MapState_MAP_STATE_COMMITTED)
	begin(2, 7, "m2")
	is.Equal(decide(1, 7, true).Err.Kind, fault.Conflict)
	is.Equal(decide(2, 7, false).Map.GetState(), fleetv1.MapState_MAP_STATE_ABORTED)
	is.Equal(decide(2, 7, true).Map.GetState(), fleetv1.MapState_MAP_STATE_ABORTED)
	restoreFromSnapshot(h)
	record := begin(3, 8, "m3").Map
	is.Equal(record.GetBaseEpoch(), uint64(1))
	is.Equal(string(record.GetBaseMap()), "m1")
}

// TestFencingTokensIncrease checks that each fencing token is higher than all earlier ones,
// also after a restart.
func TestFencingTokensIncrease(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	first := h.apply(EncodeIssueFence(0)).Fence
	restoreFromSnapshot(h)
	h.announce("a", 1)
	second := h.apply(EncodeIssueFence(0)).Fence
	is.True(first > 0 && second > first)
	is.Equal(h.state.Fence(), second)
}
