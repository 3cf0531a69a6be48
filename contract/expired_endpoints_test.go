package contract

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
)

// TestEvictsLongestExpiredEndpoints announces and expires self-announced endpoints one after
// another and checks that only those whose leases expired first are evicted.
func TestEvictsLongestExpiredEndpoints(t *testing.T) {
	is := is.New(t)
	s := NewState()
	s.maxExpiredEndpoints = 5
	apply := func(data []byte, err error) {
		t.Helper()
		is.NoErr(err)
		index, _ := s.Applied()
		is.True(s.Apply(index+1, 1, data).(*Result).Err == nil)
	}
	announce := func(id string) {
		apply(EncodeAnnounce(1, &controlv1.AnnounceRequest{Agent: id, Incarnation: 1, Full: true,
			Endpoints: []*fleetv1.Endpoint{{Id: id, Addr: "10.0.0.1:80", Pool: "a"}}}))
	}
	expire := func(id string) { apply(EncodeExpire(1, AgentRef{Name: id, Incarnation: 1})) }
	known := func(id string) bool {
		_, agent := s.Agent(id)
		is.Equal(agent, s.Endpoint(id) != nil) // evicted together with its agent record
		return agent
	}
	announce("lives")
	for i := range 30 {
		id := fmt.Sprintf("e%02d", i)
		announce(id)
		expire(id)
	}
	is.True(known("lives"))
	for i := range 30 {
		is.Equal(known(fmt.Sprintf("e%02d", i)), i >= 25)
	}
	announce("e03") // it was only partitioned
	is.True(s.Endpoint("e03").GetLive())
	announce("e26")
	expire("e03")
	is.True(known("e25")) // the number of expired endpoints has not grown
	expire("e26")
	is.True(!known("e25"))
	is.True(known("e03"))
	_, present := s.Agent("e26")
	is.True(present)
}

// TestAgentEndpointsAreNotEvicted checks that expired endpoints of agents are kept: an agent
// announces the same endpoints at each start.
func TestAgentEndpointsAreNotEvicted(t *testing.T) {
	is := is.New(t)
	s := NewState()
	s.maxExpiredEndpoints = 0
	for i, data := range [][]byte{
		mustEncode(EncodeAnnounce(1, &controlv1.AnnounceRequest{Agent: "agent-1", Addr: "10.0.0.1:7000", Incarnation: 1, Full: true,
			Endpoints: []*fleetv1.Endpoint{{Id: "engine-1", Pool: "a"}}})),
		mustEncode(EncodeExpire(1, AgentRef{Name: "agent-1", Incarnation: 1})),
	} {
		is.True(s.Apply(uint64(i+1), 1, data).(*Result).Err == nil)
	}
	is.True(s.Endpoint("engine-1") != nil)
}

func mustEncode(data []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return data
}
