package feed

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/proof"
)

// fakeSource is a source whose revisions are created by a test.
type fakeSource struct {
	mu      sync.Mutex
	view    *View
	journal journal
	changed chan struct{}
	// known is whether the source always has a current quorum confirmation.
	known bool
}

func newFakeSource(revision uint64) *fakeSource {
	view := NewView(&fleetv1.Configuration{Revision: revision})
	return &fakeSource{view: view, journal: journal{limit: 100}, changed: make(chan struct{}), known: true}
}

func (s *fakeSource) put(workspaces ...*fleetv1.Workspace) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delta := &fleetv1.Delta{FromRevision: s.view.Revision, ToRevision: s.view.Revision + 1, Workspaces: workspaces}
	s.view = s.view.Apply(delta)
	s.journal.add(delta)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeSource) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Revision
}

func (s *fakeSource) Configuration() *fleetv1.Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Configuration()
}

func (s *fakeSource) DeltaSince(revision uint64) *fleetv1.Delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.journal.since(revision)
}

func (s *fakeSource) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *fakeSource) Freshness() (uint64, time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Revision, time.Now(), s.known
}

// startServer runs the feed server on loopback and returns its address.
func startServer(t *testing.T, server controlv1.FeedServer) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	grpcServer := grpc.NewServer()
	controlv1.RegisterFeedServer(grpcServer, server)
	go func() { _ = grpcServer.Serve(listener) }()
	t.Cleanup(grpcServer.Stop)
	return listener.Addr().String()
}

func newTestClient(daemon string, sources ...string) *Client {
	return NewClient(Config{
		Sources:      sources,
		Daemon:       daemon,
		Role:         "entry",
		PingInterval: 20 * time.Millisecond,
		Limits:       Limits{PongTimeout: 200 * time.Millisecond, FirstPongTimeout: time.Second, MaxStaleness: 300 * time.Millisecond},
		DialOptions:  []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())},
	})
}

func runClient(t *testing.T, client *Client) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = client.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
}

// awaitRevision waits until the client has applied at least the revision.
func awaitRevision(t *testing.T, client *Client, revision uint64) *View {
	t.Helper()
	timeout := time.After(30 * time.Second)
	for {
		changed := client.Changed()
		if view := client.Configuration(); view != nil && view.Revision >= revision {
			return view
		}
		select {
		case <-changed:
		case <-timeout:
			t.Fatalf("revision %d did not arrive", revision)
		}
	}
}

// A daemon that watches a relay receives the snapshot, then deltas, and catches up
// after more changes than the journals retain. When the relay stops, it switches to
// the control replica.
func TestRelayForwardsChanges(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Restart}, Step: "planned stop of the relay that a daemon watches",
		Guard: "the relay ends the watches of its daemons"}.Log(t)
	is := is.New(t)
	source := newFakeSource(1)
	root := startServer(t, NewServer(source))
	relayClient := newTestClient("relay-a", root)
	relay := NewRelay(relayClient)
	runClient(t, relayClient)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, stopRelay := context.WithCancel(t.Context())
	defer stopRelay()
	go func() { _ = relay.Run(ctx, listener) }()
	relayAddr := listener.Addr().String()
	client := newTestClient("entry-1", relayAddr, root)
	runClient(t, client)
	awaitRevision(t, client, 1)
	for range 500 {
		source.put(&fleetv1.Workspace{Name: "haneul"}, &fleetv1.Workspace{Name: "nawras"})
	}
	view := awaitRevision(t, client, 501)
	is.Equal(view.Workspaces.Len(), 2)
	is.Equal(client.Source(), relayAddr)
	stopRelay() // graceful: the daemon switches to the control replica
	source.put(&fleetv1.Workspace{Name: "rest"})
	awaitRevision(t, client, 502)
	is.Equal(client.Source(), root)
}

// A daemon that does not read its stream neither delays others nor builds up a
// queue.
func TestSlowWatcherDoesNotDelayOthers(t *testing.T) {
	is := is.New(t)
	source := newFakeSource(1)
	addr := startServer(t, NewServer(source))
	conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	is.NoErr(err)
	defer conn.Close()
	slow, err := controlv1.NewFeedClient(conn).Watch(t.Context())
	is.NoErr(err)
	hello := &controlv1.Hello{Daemon: "slow", Revision: 1}
	is.NoErr(slow.Send(&controlv1.WatchRequest{Kind: &controlv1.WatchRequest_Hello{Hello: hello}}))
	quick := newTestClient("quick", addr)
	runClient(t, quick)
	awaitRevision(t, quick, 1)
	bulk := strings.Repeat("x", 64<<10)
	for revision := uint64(2); revision < 200; revision++ {
		source.put(&fleetv1.Workspace{Name: "bulk", Models: []string{bulk}})
		awaitRevision(t, quick, revision)
	}
	var messages int
	for revision := uint64(1); revision < 199; messages++ {
		response, err := slow.Recv()
		is.NoErr(err)
		is.True(response.GetDelta().GetFromRevision() <= revision)
		revision = max(response.GetDelta().GetToRevision(), response.GetSnapshot().GetRevision())
	}
	is.True(messages < 100) // merged, not queued
}

