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

func testSite(version uint64) *fleetv1.Site {
	return &fleetv1.Site{
		Version: version, Document: []byte("the published document"),
		Pools: []*fleetv1.Pool{{Name: "a"}, {Name: "b"}},
		Routes: []*fleetv1.Route{
			{Name: "one", Host: "x.example", PathPrefix: "/a/", Kind: fleetv1.CallKind_CALL_KIND_SINGLE, TimeoutMs: 1000, Splits: []*fleetv1.Split{{Pool: "a", Weight: 1}}},
			{Name: "two", Host: "x.example", PathPrefix: "/b/", Kind: fleetv1.CallKind_CALL_KIND_STREAM, TimeoutMs: 1000, Splits: []*fleetv1.Split{{Pool: "a"}, {Pool: "b", Weight: 2}}},
		},
		Workspaces: []*fleetv1.Workspace{{Name: "w", KeyDigests: []string{"d1", "d2"}}, {Name: "v", KeyDigests: []string{"d3"}}},
	}
}

// publish applies a Publish command with the given site.
func publish(t *testing.T, s *State, site *fleetv1.Site) *Result {
	t.Helper()
	data, err := EncodePublish(1, site)
	if err != nil {
		t.Fatal(err)
	}
	index, term := s.Applied()
	return s.Apply(index+1, max(term, 1), data).(*Result)
}

func TestHighestSiteVersionIsInForce(t *testing.T) {
	is := is.New(t)
	s := NewState()
	is.True(s.Site() == nil)
	is.True(publish(t, s, testSite(7)).Err == nil)
	revision := s.Revision()
	for _, version := range []uint64{7, 3, 0} { // resent, superseded
		other := testSite(version)
		other.Document = []byte("a different document")
		other.Routes = other.Routes[:1]
		is.True(publish(t, s, other).Err == nil) // succeeds
		is.Equal(s.Revision(), revision)         // without any change
		is.Equal(string(s.Site().GetDocument()), "the published document")
	}
	is.True(publish(t, s, testSite(9)).Err == nil)
	is.Equal(s.Site().GetVersion(), uint64(9))
	is.Equal(s.Revision(), revision+1)
}

func TestInvalidSiteIsRefusedAtAnyVersion(t *testing.T) {
	for name, corrupt := range map[string]func(*fleetv1.Site){
		"unknown pool":        func(s *fleetv1.Site) { s.Routes[0].Splits[0].Pool = "c" },
		"duplicate pool":      func(s *fleetv1.Site) { s.Pools[1].Name = "a" },
		"same address":        func(s *fleetv1.Site) { s.Routes[1].Host, s.Routes[1].PathPrefix = "X.example", "/a/" },
		"no weight":           func(s *fleetv1.Site) { s.Routes[1].Splits[1].Weight = 0 },
		"negative weight":     func(s *fleetv1.Site) { s.Routes[1].Splits[0].Weight = -1 },
		"no split":            func(s *fleetv1.Site) { s.Routes[0].Splits = nil },
		"no timeout":          func(s *fleetv1.Site) { s.Routes[0].TimeoutMs = 0 },
		"no kind":             func(s *fleetv1.Site) { s.Routes[0].Kind = 0 },
		"no trailing slash":   func(s *fleetv1.Site) { s.Routes[0].PathPrefix = "/a" },
		"shared key":          func(s *fleetv1.Site) { s.Workspaces[1].KeyDigests = []string{"d2"} },
		"duplicate workspace": func(s *fleetv1.Site) { s.Workspaces[1].Name = "w" },
		"unnamed pool":        func(s *fleetv1.Site) { s.Pools[0].Name = "" },
		"no leading slash":    func(s *fleetv1.Site) { s.Routes[0].PathPrefix = "a/" },
		"unnamed workspace":   func(s *fleetv1.Site) { s.Workspaces[0].Name = "" },
	} {
		for _, version := range []uint64{1, 5, 9} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				s := NewState()
				is.True(publish(t, s, testSite(5)).Err == nil)
				before := s.Revision()
				bad := testSite(version)
				corrupt(bad)
				is.Equal(fault.KindOf(publish(t, s, bad).Err), fault.Invalid)
				is.Equal(s.Revision(), before)
				is.Equal(s.Site().GetVersion(), uint64(5))
			})
		}
	}
}

