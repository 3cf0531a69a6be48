package agent

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/feed"
	"github.com/lilackeel/lilackeel/gate"
	"github.com/lilackeel/lilackeel/link"
)

// waitTimeout is the time limit for conditions that tests wait for. No test measures it.
const waitTimeout = 20 * time.Second

// fakeReplica is a control replica that accepts every announcement and publishes the announced
// endpoints as the configuration.
type fakeReplica struct {
	controlv1.UnimplementedControlServer
	addr string

	mu            sync.Mutex
	configuration *fleetv1.Configuration
	changed       chan struct{}
	announced     []*controlv1.AnnounceRequest
	// refusal is the response to every request, if set.
	refusal error
}

func newFakeReplica(t testing.TB) *fakeReplica {
	r := &fakeReplica{configuration: &fleetv1.Configuration{Revision: 1}, changed: make(chan struct{})}
	server := grpc.NewServer(must(link.ServerOptions(link.Config{}))...)
	controlv1.RegisterControlServer(server, r)
	feed.NewServer(r).Register(server)
	listener := must(net.Listen("tcp", "127.0.0.1:0"))
	r.addr = listener.Addr().String()
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return r
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

func (r *fakeReplica) Announce(_ context.Context, request *controlv1.AnnounceRequest) (*controlv1.AnnounceResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refusal != nil {
		return nil, r.refusal
	}
	r.announced = append(r.announced, request)
	if request.GetFull() {
		r.publish(request.GetEndpoints())
	}
	return &controlv1.AnnounceResponse{LeaseMs: 2000}, nil
}

func (r *fakeReplica) publish(endpoints []*fleetv1.Endpoint) {
	r.configuration = &fleetv1.Configuration{Revision: r.configuration.GetRevision() + 1, Endpoints: endpoints}
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *fakeReplica) ReadFence(context.Context, *controlv1.ReadFenceRequest) (*controlv1.ReadFenceResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refusal != nil {
		return nil, r.refusal
	}
	return &controlv1.ReadFenceResponse{Fence: 5}, nil
}

func (r *fakeReplica) last() *controlv1.AnnounceRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.announced) == 0 {
		return nil
	}
	return r.announced[len(r.announced)-1]
}

// Revision and the methods below implement feed.Source.
func (r *fakeReplica) Revision() uint64 { return r.Configuration().GetRevision() }

func (r *fakeReplica) Configuration() *fleetv1.Configuration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.configuration
}
func (r *fakeReplica) DeltaSince(uint64) *fleetv1.Delta { return nil }
func (r *fakeReplica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}
func (r *fakeReplica) Freshness() (uint64, time.Time, bool) { return r.Revision(), time.Now(), true }

// fixture is an agent with its endpoints and a fake control replica.
type fixture struct {
	t       testing.TB
	replica *fakeReplica
	daemon  *Daemon
	client  agentv1.AgentClient
	stop    context.CancelFunc
	stopped chan error
	servers []*httptest.Server
}

// newFixture starts an agent with one endpoint per handler. The keys are the endpoint ids; those that
// begin with "engine" are of kind engine. It waits until the agent is ready.
func newFixture(t testing.TB, handlers map[string]http.Handler, replicas ...string) *fixture {
	s := &fixture{t: t, replica: newFakeReplica(t), stopped: make(chan error, 1)}
	settings := &Settings{
		Name: "agent", Host: "host", Zone: "zone", Listen: "127.0.0.1:0",
		Control: append(replicas, s.replica.addr), Feed: []string{s.replica.addr},
		Limits: gate.DefaultLimits(), HeartbeatInterval: 20 * time.Millisecond, PollInterval: 10 * time.Millisecond,
		ClaimLimit: time.Minute, OrderLimit: time.Minute, MaxMessage: 16 << 20,
	}
	settings.Limits.Freshness = time.Minute
	for id, handler := range handlers {
		server := httptest.NewServer(handler)
		t.Cleanup(server.CloseClientConnections)
		s.servers = append(s.servers, server)
		kind := KindService
		if len(id) >= 6 && id[:6] == KindEngine {
			kind = KindEngine
		}
		settings.Endpoints = append(settings.Endpoints, Endpoint{ID: id, Pool: "pool", Kind: kind, URL: server.URL, Model: "draft", Slots: 512})
	}
	s.daemon = must(New(settings, slog.New(slog.DiscardHandler)))
	addr := must(s.daemon.Listen(t.Context()))
	ctx, cancel := context.WithCancel(context.WithoutCancel(t.Context()))
	s.stop = cancel
	go func() { s.stopped <- s.daemon.Run(ctx) }()
	connection := must(grpc.NewClient(addr, must(link.DialOptions(link.Config{}))...))
	s.client = agentv1.NewAgentClient(connection)
	t.Cleanup(func() {
		cancel()
		_ = connection.Close()
	})
	s.waitUntil("the agent is ready", func() bool {
		ready, _ := s.daemon.Ready().Get()
		return ready && s.daemon.lockedGate.revision() > 1
	})
	return s
}

