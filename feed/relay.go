package feed

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/grpc"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
)

const (
	// relayJournalRecords bounds the changes that a relay keeps for daemons that
	// reconnect.
	relayJournalRecords = 20_000
	// fullReportInterval is the time between two full reports of the daemons
	// that watch a relay; in between it reports those that changed.
	fullReportInterval = 3 * time.Second
	// relayStopTimeout bounds the graceful stop of a relay.
	relayStopTimeout = time.Second
)

// Relay republishes the configuration of its client, so that the load on the
// control replicas grows with the number of availability zones and not with the
// number of daemons. Any daemon can run one on top of its own client.
type Relay struct {
	client *Client
	server *Server

	mu       sync.Mutex
	journal  journal
	view     *View
	snapshot *fleetv1.Configuration
	changed  chan struct{}

	lastFullReport time.Time
	lastReport     time.Time
}

// NewRelay returns a relay on top of the client, which must not be running yet.
func NewRelay(client *Client) *Relay {
	r := &Relay{client: client, journal: journal{limit: relayJournalRecords}, changed: make(chan struct{})}
	r.server = NewServer(r)
	client.onTransition(r.apply)
	client.downstream = r.report
	return r
}

// Server returns the feed server, to be registered with a gRPC server.
func (r *Relay) Server() *Server { return r.server }

// Run serves the relay on the listener until ctx ends. It then ends the watches of
// the daemons, so that they switch to their other sources, and returns when they
// have disconnected, or after one second.
func (r *Relay) Run(ctx context.Context, listener net.Listener, options ...grpc.ServerOption) error {
	g := grpc.NewServer(options...)
	r.server.Register(g)
	served := make(chan error, 1)
	go func() { served <- g.Serve(listener) }()
	select {
	case err := <-served:
		return trace.Wrap(err)
	case <-ctx.Done():
	}
	r.server.Stop()
	forceStop := time.AfterFunc(relayStopTimeout, g.Stop)
	defer forceStop.Stop()
	g.GracefulStop()
	return nil
}

func (r *Relay) apply(transition *Transition) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view = transition.New
	r.snapshot = nil
	if transition.FromDiff {
		// The delta does not cover changes that came and went between the two
		// revisions, so a daemon that holds one in between cannot use it.
		r.journal.clear()
	} else {
		r.journal.add(transition.Delta)
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// Revision implements Source.
func (r *Relay) Revision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.view == nil {
		return 0
	}
	return r.view.Revision
}

// Configuration implements Source.
func (r *Relay) Configuration() *fleetv1.Configuration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.view == nil {
		return nil
	}
	if r.snapshot == nil {
		r.snapshot = r.view.Configuration()
	}
	return r.snapshot
}

// DeltaSince implements Source.
func (r *Relay) DeltaSince(revision uint64) *fleetv1.Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.journal.since(revision)
}

// Changed implements Source.
func (r *Relay) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Freshness implements Source.
func (r *Relay) Freshness() (revision uint64, at time.Time, ok bool) {
	return r.client.Freshness()
}

// report returns the statuses of the downstream daemons for the next ping.
func (r *Relay) report(now time.Time) []*controlv1.DaemonStatus {
	if now.Sub(r.lastFullReport) >= fullReportInterval {
		r.lastFullReport = now
		r.lastReport = now
		return r.server.Daemons().List(now)
	}
	since := r.lastReport
	r.lastReport = now
	return r.server.Daemons().changedSince(since, now)
}
