package contract

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/proof"
)

func (h *harness) evacuate(zone string, evacuated bool) *Result {
	return h.apply(EncodeEvacuateZone(h.logTime, &controlv1.EvacuateZoneRequest{Zone: zone, Evacuated: evacuated}))
}

// announceDirect announces an endpoint that is called directly.
func (h *harness) announceDirect(id, zone string, incarnation uint64) *Result {
	return h.apply(EncodeAnnounce(h.logTime, &controlv1.AnnounceRequest{
		Agent: id, Incarnation: incarnation, Zone: zone, Full: true,
		Endpoints: []*fleetv1.Endpoint{{Id: id, Addr: "10.0.0.9:80", Zone: zone, Pool: "lilackeel-pool", Slots: 4}},
	}))
}

func (h *harness) stateOf(id string) fleetv1.EndpointState { return h.state.Endpoint(id).GetState() }

// An evacuated zone takes no new work at any of its endpoints, also at those that are announced
// later or in a new incarnation, until the evacuation ends.
func TestEvacuatedZoneTakesNoWork(t *testing.T) {
	proof.Cell{Promise: proof.Leaving, Faults: []proof.Fault{proof.Restart}, Step: "announcement in an evacuated zone",
		Guard: "the zone's state in each endpoint record"}.Log(t)
	is := is.New(t)
	h := newHarness(1)
	h.announceDirect("a1", "a", 1)
	h.announceDirect("b1", "b", 1)
	before := h.state.Revision()
	is.True(h.evacuate("a", true).Err == nil)
	is.Equal(h.state.Revision(), before+1)
	is.Equal(h.state.EvacuatedZones(), []string{"a"})
	is.Equal(h.stateOf("a1"), leaving)
	is.Equal(h.stateOf("b1"), serving)
	delta, ok := h.state.DeltaSince(before)
	is.True(ok)
	is.Equal(len(delta.GetEndpoints()), 1) // daemons get the zone's endpoints and no others

	h.announceDirect("a2", "a", 1)
	h.announceDirect("a1", "a", 2)
	is.Equal(h.stateOf("a1"), leaving)
	is.Equal(h.stateOf("a2"), leaving)

	is.True(h.evacuate("a", false).Err == nil)
	is.Equal(h.stateOf("a1"), serving)
	is.Equal(h.stateOf("a2"), serving)
	is.True(h.state.Endpoint("a1").GetCold()) // until it announces otherwise
	h.announceDirect("a1", "a", 2)
	is.True(!h.state.Endpoint("a1").GetCold())
}

// A repeated order succeeds and changes nothing, and the end of an evacuation does not undo what
// the endpoint or its operator has decided.
func TestRepeatedEvacuationChangesNothing(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.announceDirect("a1", "a", 1)
	h.announce("agent", 1, newEngine("e1")) // in sahel-a
	is.True(h.planAndConfirm(&controlv1.Intent{Id: "stop", Endpoints: []*controlv1.EndpointChange{{Id: "e1", State: stopped}}}).Err == nil)
	is.True(h.evacuate("a", false).Err == nil) // never evacuated
	first := h.evacuate("sahel-a", true)
	h.evacuate("a", true)
	after := h.state.Revision()
	is.Equal(h.evacuate("sahel-a", true).Revision, first.Revision)
	is.Equal(h.state.Revision(), after)
	is.Equal(h.evacuate("", true).Err.Kind, fault.Invalid)
	h.evacuate("sahel-a", false)
	is.Equal(h.stateOf("e1"), stopped)
	stopping := newAnnouncement("a1", 1, &fleetv1.Endpoint{Id: "a1", Addr: "10.0.0.9:80", Zone: "a", Pool: "lilackeel-pool", Slots: 4})
	stopping.Addr, stopping.Stopping = "", true
	h.apply(EncodeAnnounce(h.logTime, stopping))
	h.evacuate("a", false)
	is.Equal(h.stateOf("a1"), leaving)
}

// An evacuation survives a snapshot, and replicas that apply equal logs hold equal states.
func TestEvacuationIsDurable(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Restart}, Step: "evacuation of a zone", Guard: "snapshot and log"}.Log(t)
	is := is.New(t)
	h := newHarness(1)
	h.announceDirect("a1", "a", 1)
	h.evacuate("a", true)
	h.evacuate("b", true)
	h.evacuate("b", false)
	snapshot, err := h.state.Snapshot()
	is.NoErr(err)
	restored, replayed := NewState(), NewState()
	is.NoErr(restored.Restore(snapshot))
	h.replay(replayed, 0)
	for _, replica := range []*State{restored, replayed} {
		is.Equal(replica.EvacuatedZones(), []string{"a"})
		is.True(proto.Equal(replica.Configuration(), h.state.Configuration()))
		again, err := replica.Snapshot()
		is.NoErr(err)
		is.Equal(string(again), string(snapshot))
	}
	h.announceDirect("a3", "a", 1)
	h.replay(restored, len(h.log)-1)
	is.Equal(restored.Endpoint("a3").GetState(), leaving)
}

// An operator plans an evacuation, sees what it does to the capacity, and loses the race against
// one that changes the same zone first.
func TestPlannedEvacuation(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.ConcurrentOperators}, Step: "confirmation of an evacuation", Guard: "revision of the zone"}.Log(t)
	is := is.New(t)
	h := newHarness(1)
	h.announce("agent", 1, newEngine("e1"))
	h.planAndConfirm(&controlv1.Intent{Id: "model", Models: []*fleetv1.Model{{Name: "draft", Pool: "lilackeel-pool", Version: "v1"}}})
	intent := func(id, zone string) *controlv1.Intent {
		return &controlv1.Intent{Id: id, Zones: []*controlv1.ZoneChange{{Zone: zone, Evacuated: true}}}
	}
	is.Equal(h.plan(intent("unknown", "nowhere")).Err.Kind, fault.NotFound)
	plan := h.plan(intent("first", "sahel-a")).Plan
	is.Equal(plan.GetCapacityBefore(), int64(8))
	is.Equal(plan.GetCapacityAfter(), int64(0)) // the last zone: the plan shows that nothing is left
	is.True(plan.GetChanges()[0].GetDrains())
	h.plan(intent("second", "sahel-a"))
	is.True(h.confirm("first").Err == nil)
	is.Equal(h.stateOf("e1"), leaving)
	is.Equal(h.confirm("second").Err.Kind, fault.Conflict)
	mixed := intent("mixed", "sahel-a")
	mixed.Endpoints = []*controlv1.EndpointChange{{Id: "e1", State: stopped}}
	is.Equal(h.plan(mixed).Err.Kind, fault.Invalid)
}
