package overhead

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/feed"
	"github.com/lilackeel/lilackeel/link"
)

// memoryReplica is a control replica without replication: the real state machine
// in memory, behind one lock. It is used where the cost of the control plane is
// not measured.
type memoryReplica struct {
	controlv1.UnimplementedControlServer
	addr   string
	server *grpc.Server
	// announced is closed once the first endpoints are known.
	announced chan struct{}

	mu      sync.Mutex
	state   *contract.State
	applied uint64
	changed chan struct{}
}

func startMemoryReplica() (*memoryReplica, error) {
	options, err := link.ServerOptions(link.Config{})
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &memoryReplica{
		addr: listener.Addr().String(), server: grpc.NewServer(options...), announced: make(chan struct{}),
		state: contract.NewState(), changed: make(chan struct{}),
	}
	controlv1.RegisterControlServer(r.server, r)
	feed.NewServer(r).Register(r.server)
	go func() { _ = r.server.Serve(listener) }()
	return r, nil
}

// apply applies one command, and wakes the watchers if it creates a new revision.
func (r *memoryReplica) apply(encode func(logTime int64) ([]byte, error)) (*contract.Result, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	data, err := encode(time.Now().UnixNano())
	if err != nil {
		return nil, err
	}
	before := r.state.Revision()
	r.applied++
	result, _ := r.state.Apply(r.applied, 1, data).(*contract.Result)
	if r.state.Revision() != before {
		close(r.changed)
		r.changed = make(chan struct{})
	}
	if result.Err != nil {
		return result, result.Err
	}
	return result, nil
}

func (r *memoryReplica) addrs() []string { return []string{r.addr} }

func (r *memoryReplica) stop() { r.server.Stop() }

// accept plans and confirms an intent once the endpoints are known.
func (r *memoryReplica) accept(intent *controlv1.Intent) error {
	select {
	case <-r.announced:
	case <-time.After(startTimeout):
		return fmt.Errorf("agent did not announce itself within %v; run the measurement on a less busy machine", startTimeout)
	}
	planned, err := r.apply(func(now int64) ([]byte, error) { return contract.EncodePlan(now, intent) })
	if err != nil {
		return err
	}
	_, err = r.apply(func(now int64) ([]byte, error) {
		return contract.EncodeConfirm(now, &controlv1.ConfirmRequest{
			IntentId: intent.GetId(), Digest: planned.Plan.GetDigest(), Operator: intent.GetOperator(),
		})
	})
	return err
}

// Announce implements controlv1.ControlServer.
func (r *memoryReplica) Announce(_ context.Context, request *controlv1.AnnounceRequest) (*controlv1.AnnounceResponse, error) {
	const lease = 2 * time.Second
	if request.GetFull() {
		_, err := r.apply(func(now int64) ([]byte, error) { return contract.EncodeAnnounce(now, request) })
		if err != nil {
			return nil, err
		}
		r.markAnnounced()
	}
	return &controlv1.AnnounceResponse{LeaseMs: lease.Milliseconds(), Revision: r.Revision()}, nil
}

func (r *memoryReplica) markAnnounced() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.announced:
	default:
		close(r.announced)
	}
}

// ReadFence implements controlv1.ControlServer.
func (r *memoryReplica) ReadFence(context.Context, *controlv1.ReadFenceRequest) (*controlv1.ReadFenceResponse, error) {
	return &controlv1.ReadFenceResponse{Fence: 1}, nil
}

// Claim implements controlv1.ControlServer.
func (r *memoryReplica) Claim(_ context.Context, request *controlv1.ClaimRequest) (*controlv1.ClaimResponse, error) {
	result, err := r.apply(func(now int64) ([]byte, error) { return contract.EncodeClaim(now, request) })
	if err != nil {
		return nil, err
	}
	return &controlv1.ClaimResponse{Granted: result.Granted, Claim: result.Claim}, nil
}

// Settle implements controlv1.ControlServer.
func (r *memoryReplica) Settle(_ context.Context, request *controlv1.SettleRequest) (*controlv1.SettleResponse, error) {
	result, err := r.apply(func(now int64) ([]byte, error) { return contract.EncodeSettle(now, request) })
	if err != nil {
		return nil, err
	}
	return &controlv1.SettleResponse{Claim: result.Claim}, nil
}

// Revision implements feed.Source.
func (r *memoryReplica) Revision() uint64 { return r.state.Revision() }

// Configuration implements feed.Source.
func (r *memoryReplica) Configuration() *fleetv1.Configuration { return r.state.Configuration() }

// DeltaSince implements feed.Source.
func (r *memoryReplica) DeltaSince(revision uint64) *fleetv1.Delta {
	delta, known := r.state.DeltaSince(revision)
	if !known {
		return nil
	}
	return delta
}

// Changed implements feed.Source.
func (r *memoryReplica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Freshness implements feed.Source.
func (r *memoryReplica) Freshness() (uint64, time.Time, bool) {
	at := time.Now()
	return r.Revision(), at, true
}
