package control

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/grpc"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/feed"
	"github.com/lilackeel/lilackeel/inbound"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/replica/server"
	"github.com/lilackeel/lilackeel/telemetry"
	"github.com/lilackeel/lilackeel/wait"
)

const (
	// readyPollInterval is the interval at which the readiness is updated.
	readyPollInterval = 50 * time.Millisecond
	// lateCallGrace is how long calls may still arrive that were sent before their callers
	// learned of the shutdown.
	lateCallGrace = 200 * time.Millisecond
	// maxReadyAge is the greatest age of the last quorum read at a ready replica.
	maxReadyAge    = 2 * time.Second
	startingReason = "no quorum has answered yet"
	stoppingReason = "stopping"
)

// peerShare is the share of the descriptors that other daemons and operators may use.
const peerShare = 1.0 / 2

// Daemon is one control replica.
type Daemon struct {
	settings *Settings
	logger   *slog.Logger
	ready    *telemetry.Ready
	log      *server.Server
	source   *feedSource
	feed     *feed.Server
	service  *service
	terms    *termManager
	server   *grpc.Server
	calls    *callTracker
	pool     *link.Pool
	// resources are shared by all listeners of the replica.
	resources *inbound.Resources

	listener net.Listener
}

// Ready returns the readiness state, for the admin listener.
func (d *Daemon) Ready() *telemetry.Ready { return d.ready }

// Resources implements daemon.Daemon.
func (d *Daemon) Resources() *inbound.Resources { return d.resources }

// Operations returns the Control service for callers in this process. It forwards what only the
// leader can decide.
func (d *Daemon) Operations() controlv1.ControlServer { return d.service }

// State returns the replicated state as far as this replica has applied it.
func (d *Daemon) State() *contract.State { return d.source.state }

// Listen opens the listener ahead of Run and returns its address.
func (d *Daemon) Listen(ctx context.Context) (string, error) {
	listener, err := link.Listen(ctx, d.settings.Listen)
	if err != nil {
		return "", trace.Wrap(err, "cannot listen on %s; choose a free address with -listen", d.settings.Listen)
	}
	d.listener = listener
	return listener.Addr().String(), nil
}

// UseListener makes Run serve on an open listener in place of the configured address. A process that
// must know the addresses of several replicas before it starts them can thus keep their ports.
func (d *Daemon) UseListener(listener net.Listener) { d.listener = listener }

// Run serves until ctx ends or the log fails permanently. When ctx ends it shuts down
// gracefully: it becomes not ready, transfers its leadership, lets the calls in flight finish
// and returns.
func (d *Daemon) Run(ctx context.Context) error {
	if d.listener == nil {
		if _, err := d.Listen(ctx); err != nil {
			return errors.Join(err, d.log.Close())
		}
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	d.exportMetrics()
	var group sync.WaitGroup
	group.Go(func() { _ = d.server.Serve(d.resources.PeerListener(d.listener, "peers", peerShare, d.logger)) })
	group.Go(func() { d.source.pollQuorum(background, d.log, d.settings.ReadInterval, d.logger) })
	group.Go(func() { d.terms.run(background) })
	group.Go(func() { d.watchReady(background, ctx) })
	d.logger.Info("serving", "listen", d.listener.Addr().String(), "replica", d.settings.ID)
	select {
	case <-ctx.Done():
		d.stop()
	case <-d.log.Done():
		d.logger.Error("the replicated log has failed permanently", "error", d.log.Err())
	}
	cancel()
	d.feed.Stop()
	d.server.Stop()
	group.Wait()
	return errors.Join(d.log.Err(), d.log.Close(), d.pool.Close())
}

// watchReady updates the readiness until ctx ends. Once the shutdown context has ended, the
// replica is not ready.
func (d *Daemon) watchReady(ctx, shutdown context.Context) {
	for ctx.Err() == nil {
		_, at, ok := d.source.Freshness()
		ok = ok && time.Since(at) < maxReadyAge
		switch {
		case shutdown.Err() != nil:
			d.ready.Set(false, stoppingReason)
		case ok:
			d.ready.Set(true, "")
		default:
			d.ready.Set(false, startingReason)
		}
		wait.For(ctx, readyPollInterval)
	}
}

// stop performs the graceful shutdown within StopLimit.
func (d *Daemon) stop() {
	d.ready.Set(false, stoppingReason)
	d.logger.Info("stopping")
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.StopLimit)
	defer cancel()
	d.transferLeadership(ctx)
	d.feed.Stop()
	stopped := make(chan struct{})
	go func() {
		d.server.GracefulStop()
		close(stopped)
	}()
	d.calls.wait(ctx)
	select {
	case <-stopped:
	case <-time.After(lateCallGrace):
		d.calls.wait(ctx)
	}
	// Only streams of the other replicas are left. They do not end by themselves while nothing
	// is sent on them.
	d.server.Stop()
	d.logger.Info("stopped", "calls", d.calls.inFlight.Load())
}

// transferLeadership transfers the leadership to the most up-to-date voter and waits until
// another replica leads.
func (d *Daemon) transferLeadership(ctx context.Context) {
	for ctx.Err() == nil {
		changed := d.log.LeaderChanged()
		if _, _, _, self := d.log.Leader(); !self {
			return
		}
		successor := chooseSuccessor(d.log.Status())
		if successor == 0 {
			return
		}
		if err := d.log.TransferLeader(successor); err != nil {
			d.logger.Info("leadership transfer failed", "to", successor, "error", err)
		}
		select {
		case <-changed:
		case <-time.After(d.settings.ElectionTimeout):
		case <-ctx.Done():
		}
	}
}

// chooseSuccessor returns the active voter with the longest replicated log, or zero.
func chooseSuccessor(status server.Status) uint64 {
	var best, furthest uint64
	for id, progress := range status.Progress {
		if id == status.ID || !progress.Active || !isVoter(status, id) {
			continue
		}
		if best == 0 || progress.Match > furthest {
			best, furthest = id, progress.Match
		}
	}
	return best
}