// TestSiteInDeltaAndSnapshot checks that daemons receive the site without its document, in a
// delta and in the whole configuration, and that a restored replica has the document.
func TestSiteInDeltaAndSnapshot(t *testing.T) {
	is := is.New(t)
	s := NewState()
	publish(t, s, testSite(1))
	revision := s.Revision()
	publish(t, s, testSite(2))
	delta, ok := s.DeltaSince(revision)
	is.True(ok)
	is.Equal(delta.GetSite().GetVersion(), uint64(2))
	is.Equal(len(delta.GetSite().GetDocument()), 0)
	is.Equal(len(s.Configuration().GetSite().GetDocument()), 0)
	is.Equal(len(s.Configuration().GetSite().GetRoutes()), 2)
	data, err := s.Snapshot()
	is.NoErr(err)
	restored := NewState()
	is.NoErr(restored.Restore(data))
	is.True(proto.Equal(restored.Site(), s.Site()))
	again, err := restored.Snapshot()
	is.NoErr(err)
	is.Equal(again, data)
}

// TestSelfAnnouncedEndpointStaysLeaving checks that a delayed announcement does not undo the
// leaving state of an endpoint that announces itself.
func TestSelfAnnouncedEndpointStaysLeaving(t *testing.T) {
	is := is.New(t)
	s := NewState()
	announce := func(stopping bool) {
		request := selfAnnouncement(stopping)
		data, err := EncodeAnnounce(1, request)
		is.NoErr(err)
		index, _ := s.Applied()
		is.True(s.Apply(index+1, 1, data).(*Result).Err == nil)
	}
	announce(false)
	is.Equal(s.Endpoint("e").GetState(), fleetv1.EndpointState_ENDPOINT_STATE_SERVING)
	announce(true)
	is.Equal(s.Endpoint("e").GetState(), fleetv1.EndpointState_ENDPOINT_STATE_LEAVING)
	announce(false)
	is.Equal(s.Endpoint("e").GetState(), fleetv1.EndpointState_ENDPOINT_STATE_LEAVING)
}

// TestSelfAnnouncedEndpointRestart checks that an endpoint that restarts under the same id
// serves although its earlier incarnation left, and that delayed announcements of the earlier
// incarnation change nothing. A start with an earlier time, from a clock that was set back,
// is accepted once the lease of the current incarnation has expired.
func TestSelfAnnouncedEndpointRestart(t *testing.T) {
	proof.Cell{Promise: proof.Leaving, Faults: []proof.Fault{proof.Restart, proof.DelayedMessages, proof.ClockStep}, Step: "announcements of two incarnations of one id", Combined: true,
		Guard: "acceptNewerStart: an earlier incarnation is refused while a later one renews its lease"}.Log(t)
	is := is.New(t)
	s := NewState()
	announce := func(incarnation uint64, stopping bool, addr string) *Result {
		request := selfAnnouncement(stopping)
		request.Incarnation = incarnation
		request.Endpoints[0].Addr = addr
		data, err := EncodeAnnounce(1, request)
		is.NoErr(err)
		index, _ := s.Applied()
		return s.Apply(index+1, 1, data).(*Result)
	}
	state := func() (fleetv1.EndpointState, string) {
		e := s.Endpoint("e")
		return e.GetState(), e.GetAddr()
	}
	serving, leaving := fleetv1.EndpointState_ENDPOINT_STATE_SERVING, fleetv1.EndpointState_ENDPOINT_STATE_LEAVING
	is.True(announce(1000, false, "10.0.0.1:80").Err == nil)
	is.True(announce(1000, true, "10.0.0.1:80").Err == nil)
	is.True(announce(2000, false, "10.0.0.2:80").Err == nil) // restarted at another address
	got, addr := state()
	is.Equal(got, serving)
	is.Equal(addr, "10.0.0.2:80")
	for _, stopping := range []bool{false, true} { // delayed heartbeat and delayed withdrawal
		is.Equal(announce(1000, stopping, "10.0.0.1:80").Err.Kind, fault.Fenced)
		got, addr = state()
		is.Equal(got, serving)
		is.Equal(addr, "10.0.0.2:80")
	}
	data, err := EncodeExpire(2, AgentRef{Name: "e", Incarnation: 2000})
	is.NoErr(err)
	index, _ := s.Applied()
	is.True(s.Apply(index+1, 1, data).(*Result).Err == nil)
	is.True(announce(1500, false, "10.0.0.3:80").Err == nil) // its clock was set back
	got, addr = state()
	is.Equal(got, serving)
	is.Equal(addr, "10.0.0.3:80")
	is.True(announce(2000, true, "10.0.0.2:80").Err == nil) // later by its own clock
	got, _ = state()
	is.Equal(got, leaving)
}

// selfAnnouncement returns the announcement of an endpoint without an agent.
func selfAnnouncement(stopping bool) *controlv1.AnnounceRequest {
	return &controlv1.AnnounceRequest{
		Agent: "e", Incarnation: 1, Full: true, Stopping: stopping,
		Endpoints: []*fleetv1.Endpoint{{Id: "e", Addr: "10.0.0.1:80", Pool: "a"}},
	}
}
