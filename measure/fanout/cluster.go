package fanout

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"google.golang.org/grpc"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/control"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/setting"
)

const (
	// replicas is the number of control replicas.
	replicas = 3
	// measuredIntents is the number of intents whose propagation is measured.
	measuredIntents = 60
	// startTimeout bounds the wait until the replicas serve requests.
	startTimeout = 10 * time.Second
)

// propagation is the time that an intent takes through three control replicas,
// from sending Confirm until a daemon applies the revision.
type propagation struct {
	Daemons    int     `json:"daemons"`
	Relayed    bool    `json:"relayed"`
	ConfirmP50 float64 `json:"confirm_p50_ms"`
	P50        float64 `json:"in_force_p50_ms"`
	Max        float64 `json:"in_force_max_ms"`
}

// cluster is a set of control replicas in this process with their logs on disk.
type cluster struct {
	addrs  []string
	pool   *link.Pool
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu sync.Mutex
	// failures are the errors of replicas that have stopped.
	failures []error
}

// replicaErrors returns the joined errors of the replicas that have stopped, or nil.
func (c *cluster) replicaErrors() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return errors.Join(c.failures...)
}

// runReplica runs a replica until ctx ends, and records its error if it stops
// before that.
func (c *cluster) runReplica(ctx context.Context, replica *control.Daemon) {
	if err := replica.Run(ctx); err != nil && ctx.Err() == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.failures = append(c.failures, err)
	}
}

func startCluster(dir string) (*cluster, error) {
	options, err := link.DialOptions(link.Config{})
	if err != nil {
		return nil, err
	}
	c := &cluster{pool: link.NewPool(options...)}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	var peers []string
	var listeners []net.Listener
	for id := 1; id <= replicas; id++ {
		listener, err := link.Listen(ctx, "127.0.0.1:0")
		if err != nil {
			c.stop()
			return nil, errors.Join(err, closeAll(listeners))
		}
		listeners = append(listeners, listener)
		c.addrs = append(c.addrs, listener.Addr().String())
		peers = append(peers, fmt.Sprintf("%d=%s", id, listener.Addr()))
	}
	for i, listener := range listeners {
		if err := c.startReplica(ctx, i+1, listener, peers, dir); err != nil {
			c.stop()
			return nil, errors.Join(err, closeAll(listeners[i:]))
		}
	}
	return c, nil
}

func closeAll(listeners []net.Listener) error {
	var failed error
	for _, listener := range listeners {
		failed = errors.Join(failed, listener.Close())
	}
	return failed
}

// startReplica starts a replica that serves on the listener.
func (c *cluster) startReplica(ctx context.Context, id int, listener net.Listener, peers []string, dir string) error {
	var settings control.Settings
	set := setting.New("lilackeel-control")
	settings.Register(set)
	args := []string{"-id", fmt.Sprint(id), "-listen", listener.Addr().String(), "-data-dir", filepath.Join(dir, fmt.Sprint(id))}
	for _, peer := range peers {
		args = append(args, "-peers", peer)
	}
	if _, err := set.Parse(args, nil); err != nil {
		return err
	}
	daemon, err := control.New(&settings, slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	daemon.UseListener(listener)
	c.group.Go(func() { c.runReplica(ctx, daemon) })
	return nil
}

func (c *cluster) stop() {
	c.cancel()
	c.group.Wait()
	_ = c.pool.Close()
}

// accept plans and confirms an intent. It returns the times at which Confirm was
// sent and answered.
func (c *cluster) accept(ctx context.Context, intent *controlv1.Intent) (revision uint64, sentAt, answeredAt time.Time, err error) {
	conn, err := c.pool.Get(c.addrs[0])
	if err != nil {
		return 0, sentAt, answeredAt, err
	}
	client := controlv1.NewControlClient(conn)
	var planned *controlv1.PlanResponse
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(50 * time.Millisecond) {
		planned, err = client.Plan(ctx, &controlv1.PlanRequest{Intent: intent}, grpc.WaitForReady(true))
		if err == nil {
			break
		}
		if time.Now().After(deadline) || fault.Is(err, fault.Conflict) || fault.Is(err, fault.Invalid) {
			return 0, sentAt, answeredAt, err
		}
	}
	sentAt = time.Now()
	confirmed, err := client.Confirm(ctx, &controlv1.ConfirmRequest{
		IntentId: intent.GetId(), Digest: planned.GetPlan().GetDigest(), Operator: intent.GetOperator(),
	})
	return confirmed.GetRevision(), sentAt, time.Now(), err
}

// measurePropagation measures the propagation of intents to a fleet of the given
// number of daemons.
func measurePropagation(daemons int, relayed bool) (result propagation, err error) {
	dir, err := os.MkdirTemp("", "lilackeel-fanout")
	if err != nil {
		return propagation{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	c, err := startCluster(dir)
	if err != nil {
		return propagation{}, err
	}
	defer c.stop()
	f, err := startFleet(daemons, c.addrs, relayed)
	if err != nil {
		return propagation{}, err
	}
	defer f.stop()
	submitted, confirms, err := c.acceptIntents(context.Background(), f)
	if err != nil {
		return propagation{}, err
	}
	result = propagation{Daemons: daemons, Relayed: relayed, ConfirmP50: milliseconds(median(confirms))}
	result.P50, result.Max = f.propagationDelays(submitted)
	return result, nil
}

// acceptIntents accepts measuredIntents intents, after a first one that is not
// counted, and waits until the fleet has applied all of them. It returns when the
// Confirm of each revision was sent, and how long each Confirm took.
func (c *cluster) acceptIntents(ctx context.Context, f *fleet) (submitted map[uint64]time.Time, confirms []time.Duration, err error) {
	first, _, _, err := c.accept(ctx, changeIntent(measuredIntents, measuredIntents+1))
	if err != nil {
		return nil, nil, err
	}
	if err := f.waitForRevision(first); err != nil {
		return nil, nil, err
	}
	submitted = map[uint64]time.Time{}
	for i := range measuredIntents {
		revision, sentAt, answeredAt, err := c.accept(ctx, changeIntent(i, measuredIntents+1))
		if err != nil {
			return nil, nil, err
		}
		submitted[revision] = sentAt
		confirms = append(confirms, answeredAt.Sub(sentAt))
		time.Sleep(changePause)
	}
	return submitted, confirms, f.waitForRevision(first + measuredIntents)
}
