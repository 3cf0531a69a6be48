package fanout

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/feed"
	"github.com/lilackeel/lilackeel/link"
)

// revisionTimeout bounds the wait until a revision is applied.
const revisionTimeout = 2 * time.Minute

// byteCounter counts the bytes sent and received on connections.
type byteCounter struct{ bytes atomic.Int64 }

// countingConn counts the bytes sent and received on a connection.
type countingConn struct {
	net.Conn
	counter *byteCounter
}

func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.counter.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// countingListener counts the bytes sent and received on the connections that it
// accepts.
type countingListener struct {
	net.Listener
	counter *byteCounter
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.counter}, nil
}

// serveFeed serves a feed on a loopback address.
func serveFeed(server *feed.Server, counter *byteCounter) (addr string, stop func(), err error) {
	options, err := link.ServerOptions(link.Config{})
	if err != nil {
		return "", nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	g := grpc.NewServer(options...)
	server.Register(g)
	go func() { _ = g.Serve(countingListener{listener, counter}) }()
	return listener.Addr().String(), g.Stop, nil
}

// fleet is a set of daemons that receive the configuration, and the relays between
// them and its sources.
type fleet struct {
	daemons    []*daemon
	cancel     context.CancelFunc
	group      sync.WaitGroup
	stopRelays []func()
}

// daemon is a client of the feed that records when it applies each revision.
type daemon struct {
	client *feed.Client

	mu        sync.Mutex
	appliedAt map[uint64]time.Time
}

// startFleet starts count daemons that are connected to the sources directly, or
// through one relay per zone.
func startFleet(count int, sources []string, relayed bool) (*fleet, error) {
	options, err := link.DialOptions(link.Config{})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{cancel: cancel}
	byZone := make([][]string, len(zones))
	for i := range zones {
		byZone[i] = sources
		if relayed {
			addr, err := f.startRelay(ctx, zones[i], sources, options)
			if err != nil {
				f.stop()
				return nil, err
			}
			byZone[i] = []string{addr}
		}
	}
	for i := range count {
		zone := i % len(zones)
		d := &daemon{appliedAt: map[uint64]time.Time{}}
		d.client = newFeedClient(fmt.Sprintf("daemon-%04d", i), zones[zone], byZone[zone], options)
		d.client.OnApply(d.recordApplied)
		f.daemons = append(f.daemons, d)
		f.group.Go(func() { _ = d.client.Run(ctx) })
	}
	return f, nil
}

func (f *fleet) startRelay(ctx context.Context, zone string, sources []string, options []grpc.DialOption) (addr string, err error) {
	client := newFeedClient("relay-"+zone, zone, sources, options)
	relay := feed.NewRelay(client)
	addr, stop, err := serveFeed(relay.Server(), &byteCounter{})
	if err != nil {
		return "", err
	}
	f.stopRelays = append(f.stopRelays, stop)
	f.group.Go(func() { _ = client.Run(ctx) })
	return addr, nil
}

func newFeedClient(name, zone string, sources []string, options []grpc.DialOption) *feed.Client {
	return feed.NewClient(feed.Config{
		Sources: sources, Daemon: name, Role: "agent", Zone: zone, Incarnation: 1, DialOptions: options,
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
}

func (f *fleet) stop() {
	f.cancel()
	for _, stop := range f.stopRelays {
		stop()
	}
	f.group.Wait()
}

func (d *daemon) recordApplied(_, view *feed.View, _ *fleetv1.Delta) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.appliedAt[view.Revision] = now
}

// firstApplied returns when the daemon first applied the revision or a later one.
func (d *daemon) firstApplied(revision uint64) (at time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for applied, appliedAt := range d.appliedAt {
		if applied >= revision && (!ok || appliedAt.Before(at)) {
			at, ok = appliedAt, true
		}
	}
	return at, ok
}

// waitForRevision waits until all daemons have applied the revision.
func (f *fleet) waitForRevision(revision uint64) error {
	deadline := time.Now().Add(revisionTimeout)
	for _, d := range f.daemons {
		for {
			if view := d.client.Configuration(); view != nil && view.Revision >= revision {
				break
			}
			if time.Now().After(deadline) {
				return fault.Newf(fault.Unavailable, "run the measurement on a less busy machine", "revision %d was not applied by all daemons within %v", revision, revisionTimeout)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}
