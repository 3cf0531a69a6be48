package control

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/feed"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/proof"
)

// stubAgent is an agent with one engine. It carries out its first load order, but the response is
// lost.
type stubAgent struct {
	agentv1.UnimplementedAgentServer
	mu         sync.Mutex
	engine     *fleetv1.Endpoint
	fence      func() uint64
	loadOrders int
	roleOrders int
	readBack   bool
}

func (a *stubAgent) Order(_ context.Context, request *agentv1.OrderRequest) (*agentv1.OrderResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch request.GetKind() {
	case agentv1.OrderKind_ORDER_KIND_READ_BACK:
		a.readBack = true
	case agentv1.OrderKind_ORDER_KIND_LOAD_MODEL:
		a.loadOrders++
		a.engine.Model, a.engine.Version = request.GetModel(), request.GetVersion()
		if a.loadOrders == 1 {
			a.readBack = false
			return nil, status.Error(codes.Unknown, "the connection broke")
		}
	case agentv1.OrderKind_ORDER_KIND_CHANGE_ROLE:
		a.engine.Role = request.GetRole()
		a.roleOrders++
	}
	return &agentv1.OrderResponse{Observed: proto.CloneOf(a.engine), HighestFence: a.fence()}, nil
}

// serveAgent serves the stub on the loopback interface.
func serveAgent(t *testing.T, stub *stubAgent) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := grpc.NewServer()
	agentv1.RegisterAgentServer(server, stub)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

// The leader sends orders to load a confirmed model. An order whose response was lost is read
// back instead of repeated, and the intent is done once the daemons have applied its revision.
func TestLeaderCarriesOutIntent(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.LostMessages}, Step: "response to an order to an engine",
		Guard: "reading back after an interrupted order"}.Log(t)
	is := is.New(t)
	control := startCluster(t, 1)[0]
	leaderOf(t, []*testReplica{control})
	stub := &stubAgent{fence: control.State().Fence}
	request := announcement("agent-1", 1, "engine-1")
	request.Addr = serveAgent(t, stub)
	stub.engine = proto.CloneOf(request.GetEndpoints()[0])
	_, err := control.client(t).Announce(t.Context(), request)
	is.NoErr(err)
	heartbeat := func() {
		_, err := control.client(t).Announce(t.Context(), &controlv1.AnnounceRequest{Agent: "agent-1", Incarnation: 1})
		is.NoErr(err)
	}
	watch(t, "agent-1", control.addr)
	apply := func(intent *controlv1.Intent) {
		confirmIntent(t, []*testReplica{control}, control.client(t), intent)
		eventually(t, "the intent to be done", func() bool {
			heartbeat()
			return control.State().Intent(intent.GetId()).GetState() == controlv1.IntentState_INTENT_STATE_DONE
		})
	}
	apply(&controlv1.Intent{Id: "load", Operator: "ops", Models: []*fleetv1.Model{{Name: "roster", Pool: "lilackeel-pool", Version: "2"}}})
	apply(&controlv1.Intent{Id: "role", Operator: "ops", Endpoints: []*controlv1.EndpointChange{{Id: "engine-1", Role: "prefill"}}})
	is.Equal(control.State().Endpoint("engine-1").GetVersion(), "2")
	stub.mu.Lock()
	defer stub.mu.Unlock()
	is.Equal(stub.loadOrders, 1) // the read-back showed that it had taken effect
	is.True(stub.readBack)
	is.Equal(stub.roleOrders, 1)
}

// testTimeout bounds every wait of these tests; no test asserts a duration.
const testTimeout = 60 * time.Second

// testReplica is a daemon in this process.
type testReplica struct {
	*Daemon
	stop func()
	addr string
}

// startCluster runs n replicas on the loopback interface.
func startCluster(t *testing.T, n int) []*testReplica {
	t.Helper()
	is := is.New(t)
	peers, listeners := map[uint64]string{}, map[uint64]net.Listener{}
	for id := uint64(1); id <= uint64(n); id++ {
		listener, err := link.Listen(t.Context(), "127.0.0.1:0")
		is.NoErr(err)
		peers[id], listeners[id] = listener.Addr().String(), listener
	}
	var replicas []*testReplica
	for id := uint64(1); id <= uint64(n); id++ {
		replicas = append(replicas, startReplica(t, listeners[id], &Settings{
			ID: id, Host: fmt.Sprint("control-", id), Listen: peers[id], Peers: peers, DataDir: t.TempDir(),
			ElectionTimeout: 300 * time.Millisecond, HeartbeatInterval: 50 * time.Millisecond,
			SnapshotEvery: 1000, Lease: 2 * time.Second, ReadInterval: 50 * time.Millisecond,
			StopLimit: 10 * time.Second, Loads: defaultLoads, LoadShare: defaultLoadShare,
		}))
	}
	return replicas
}