func (s *fixture) waitUntil(condition string, holds func() bool) {
	s.t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("timed out waiting until %s", condition)
		}
	}
}

// reply holds the responses to a dispatch.
type reply struct {
	refused *agentv1.Refused
	head    *agentv1.Head
	body    []byte
	end     *agentv1.End
	broken  *agentv1.Broken
	err     error
}

func (s *fixture) dispatch(d *agentv1.DispatchRequest) reply {
	return s.dispatchContext(s.t.Context(), d, nil)
}

// dispatchContext sends a dispatch and reads its responses to the end. It checks that each response
// carries the ids of the dispatch and that the chunks have no gaps, and calls seen, if not nil, with
// each response.
func (s *fixture) dispatchContext(ctx context.Context, d *agentv1.DispatchRequest, seen func(*agentv1.DispatchResponse)) reply {
	if d.GetIncarnation() == 0 {
		d.Incarnation = s.daemon.lockedGate.incarnation()
	}
	stream, err := s.client.Dispatch(ctx, d)
	if err != nil {
		return reply{err: err}
	}
	var got reply
	for {
		r, err := stream.Recv()
		if err == io.EOF {
			return got
		}
		if err != nil {
			got.err = err
			return got
		}
		if r.GetRequestId() != d.GetRequestId() || r.GetAttempt() != d.GetAttempt() || r.GetIncarnation() != s.daemon.lockedGate.incarnation() {
			s.t.Errorf("response with the ids of another dispatch: %v", r)
		}
		got.add(s.t, d, r)
		if seen != nil {
			seen(r)
		}
	}
}

func (g *reply) add(t testing.TB, d *agentv1.DispatchRequest, r *agentv1.DispatchResponse) {
	switch kind := r.GetKind().(type) {
	case *agentv1.DispatchResponse_Refused:
		g.refused = kind.Refused
	case *agentv1.DispatchResponse_Head:
		g.head = kind.Head
	case *agentv1.DispatchResponse_Chunk:
		if at := d.GetResumeOffset() + uint64(len(g.body)); kind.Chunk.GetOffset() != at {
			t.Errorf("chunk at offset %d, want %d", kind.Chunk.GetOffset(), at)
		}
		g.body = append(g.body, kind.Chunk.GetData()...)
	case *agentv1.DispatchResponse_End:
		g.end = kind.End
	case *agentv1.DispatchResponse_Broken:
		g.broken = kind.Broken
	}
}

// refusedKind returns the kind of the refusal, or an empty string if the dispatch was not refused.
func (g *reply) refusedKind() fault.Kind { return fault.Kind(g.refused.GetKind()) }

func completion(stream bool, tokens string) *agentv1.DispatchRequest {
	body := `{"model":"draft","prompt":"one two three","max_tokens":` + tokens + `}`
	if stream {
		body = `{"model":"draft","prompt":"one two three","stream":true,"max_tokens":` + tokens + `}`
	}
	return &agentv1.DispatchRequest{
		RequestId: "r", Attempt: 1, Endpoint: "engine", Method: http.MethodPost, Path: "/v1/completions", Body: []byte(body),
	}
}

// listenAt listens at an address that has just been closed, and retries until it is free.
func listenAt(t testing.TB, addr string) net.Listener {
	t.Helper()
	var listener net.Listener
	var err error
	for range 100 {
		if listener, err = net.Listen("tcp", addr); err == nil {
			return listener
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal(err)
	return nil
}
