package control

import (
	"testing"

	"github.com/matryer/is"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/feed"
	"github.com/lilackeel/lilackeel/proof"
)

// evacuate sends an order to evacuate a zone, or to end its evacuation.
func (r *testReplica) evacuate(t *testing.T, zone string, evacuated bool) (uint64, error) {
	t.Helper()
	response, err := r.client(t).EvacuateZone(t.Context(), &controlv1.EvacuateZoneRequest{Zone: zone, Evacuated: evacuated})
	return response.GetRevision(), err
}

func hasState(client *feed.Client, id string, state fleetv1.EndpointState) func() bool {
	return func() bool {
		if !client.Ready() {
			return false
		}
		e, known := client.Configuration().Endpoints.Get(id)
		return known && e.GetState() == state
	}
}

// An evacuation ordered at a follower reaches the daemons, survives the loss of the leader and is
// ended by its successor; a repeated order gets the first response.
func TestEvacuationSurvivesItsLeader(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Restart, proof.ResentIntents}, Step: "evacuation of a zone, then loss of the leader", Combined: true,
		Guard: "the log entry of the evacuation"}.Log(t)
	is := is.New(t)
	const serving, leaving = fleetv1.EndpointState_ENDPOINT_STATE_SERVING, fleetv1.EndpointState_ENDPOINT_STATE_LEAVING
	replicas := startCluster(t, 3)
	leader := leaderOf(t, replicas)
	var followers []*testReplica
	for _, r := range replicas {
		if r != leader {
			followers = append(followers, r)
		}
	}
	watcher := watch(t, "entry-1", leader.addr, followers[0].addr, followers[1].addr)
	_, err := leader.client(t).Announce(t.Context(), announcement("agent-1", 1, "engine-1"))
	is.NoErr(err)
	_, err = followers[0].evacuate(t, "elsewhere", true)
	is.Equal(fault.KindOf(err), fault.Invalid) // no such zone
	revision, err := followers[0].evacuate(t, "sahel-a", true)
	is.NoErr(err)
	eventually(t, "the endpoint to leave", hasState(watcher, "engine-1", leaving))
	repeated, err := followers[1].evacuate(t, "sahel-a", true)
	is.NoErr(err)
	is.Equal(repeated, revision)

	leader.stop()
	successor := leaderOf(t, followers)
	repeated, err = successor.evacuate(t, "sahel-a", true)
	is.NoErr(err)
	is.Equal(repeated, revision)
	status, err := successor.client(t).Status(t.Context(), &controlv1.StatusRequest{})
	is.NoErr(err)
	is.Equal(status.GetEvacuatedZones(), []string{"sahel-a"})
	_, err = successor.evacuate(t, "sahel-a", false)
	is.NoErr(err)
	eventually(t, "the endpoint to serve again", hasState(watcher, "engine-1", serving))
}