func startReplica(t *testing.T, listener net.Listener, settings *Settings) *testReplica {
	t.Helper()
	daemon, err := New(settings, slog.New(slog.DiscardHandler))
	is.New(t).NoErr(err)
	daemon.UseListener(listener)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = daemon.Run(ctx)
	}()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return &testReplica{Daemon: daemon, stop: stop, addr: settings.Listen}
}

func (r *testReplica) client(t *testing.T) controlv1.ControlClient {
	t.Helper()
	conn, err := r.pool.Get(r.addr)
	is.New(t).NoErr(err)
	return controlv1.NewControlClient(conn)
}

// eventually waits until check returns true.
func eventually(t *testing.T, condition string, check func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !check(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", condition)
		}
	}
}

// leaderOf waits until one of the replicas leads and returns it.
func leaderOf(t *testing.T, replicas []*testReplica) *testReplica {
	t.Helper()
	var leader *testReplica
	eventually(t, "a leader", func() bool {
		for _, r := range replicas {
			if r.terms.current() != nil {
				leader = r
			}
		}
		return leader != nil
	})
	return leader
}

// announcement returns a full announcement of an agent with one serving engine.
func announcement(agent string, incarnation uint64, endpoint string) *controlv1.AnnounceRequest {
	return &controlv1.AnnounceRequest{
		Agent: agent, Host: agent, Zone: "sahel-a", Addr: "127.0.0.1:1", Incarnation: incarnation, Full: true,
		Endpoints: []*fleetv1.Endpoint{{Id: endpoint, Pool: "lilackeel-pool", Kind: fleetv1.EndpointKind_ENDPOINT_KIND_ENGINE, Slots: 8}},
	}
}

// confirm plans and confirms an intent that adds a workspace.
func confirm(t *testing.T, replicas []*testReplica, client controlv1.ControlClient, id, workspace string) uint64 {
	t.Helper()
	return confirmIntent(t, replicas, client, &controlv1.Intent{
		Id: id, Operator: "ops", Workspaces: []*fleetv1.Workspace{{Name: workspace, Importance: 2}},
	})
}

func confirmIntent(t *testing.T, replicas []*testReplica, client controlv1.ControlClient, intent *controlv1.Intent) uint64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	planned := decided(t, replicas, "plan", func() (*controlv1.PlanResponse, error) {
		return client.Plan(ctx, &controlv1.PlanRequest{Intent: intent})
	})
	confirmed := decided(t, replicas, "confirm", func() (*controlv1.ConfirmResponse, error) {
		return client.Confirm(ctx, &controlv1.ConfirmRequest{
			IntentId: intent.GetId(), Digest: planned.GetPlan().GetDigest(), Operator: intent.GetOperator(),
		})
	})
	return confirmed.GetRevision()
}

// decided repeats a call, like its senders in other processes, if there was an election during it and
// its error says that there is no leader to decide it or that the leadership was lost. On a busy
// machine elections also occur when no replica stops. Without an election the first call must succeed.
func decided[Response any](t *testing.T, replicas []*testReplica, label string, call func() (Response, error)) Response {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		term := agreedTerm(replicas)
		response, err := call()
		if err == nil {
			return response
		}
		switch fault.KindOf(err) {
		case fault.NotLeader, fault.NoQuorum, fault.Unavailable, fault.Unknown:
		default:
			t.Fatalf("%s: %v", label, err)
		}
		if term != 0 && agreedTerm(replicas) == term || time.Now().After(deadline) {
			t.Fatalf("%s, term %d: %v", label, term, err)
		}
		t.Logf("%s is repeated: %v", label, err)
	}
}

// agreedTerm returns the term if all replicas know its leader and this is ready, and zero otherwise.
func agreedTerm(replicas []*testReplica) (agreed uint64) {
	ready := false
	for i, r := range replicas {
		id, _, term, _ := r.log.Leader()
		if id == 0 || i > 0 && term != agreed {
			return 0
		}
		agreed, ready = term, ready || r.terms.current() != nil
	}
	if !ready {
		return 0
	}
	return agreed
}

