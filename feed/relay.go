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
	// relayJournalRecords bounds the changes that a relay remembers for daemons
	// that come back.
	relayJournalRecords = 20_000
	// reportAllInterval is the time between two full reports of the daemons
	// below a relay; in between it reports those that moved.
	reportAllInterval = 3 * time.Second
	// relayStopLimit bounds the planned stop of a relay.
	relayStopLimit = time.Second
)

// Relay publishes again what its client is shown, so that the cost of the
// control replicas grows with the availability zones and not with the daemons.
// Any daemon can run one over its own client.
type Relay struct {
	client *Client
	server *Server

	mu       sync.Mutex
	journal  journal
	view     *View
	snapshot *fleetv1.Configuration
	changed  chan struct{}

	reportedAll time.Time
	reported    time.Time
}

// NewRelay returns a relay over the client, which must not run yet.
func NewRelay(client *Client) *Relay {
	r := &Relay{client: client, journal: journal{limit: relayJournalRecords}, changed: make(chan struct{})}
	r.server = NewServer(r)
	client.onStep(r.apply)
	client.below = r.report
	return r
}

// Server returns the publisher, to be registered with a gRPC server.
func (r *Relay) Server() *Server { return r.server }

// Run serves the relay on the listener until ctx ends. It then sends the daemons
// on to their other sources and returns when they have gone, or after a second.
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
	cut := time.AfterFunc(relayStopLimit, g.Stop)
	defer cut.Stop()
	g.GracefulStop()
	return nil
}

func (r *Relay) apply(step *Transition) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view = step.New
	r.snapshot = nil
	if step.FromDiff {
		// A daemon between the two revisions could not use this delta.
		r.journal.clear()
	} else {
		r.journal.add(step.Delta)
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

// report returns the daemons below that the relay has to report with a ping.
func (r *Relay) report(now time.Time) []*controlv1.DaemonStatus {
	if now.Sub(r.reportedAll) >= reportAllInterval {
		r.reportedAll = now
		r.reported = now
		return r.server.Daemons().List(now)
	}
	since := r.reported
	r.reported = now
	return r.server.Daemons().movedSince(since, now)
}