// frozenFeed accepts watches but sends nothing.
type frozenFeed struct {
	controlv1.UnimplementedFeedServer
}

func (frozenFeed) Watch(stream watchStream) error {
	<-stream.Context().Done()
	return nil
}

// A client leaves a source that accepts its watch but sends nothing. It does not
// apply the lower revision of a source that it watches later.
func TestClientLeavesFrozenSource(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Freeze}, Step: "source that accepts a watch but sends nothing",
		Guard: "the pong timeout and the limit of staleness together"}.Log(t)
	is := is.New(t)
	frozen := startServer(t, frozenFeed{})
	newer, older := newFakeSource(7), newFakeSource(5)
	newerServer := NewServer(newer)
	client := newTestClient("agent-1", frozen, startServer(t, newerServer), startServer(t, NewServer(older)))
	var applied []uint64
	client.OnApply(func(_, new *View, _ *fleetv1.Delta) {
		client.mu.Lock()
		defer client.mu.Unlock()
		is.True(client.follower.ackedRevision < new.Revision) // acknowledged only afterwards
		applied = append(applied, new.Revision)
	})
	runClient(t, client)
	awaitRevision(t, client, 7)
	newerServer.Stop()
	for older.Revision() < 8 {
		older.put(&fleetv1.Workspace{Name: "nawras"})
	}
	awaitRevision(t, client, 8)
	client.mu.Lock()
	defer client.mu.Unlock()
	is.Equal(applied, []uint64{7, 8})
}

// partitionedSource is partitioned from its quorum: it answers, but its last
// confirmation gets older and older.
type partitionedSource struct {
	*fakeSource
	confirmed time.Time
}

func (s *partitionedSource) Freshness() (uint64, time.Time, bool) {
	return s.Revision(), s.confirmed, true
}

// A client leaves a source that is partitioned from its quorum as soon as the pongs
// show that, and not only after FirstPongTimeout.
func TestClientLeavesPartitionedSource(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.FullPartition}, Step: "switching to a source that is cut off from the quorum",
		Guard: "the deadline of the source is updated at each pong"}.Log(t)
	is := is.New(t)
	partitioned := startServer(t, NewServer(&partitionedSource{fakeSource: newFakeSource(1), confirmed: time.Now()}))
	working := startServer(t, NewServer(newFakeSource(2)))
	client := newTestClient("entry-1", partitioned, working)
	client.follower.limits.FirstPongTimeout = time.Minute
	var lines bytes.Buffer
	client.cfg.Logger = slog.New(slog.NewJSONHandler(&lines, nil))
	started := time.Now()
	runClient(t, client)
	awaitRevision(t, client, 2)
	is.Equal(client.Source(), working)
	is.True(time.Since(started) < 20*time.Second) // FirstPongTimeout is one minute
	is.True(strings.Contains(lines.String(), `"left a source of configuration"`))
	is.True(strings.Contains(lines.String(), `"watched":`))
}

// A relay that has caught up by a snapshot does not know the intermediate changes,
// so a daemon that holds an intermediate revision receives a snapshot too. A delta
// would leave it with records that were removed meanwhile.
func TestRelayDiscardsDeltasAfterSnapshot(t *testing.T) {
	is := is.New(t)
	relay := NewRelay(newTestClient("relay-a", "127.0.0.1:1"))
	old := NewView(&fleetv1.Configuration{Revision: 10})
	intermediate := old.Apply(&fleetv1.Delta{FromRevision: 10, ToRevision: 11, Workspaces: []*fleetv1.Workspace{{Name: "gone"}}})
	latest := NewView(&fleetv1.Configuration{Revision: 12})
	relay.apply(&Transition{New: old, Delta: Diff(nil, old), FromDiff: true})
	is.True(relay.DeltaSince(5) == nil)
	relay.apply(&Transition{Old: old, New: latest, Delta: Diff(old, latest), FromDiff: true})
	if delta := relay.DeltaSince(intermediate.Revision); delta != nil {
		is.Equal(intermediate.Apply(delta).Workspaces.Len(), 0) // the removed workspace must not stay
	}
}