// without returns the replicas except one.
func without(replicas []*testReplica, excluded *testReplica) []*testReplica {
	return slices.DeleteFunc(slices.Clone(replicas), func(r *testReplica) bool { return r == excluded })
}

func watch(t *testing.T, daemon string, sources ...string) *feed.Client {
	t.Helper()
	client := feed.NewClient(feed.Config{
		Sources: sources, Daemon: daemon, Role: "entry", PingInterval: 50 * time.Millisecond,
		DialOptions: []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = client.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return client
}

func hasRevision(client *feed.Client, revision uint64) func() bool {
	return func() bool { return client.Ready() && client.Configuration().Revision >= revision }
}

// All three replicas answer alike, followers forward calls to the leader, a subscribed daemon
// receives each revision, and a graceful shutdown of the leader loses nothing.
func TestClusterDecidesAndPublishes(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Restart, proof.ResentIntents}, Step: "planned stop of the leader, then a repeated confirm", Combined: true,
		Guard: "a repeated confirm returns the first response"}.Log(t)
	is := is.New(t)
	replicas := startCluster(t, 3)
	leader := leaderOf(t, replicas)
	followers := without(replicas, leader)
	watcher := watch(t, "entry-1", leader.addr, followers[0].addr, followers[1].addr)
	revision := confirm(t, replicas, followers[0].client(t), "first", "nawras")
	eventually(t, "the first revision at the daemon", hasRevision(watcher, revision))

	// A follower knows the leader once it has heard from it.
	eventually(t, "both followers to name the leader to an agent", func() bool {
		leader = leaderOf(t, replicas)
		for _, follower := range without(replicas, leader) {
			_, err := follower.client(t).Announce(t.Context(), announcement("agent-1", 1, "engine-1"))
			if !fault.Is(err, fault.NotLeader) || !strings.Contains(err.Error(), leader.addr) {
				return false
			}
		}
		return true
	})
	announced := decided(t, replicas, "announce", func() (*controlv1.AnnounceResponse, error) {
		leader = leaderOf(t, replicas)
		return leader.client(t).Announce(t.Context(), announcement("agent-1", 1, "engine-1"))
	})
	is.True(!announced.GetSendFull())
	followers = without(replicas, leader)
	claim := &controlv1.ClaimRequest{Workspace: "nawras", Key: "k", Digest: make([]byte, 32), ClaimId: "c1",
		Endpoint: "engine-1", Agent: "agent-1", Incarnation: 1, AgentAddr: "127.0.0.1:1"}
	granted := decided(t, replicas, "claim", func() (*controlv1.ClaimResponse, error) { return followers[1].client(t).Claim(t.Context(), claim) })
	is.True(granted.GetGranted())
	settled := decided(t, replicas, "settle", func() (*controlv1.SettleResponse, error) {
		return leader.client(t).Settle(t.Context(), &controlv1.SettleRequest{Workspace: "nawras", Key: "k", ClaimId: "c1",
			State: controlv1.ClaimState_CLAIM_STATE_ANSWERED, Answer: &controlv1.Answer{Status: 200}})
	})
	is.Equal(settled.GetClaim().GetState(), controlv1.ClaimState_CLAIM_STATE_ANSWERED)

	status := decided(t, replicas, "status", func() (*controlv1.StatusResponse, error) {
		return followers[0].client(t).Status(t.Context(), &controlv1.StatusRequest{})
	})
	is.Equal(len(status.GetReplicas()), 3)
	is.Equal(status.GetSlowestDaemon(), "entry-1")

	leader = leaderOf(t, replicas)
	leader.stop() // graceful shutdown
	replicas = without(replicas, leader)
	successor := leaderOf(t, replicas)
	second := confirm(t, replicas, successor.client(t), "second", "haneul")
	is.True(second > revision)
	eventually(t, "the second revision at the daemon", hasRevision(watcher, second))
	is.Equal(watcher.Configuration().Workspaces.Len(), 2)
	is.Equal(confirm(t, replicas, successor.client(t), "first", "nawras"), revision) // a repeated confirm returns the first response
	_, at, ok := watcher.Freshness()
	is.True(ok && !at.IsZero())
}
