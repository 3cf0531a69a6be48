package contract

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
)

// TestOnlyTheEndpointsGoneLongestAreForgotten lets endpoints with an id of their own
// start and go, one after another.
func TestOnlyTheEndpointsGoneLongestAreForgotten(t *testing.T) {
	is := is.New(t)
	s := NewState()
	s.maxGone = 5
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
		is.Equal(agent, s.Endpoint(id) != nil) // with the record of its announcer
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
	announce("e03") // it was only cut off
	is.True(s.Endpoint("e03").GetLive())
	announce("e26")
	expire("e03")
	is.True(known("e25")) // as many as before are gone
	expire("e26")
	is.True(!known("e25"))
	is.True(known("e03"))
	_, present := s.Agent("e26")
	is.True(present)
}

// TestEndpointsOfAgentsAreNotForgotten keeps what agents gate: they announce the same
// endpoints at each start.
func TestEndpointsOfAgentsAreNotForgotten(t *testing.T) {
	is := is.New(t)
	s := NewState()
	s.maxGone = 0
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
