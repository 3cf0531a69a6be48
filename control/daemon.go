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
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/replica/server"
	"github.com/lilackeel/lilackeel/telemetry"
	"github.com/lilackeel/lilackeel/wait"
)

const (
	// readyPoll is the time between two looks at the readiness.
	readyPoll = 50 * time.Millisecond
	// lastCalls is how long calls may still arrive that were sent before their
	// senders heard of the stop.
	lastCalls = 200 * time.Millisecond
	// readyAge is the greatest age of a quorum's answer at a ready replica.
	readyAge       = 2 * time.Second
	startingReason = "no quorum has answered yet"
	stoppingReason = "stopping"
)

// Daemon is one control replica.
type Daemon struct {
	settings *Settings
	logger   *slog.Logger
	ready    *telemetry.Ready
	log      *server.Server
	source   *source
	feed     *feed.Server
	service  *service
	terms    *terms
	server   *grpc.Server
	calls    *calls
	pool     *link.Pool

	listener net.Listener
}

// Ready returns the readiness, for the admin listener.
func (d *Daemon) Ready() *telemetry.Ready { return d.ready }

// Operations returns the operations of the Control service, for callers in this
// process. They pass on to the leader what only it can decide.
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

// Run serves until ctx ends or the log fails for good. At the end of ctx it
// stops as planned: it is no longer ready, hands its leadership over, lets the
// calls in flight finish and returns.
func (d *Daemon) Run(ctx context.Context) error {
	if d.listener == nil {
		if _, err := d.Listen(ctx); err != nil {
			return errors.Join(err, d.log.Close())
		}
	}
	background, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	d.exportMetrics()
	var group sync.WaitGroup
	group.Go(func() { _ = d.server.Serve(d.listener) })
	group.Go(func() { d.source.confirm(background, d.log, d.settings.ReadInterval, d.logger) })
	group.Go(func() { d.terms.run(background) })
	group.Go(func() { d.watchReady(background, ctx) })
	d.logger.Info("serving", "listen", d.listener.Addr().String(), "replica", d.settings.ID)
	select {
	case <-ctx.Done():
		d.stop()
	case <-d.log.Done():
		d.logger.Error("the replicated log has stopped for good", "error", d.log.Err())
	}
	end()
	d.feed.Stop()
	d.server.Stop()
	group.Wait()
	return errors.Join(d.log.Err(), d.log.Close(), d.pool.Close())
}

// watchReady keeps the readiness until ctx ends; it is gone from the moment at
// which the planned stop begins.
func (d *Daemon) watchReady(ctx, planned context.Context) {
	for ctx.Err() == nil {
		_, at, ok := d.source.Freshness()
		ok = ok && time.Since(at) < readyAge
		switch {
		case planned.Err() != nil:
			d.ready.Set(false, stoppingReason)
		case ok:
			d.ready.Set(true, "")
		default:
			d.ready.Set(false, startingReason)
		}
		wait.For(ctx, readyPoll)
	}
}

// stop carries out the planned stop within its limit.
func (d *Daemon) stop() {
	d.ready.Set(false, stoppingReason)
	d.logger.Info("stopping")
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.StopLimit)
	defer cancel()
	d.handOver(ctx)
	d.feed.Stop()
	stopped := make(chan struct{})
	go func() {
		d.server.GracefulStop()
		close(stopped)
	}()
	d.calls.wait(ctx)
	select {
	case <-stopped:
	case <-time.After(lastCalls):
		d.calls.wait(ctx)
	}
	// What is left are the streams of the other replicas, which do not
	// end by themselves while nothing is sent on them.
	d.server.Stop()
	d.logger.Info("stopped", "calls", d.calls.inFlight.Load())
}

// handOver gives the leadership to the voter that is furthest, and waits until
// another replica leads.
func (d *Daemon) handOver(ctx context.Context) {
	for ctx.Err() == nil {
		changed := d.log.LeaderChanged()
		if _, _, _, self := d.log.Leader(); !self {
			return
		}
		successor := successor(d.log.Status())
		if successor == 0 {
			return
		}
		if err := d.log.TransferLeader(successor); err != nil {
			d.logger.Info("handing the leadership over failed", "to", successor, "error", err)
		}
		select {
		case <-changed:
		case <-time.After(d.settings.ElectionTimeout):
		case <-ctx.Done():
		}
	}
}

// successor returns the active voter that has the most of the log, or zero.
func successor(status server.Status) uint64 {
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
