package agent

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/standin"
)

// A body as large as entries take passes, and a reader that is far behind gets
// the events in messages that gRPC lets pass, or a gap.
func TestLargeMessagesPass(t *testing.T) {
	is := is.New(t)
	service := standin.NewService(0)
	s := newFixture(t, map[string]http.Handler{"service": service})
	d := s.claimedCall("large")
	d.Body = bytes.Repeat([]byte("x"), 9<<20)
	is.True(s.dispatch(d).end != nil)
	is.Equal(len(service.Effects()[0].Body), len(d.Body))
	is.True(s.dispatch(s.claimedCall("large")).broken.GetMayHaveRun()) // its answer was too large to keep

	const count = 2 * maxBufferWeight / 1000
	for seq := range uint64(count) {
		s.daemon.service.reportBuffer.addEvents([]*agentv1.CacheEvent{{Seq: seq, Stored: make([]uint64, 999)}})
	}
	stream := must(s.client.Reports(t.Context(), &agentv1.ReportsRequest{IntervalMs: 20}))
	first, err := stream.Recv()
	is.NoErr(err)
	is.True(first.GetEvents()[0].GetSeq() > 0) // the oldest have gone
	is.True(len(first.GetEvents()) <= maxReportWeight/1000)
	last := first.GetEvents()
	for last[len(last)-1].GetSeq() < count-1 {
		last = must(stream.Recv()).GetEvents()
		is.True(len(last) > 0)
	}
}

// Orders pass only with the highest token that the quorum knows, also to an
// engine that does not check; what the engine has then is read back.
func TestOrdersAreFencedForEnginesThatDoNotCheck(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, map[string]http.Handler{"engine": standin.NewEngine(standin.EngineConfig{Model: "draft"})})
	s.waitUntil("the token is known", func() bool { _, known := s.daemon.lockedGate.fence(); return known })
	order := func(fence uint64, version string) (*agentv1.OrderResponse, error) {
		return s.client.Order(t.Context(), &agentv1.OrderRequest{Endpoint: "engine", Incarnation: s.daemon.lockedGate.incarnation(),
			Fence: fence, Kind: agentv1.OrderKind_ORDER_KIND_LOAD_MODEL, Model: "draft", Version: version})
	}
	_, err := order(4, "old")
	is.True(fault.Is(err, fault.Fenced))
	done, err := order(6, "2")
	is.NoErr(err)
	is.Equal(done.GetObserved().GetVersion(), "2")
	is.Equal(done.GetHighestFence(), uint64(6))
	_, err = order(5, "late")
	is.True(fault.Is(err, fault.Fenced))
	read, err := s.client.Order(t.Context(), &agentv1.OrderRequest{Endpoint: "engine", Incarnation: s.daemon.lockedGate.incarnation(), Kind: agentv1.OrderKind_ORDER_KIND_READ_BACK})
	is.NoErr(err)
	is.Equal(read.GetObserved().GetVersion(), "2")
	s.waitUntil("the announcement says what the engine has", func() bool {
		return s.replica.Configuration().GetEndpoints()[0].GetVersion() == "2"
	})
}

// An endpoint that takes no connections is announced as leaving, whether a
// call or a poll found out, and as serving once it takes them again.
func TestUnreachableEndpointIsReported(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, map[string]http.Handler{"service": standin.NewService(0), "engine": standin.NewEngine(standin.EngineConfig{})})
	state := func(id string) fleetv1.EndpointState {
		for _, e := range s.replica.Configuration().GetEndpoints() {
			if e.GetId() == id {
				return e.GetState()
			}
		}
		return fleetv1.EndpointState_ENDPOINT_STATE_UNSPECIFIED
	}
	addresses := map[string]string{}
	for _, e := range s.daemon.settings.Endpoints {
		addresses[e.ID] = strings.TrimPrefix(e.URL, "http://")
	}
	for _, server := range s.servers {
		server.Close()
	}
	got := s.dispatch(s.claimedCall("a"))
	is.Equal(got.refusedKind(), fault.Unavailable)
	for id, address := range addresses {
		s.waitUntil(id+" is reported", func() bool { return state(id) == fleetv1.EndpointState_ENDPOINT_STATE_LEAVING })
		listener := must(net.Listen("tcp", address))
		t.Cleanup(func() { _ = listener.Close() })
		go func() { _ = http.Serve(listener, standin.NewService(0)) }()
		s.waitUntil(id+" is back", func() bool { return state(id) == fleetv1.EndpointState_ENDPOINT_STATE_SERVING })
	}
}

// The announcer follows the leader, and a process whose name another has taken
// over stops.
func TestAnnouncerFollowsTheLeaderAndStopsWhenReplaced(t *testing.T) {
	is := is.New(t)
	follower := newFakeReplica(t)
	follower.refusal = fault.New(fault.NotLeader, "not the leader", "ask the leader")
	s := newFixture(t, map[string]http.Handler{"service": standin.NewService(0)}, follower.addr, "127.0.0.1:1")
	is.True(s.replica.last() != nil)
	s.replica.mu.Lock()
	s.replica.refusal = fault.New(fault.Fenced, "superseded", "stop")
	s.replica.mu.Unlock()
	is.True(fault.Is(<-s.stopped, fault.Fenced))
}

// Reports carry tickets, loads and cache events; an engine that has started
// again is announced by an event that voids what was known of its cache.
func TestReportsCarryCacheEventsAcrossRestarts(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	engine := standin.NewEngine(standin.EngineConfig{Slots: 2, CacheBlocks: 8})
	s := newFixture(t, map[string]http.Handler{"engine": http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		present := engine
		mu.Unlock()
		present.ServeHTTP(w, r)
	})})
	prompt := string(bytes.Repeat([]byte("a"), 2*standin.BlockBytes))
	ask := completion(false, "1")
	ask.Body = []byte(`{"prompt":"` + prompt + `"}`)
	stream := must(s.client.Reports(t.Context(), &agentv1.ReportsRequest{IntervalMs: 20}))
	var events []*agentv1.CacheEvent
	read := func(count int) {
		for len(events) < count {
			report := must(stream.Recv())
			is.Equal(report.GetIncarnation(), s.daemon.lockedGate.incarnation())
			is.True(report.GetTicketNs() > 0)
			events = append(events, report.GetEvents()...)
		}
	}
	is.True(s.dispatch(ask).end != nil)
	read(1)
	is.Equal(events[0].GetStored(), standin.PromptBlocks(prompt))
	mu.Lock()
	engine = standin.NewEngine(standin.EngineConfig{Slots: 2, CacheBlocks: 8})
	mu.Unlock()
	is.True(s.dispatch(ask).end != nil)
	read(3)
	is.True(events[1].GetCleared())
	is.Equal(events[2].GetStored(), standin.PromptBlocks(prompt))
	is.Equal(events[2].GetSeq(), events[0].GetSeq()+2)
}
