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

// Guards against the message size limit of gRPC failing a body as large as entries accept, or a reader
// that is far behind: it must get the events in messages below the limit, after a gap for those that
// were evicted.
func TestLargeMessagesPass(t *testing.T) {
	is := is.New(t)
	service := standin.NewService(0)
	s := newFixture(t, map[string]http.Handler{"service": service})
	d := s.claimedCall("large")
	d.Body = bytes.Repeat([]byte("x"), 9<<20)
	is.True(s.dispatch(d).end != nil)
	is.Equal(len(service.Effects()[0].Body), len(d.Body))
	is.True(s.dispatch(s.claimedCall("large")).broken.GetMayHaveRun()) // the answer was too large to be recorded

	const count = 2 * maxBufferWeight / 1000
	for seq := range uint64(count) {
		s.daemon.service.reportBuffer.addEvents([]*agentv1.CacheEvent{{Seq: seq, Stored: make([]uint64, 999)}})
	}
	stream := must(s.client.Reports(t.Context(), &agentv1.ReportsRequest{IntervalMs: 20}))
	first, err := stream.Recv()
	is.NoErr(err)
	is.True(first.GetEvents()[0].GetSeq() > 0) // the oldest were evicted
	is.True(len(first.GetEvents()) <= maxReportWeight/1000)
	last := first.GetEvents()
	for last[len(last)-1].GetSeq() < count-1 {
		last = must(stream.Recv()).GetEvents()
		is.True(len(last) > 0)
	}
}

// Guards against orders with an outdated fencing token to an engine that does not check tokens itself,
// and against an announcement of the state before the order.
func TestOrdersAreFencedForEnginesThatDoNotCheck(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, map[string]http.Handler{"engine": standin.NewEngine(standin.EngineConfig{Model: "draft"})})
	s.waitUntil("the fencing token is known", func() bool { _, known := s.daemon.lockedGate.fence(); return known })
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
	s.waitUntil("the new version is announced", func() bool {
		return s.replica.Configuration().GetEndpoints()[0].GetVersion() == "2"
	})
}

// Guards against an unreachable endpoint that is not announced as leaving, whether found by a call or by
// a poll, or that is not announced as serving once it accepts connections again.
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
		s.waitUntil(id+" is announced as leaving", func() bool { return state(id) == fleetv1.EndpointState_ENDPOINT_STATE_LEAVING })
		listener := must(net.Listen("tcp", address))
		t.Cleanup(func() { _ = listener.Close() })
		go func() { _ = http.Serve(listener, standin.NewService(0)) }()
		s.waitUntil(id+" is announced as serving", func() bool { return state(id) == fleetv1.EndpointState_ENDPOINT_STATE_SERVING })
	}
}

// Guards against an announcer that stays with a follower or an unreachable replica, and against an agent
// that goes on after another process has taken over its name.
func TestAnnouncerFollowsTheLeaderAndStopsWhenReplaced(t *testing.T) {
	is := is.New(t)
	follower := newFakeReplica(t)
	follower.refusal = fault.New(fault.NotLeader, "not the leader", "retry at the leader")
	s := newFixture(t, map[string]http.Handler{"service": standin.NewService(0)}, follower.addr, "127.0.0.1:1")
	is.True(s.replica.last() != nil)
	s.replica.mu.Lock()
	s.replica.refusal = fault.New(fault.Fenced, "superseded", "stop")
	s.replica.mu.Unlock()
	is.True(fault.Is(<-s.stopped, fault.Fenced))
}

// Guards against reports without tickets or cache events, and against entries that keep the cached
// blocks of an engine's previous run: after a restart the first event must clear them.
func TestReportsCarryCacheEventsAcrossRestarts(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	engine := standin.NewEngine(standin.EngineConfig{Slots: 2, CacheBlocks: 8})
	s := newFixture(t, map[string]http.Handler{"engine": http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		current := engine
		mu.Unlock()
		current.ServeHTTP(w, r)
	})})
	prompt := string(bytes.Repeat([]byte("a"), 2*standin.BlockBytes))
	request := completion(false, "1")
	request.Body = []byte(`{"prompt":"` + prompt + `"}`)
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
	is.True(s.dispatch(request).end != nil)
	read(1)
	is.Equal(events[0].GetStored(), standin.PromptBlocks(prompt))
	mu.Lock()
	engine = standin.NewEngine(standin.EngineConfig{Slots: 2, CacheBlocks: 8})
	mu.Unlock()
	is.True(s.dispatch(request).end != nil)
	read(3)
	is.True(events[1].GetCleared())
	is.Equal(events[2].GetStored(), standin.PromptBlocks(prompt))
	is.Equal(events[2].GetSeq(), events[0].GetSeq()+2)
}
