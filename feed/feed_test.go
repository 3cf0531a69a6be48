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

// fakeSource is a source whose revisions a test makes.
type fakeSource struct {
	mu      sync.Mutex
	view    *View
	journal journal
	changed chan struct{}
	// known is whether a quorum confirms the source at every moment.
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

// serve publishes the source on loopback and returns its address.
func serve(t *testing.T, server controlv1.FeedServer) string {
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

// await waits until the client acts on at least the revision.
func await(t *testing.T, client *Client, revision uint64) *View {
	t.Helper()
	limit := time.After(30 * time.Second)
	for {
		changed := client.Changed()
		if view := client.Configuration(); view != nil && view.Revision >= revision {
			return view
		}
		select {
		case <-changed:
		case <-limit:
			t.Fatalf("revision %d did not arrive", revision)
		}
	}
}

// A daemon below a relay gets the snapshot, then deltas, and catches up after
// more changes than anybody remembers.
func TestRelayCarriesChanges(t *testing.T) {
	proof.Cell{Promise: proof.Configuration, Faults: []proof.Fault{proof.Restart}, Step: "planned stop of the relay above a daemon",
		Guard: "the relay sends its daemons on"}.Log(t)
	is := is.New(t)
	source := newFakeSource(1)
	root := serve(t, NewServer(source))
	relayClient := newTestClient("relay-a", root)
	relay := NewRelay(relayClient)
	runClient(t, relayClient)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, stopRelay := context.WithCancel(t.Context())
	defer stopRelay()
	go func() { _ = relay.Run(ctx, listener) }()
	below := listener.Addr().String()
	client := newTestClient("entry-1", below, root)
	runClient(t, client)
	await(t, client, 1)
	for range 500 {
		source.put(&fleetv1.Workspace{Name: "haneul"}, &fleetv1.Workspace{Name: "nawras"})
	}
	view := await(t, client, 501)
	is.Equal(view.Workspaces.Len(), 2)
	is.Equal(client.Source(), below)
	stopRelay() // planned: the daemon goes on with the control replica
	source.put(&fleetv1.Workspace{Name: "rest"})
	await(t, client, 502)
	is.Equal(client.Source(), root)
}

// A daemon that reads nothing holds up nobody, and leaves no queue behind.
func TestSlowWatcherHoldsUpNobody(t *testing.T) {
	is := is.New(t)
	source := newFakeSource(1)
	addr := serve(t, NewServer(source))
	conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	is.NoErr(err)
	defer conn.Close()
	slow, err := controlv1.NewFeedClient(conn).Watch(t.Context())
	is.NoErr(err)
	hello := &controlv1.Hello{Daemon: "slow", Revision: 1}
	is.NoErr(slow.Send(&controlv1.WatchRequest{Kind: &controlv1.WatchRequest_Hello{Hello: hello}}))
	quick := newTestClient("quick", addr)
	runClient(t, quick)
	await(t, quick, 1)
	bulk := strings.Repeat("x", 64<<10)
	for revision := uint64(2); revision < 200; revision++ {
		source.put(&fleetv1.Workspace{Name: "bulk", Models: []string{bulk}})
		await(t, quick, revision)
	}
	var messages int
	for revision := uint64(1); revision < 199; messages++ {
		response, err := slow.Recv()
		is.NoErr(err)
		is.True(response.GetDelta().GetFromRevision() <= revision)
		revision = max(response.GetDelta().GetToRevision(), response.GetSnapshot().GetRevision())
	}
	is.True(messages < 100) // joined, not queued
}

// frozenFeed takes watches and then says nothing.
type frozenFeed struct {
	controlv1.UnimplementedFeedServer
}

func (frozenFeed) Watch(stream watchStream) error {
	<-stream.Context().Done()
	return nil
}

// A client moves on from a source that takes its watch and then says nothing, and does not act on what an older source tells it afterwards.
func TestClientMovesOnFromFrozenSource(t *testing.T) {
	proof.Cell{Promise: proof.Configuration, Faults: []proof.Fault{proof.Freeze}, Step: "source that takes a watch and falls silent",
		Guard: "the limits of silence and of staleness together"}.Log(t)
	is := is.New(t)
	frozen := serve(t, frozenFeed{})
	newer, older := newFakeSource(7), newFakeSource(5)
	newerServer := NewServer(newer)
	client := newTestClient("agent-1", frozen, serve(t, newerServer), serve(t, NewServer(older)))
	var applied []uint64
	client.OnApply(func(_, new *View, _ *fleetv1.Delta) {
		client.mu.Lock()
		defer client.mu.Unlock()
		is.True(client.follower.acked < new.Revision) // acknowledged only afterwards
		applied = append(applied, new.Revision)
	})
	runClient(t, client)
	await(t, client, 7)
	newerServer.Stop()
	for older.Revision() < 8 {
		older.put(&fleetv1.Workspace{Name: "nawras"})
	}
	await(t, client, 8)
	client.mu.Lock()
	defer client.mu.Unlock()
	is.Equal(applied, []uint64{7, 8})
}

// cutSource is cut off from its quorum: it answers, and what it knows gets
// older and older.
type cutSource struct {
	*fakeSource
	confirmed time.Time
}

func (s *cutSource) Freshness() (uint64, time.Time, bool) {
	return s.Revision(), s.confirmed, true
}

// A client that comes to a source cut off from its quorum leaves it once the
// answers show that, and not only when a first answer would have been overdue.
func TestClientMovesOnFromACutOffSource(t *testing.T) {
	proof.Cell{Promise: proof.Configuration, Faults: []proof.Fault{proof.CutBothWays}, Step: "coming to a source that is cut off from the quorum",
		Guard: "the time to leave is set anew at each answer"}.Log(t)
	is := is.New(t)
	cut := serve(t, NewServer(&cutSource{fakeSource: newFakeSource(1), confirmed: time.Now()}))
	working := serve(t, NewServer(newFakeSource(2)))
	client := newTestClient("entry-1", cut, working)
	client.follower.limits.FirstPongTimeout = time.Minute
	var lines bytes.Buffer
	client.cfg.Logger = slog.New(slog.NewJSONHandler(&lines, nil))
	begun := time.Now()
	runClient(t, client)
	await(t, client, 2)
	is.Equal(client.Source(), working)
	is.True(time.Since(begun) < 20*time.Second) // of the minute that a first answer may take
	is.True(strings.Contains(lines.String(), `"left a source of configuration"`))
	is.True(strings.Contains(lines.String(), `"watched":`))
}

// A relay that has caught up by a snapshot does not know what came and went in
// between, so a daemon that stood there gets a snapshot too.
func TestRelayForgetsBehindASnapshot(t *testing.T) {
	is := is.New(t)
	relay := NewRelay(newTestClient("relay-a", "127.0.0.1:1"))
	old := NewView(&fleetv1.Configuration{Revision: 10})
	with := old.Apply(&fleetv1.Delta{FromRevision: 10, ToRevision: 11, Workspaces: []*fleetv1.Workspace{{Name: "gone"}}})
	latest := NewView(&fleetv1.Configuration{Revision: 12})
	relay.apply(&Transition{New: old, Delta: Diff(nil, old), FromDiff: true})
	is.True(relay.DeltaSince(5) == nil)
	relay.apply(&Transition{Old: old, New: latest, Delta: Diff(old, latest), FromDiff: true})
	if delta := relay.DeltaSince(with.Revision); delta != nil {
		is.Equal(with.Apply(delta).Workspaces.Len(), 0) // the removed workspace must not stay
	}
}
