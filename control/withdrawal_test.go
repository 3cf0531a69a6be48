package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/fault"
)

// A withdrawal that arrives before the first heartbeat of its endpoint must not be confirmed
// and forgotten: the late heartbeat would make the endpoint get new work. It holds across a
// change of the leader and a restart of all replicas.
func TestLateHeartbeatOfWithdrawnEndpoint(t *testing.T) {
	heartbeat := func(incarnation uint64) *controlv1.AnnounceRequest {
		return &controlv1.AnnounceRequest{
			Agent: "e1", Incarnation: incarnation, Zone: "a", Seq: 1, Full: true,
			Endpoints: []*fleetv1.Endpoint{{Id: "e1", Addr: "10.0.0.9:80", Zone: "a", Pool: "p", Slots: 4}},
		}
	}
	for _, what := range []string{"same leader", "another leader", "restart of all"} {
		for _, withdrawn := range []uint64{0, 5} {
			t.Run(what, func(t *testing.T) {
				is := is.New(t)
				log := &fakeLog{state: contract.NewState()}
				leader, _ := beginTestLeadership(t, log)
				withdrawal := &controlv1.AnnounceRequest{Agent: "e1", Incarnation: withdrawn, Stopping: true}
				response, err := leader.announce(t.Context(), withdrawal)
				is.NoErr(err)
				is.True(!response.GetSendFull())
				before := log.Applied()
				_, err = leader.announce(t.Context(), withdrawal) // sent again
				is.NoErr(err)
				is.Equal(log.Applied(), before)
				if what == "restart of all" {
					snapshot, err := log.state.Snapshot()
					is.NoErr(err)
					log.state = contract.NewState()
					is.NoErr(log.state.Restore(snapshot))
				}
				if what != "same leader" {
					leader, _ = beginTestLeadership(t, log)
				}
				_, err = leader.announce(t.Context(), heartbeat(5))
				is.NoErr(err)
				is.Equal(log.state.Endpoint("e1").GetState(), fleetv1.EndpointState_ENDPOINT_STATE_LEAVING)
				_, err = leader.announce(t.Context(), heartbeat(uint64(time.Now().UnixMilli()))) // a later start
				is.NoErr(err)
				is.Equal(log.state.Endpoint("e1").GetState(), fleetv1.EndpointState_ENDPOINT_STATE_SERVING)
			})
		}
	}
}

// The withdrawal of an endpoint that an agent announces changes nothing, so it must not be
// confirmed.
func TestWithdrawalOfAgentsEndpointIsRefused(t *testing.T) {
	is := is.New(t)
	log := &fakeLog{state: contract.NewState()}
	leader, _ := beginTestLeadership(t, log)
	_, err := leader.announce(t.Context(), announcement("agent-1", 1, "engine-1"))
	is.NoErr(err)
	_, err = leader.announce(t.Context(), &controlv1.AnnounceRequest{Agent: "engine-1", Stopping: true})
	is.Equal(fault.KindOf(err), fault.Conflict)
	is.Equal(log.state.Endpoint("engine-1").GetState(), fleetv1.EndpointState_ENDPOINT_STATE_SERVING)
}
