package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/proof"
	"github.com/lilackeel/lilackeel/replica"
	"github.com/lilackeel/lilackeel/wal"
)

// commandList is a state machine that stores the commands it has applied.
type commandList struct {
	delay    time.Duration // of each command
	discard  bool          // stores nothing, for benchmarks
	mu       sync.Mutex
	commands []string
}

func (l *commandList) Apply(_, _ uint64, data []byte) any {
	time.Sleep(l.delay)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.discard {
		return nil
	}
	l.commands = append(l.commands, string(data))
	return len(l.commands)
}

func (l *commandList) Snapshot() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return json.Marshal(l.commands)
}

func (l *commandList) Restore(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands = nil
	return json.Unmarshal(data, &l.commands)
}

func (l *commandList) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.commands...)
}

// cluster is a set of replicas that communicate by gRPC over loopback.
type cluster struct {
	t        testing.TB
	cfg      Config
	peers    map[uint64]string
	dirs     map[uint64]string
	replicas map[uint64]*Server
	machines map[uint64]*commandList
	grpc     map[uint64]*grpc.Server
	// discardCommands makes the state machines store nothing.
	discardCommands bool
	// retried counts the proposals that were retried because their outcome was
	// unknown. Each may be in the log twice.
	retried int
}

func newCluster(t testing.TB, size int, cfg Config) *cluster {
	_, benchmark := t.(*testing.B)
	c := &cluster{t: t, cfg: cfg, discardCommands: benchmark, peers: map[uint64]string{}, dirs: map[uint64]string{},
		replicas: map[uint64]*Server{}, machines: map[uint64]*commandList{}, grpc: map[uint64]*grpc.Server{}}
	listeners := map[uint64]net.Listener{}
	for id := uint64(1); id <= uint64(size); id++ {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[id] = listener
		c.peers[id] = listener.Addr().String()
		c.dirs[id] = t.TempDir()
	}
	for id, listener := range listeners {
		c.start(id, listener)
	}
	t.Cleanup(func() {
		for id := range c.replicas {
			c.stop(id)
		}
	})
	return c
}

func (c *cluster) start(id uint64, listener net.Listener) {
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", c.peers[id]); err != nil {
			c.t.Fatal(err)
		}
	}
	cfg := c.cfg
	cfg.ID, cfg.DataDir, cfg.Peers, cfg.Addr = id, c.dirs[id], maps.Clone(c.peers), c.peers[id]
	cfg.Logger = slog.New(slog.DiscardHandler)
	machine := &commandList{discard: c.discardCommands}
	server, err := Open(cfg, machine)
	if err != nil {
		c.t.Fatal(err)
	}
	c.replicas[id], c.machines[id] = server, machine
	c.grpc[id] = grpc.NewServer()
	server.Register(c.grpc[id])
	go c.grpc[id].Serve(listener)
}

func (c *cluster) stop(id uint64) {
	c.replicas[id].Close()
	c.grpc[id].Stop()
	delete(c.replicas, id)
}

// propose commits a command through the current leader and returns the leader's id.
func (c *cluster) propose(command string) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for {
		for id, replica := range c.replicas {
			if _, _, _, self := replica.Leader(); !self {
				continue
			}
			_, err := replica.Propose(ctx, []byte(command))
			if err == nil {
				return id
			}
			if fault.Is(err, fault.Unknown) {
				c.retried++
			}
		}
		select {
		case <-ctx.Done():
			c.t.Fatalf("%q was not committed", command)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func TestElectsCommitsAndSurvivesRestart(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Restart}, Step: "all replicas, after fifty commands",
		Guard: "the log and the snapshot are read at the start, each alone"}.Log(t)
	for _, size := range []int{1, 3} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, size, Config{ElectionTimeout: 200 * time.Millisecond, SnapshotEvery: 20, TrailingEntries: 5})
			var want []string
			for i := range 50 {
				want = append(want, fmt.Sprint("before ", i))
				c.propose(want[i])
			}
			for id := range c.peers {
				c.stop(id)
			}
			for id := range c.peers {
				c.start(id, nil)
			}
			want = append(want, "after")
			c.propose("after")
			for id, replica := range c.replicas {
				c.read(replica)
				is.Equal(slices.Compact(c.machines[id].all()), want) // a command of unknown outcome may be in the log twice
			}
		})
	}
}

// read waits for a linearizable read at a replica to succeed.
func (c *cluster) read(replica *Server) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for {
		_, err := replica.ReadIndex(ctx)
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			c.t.Fatalf("no read: %v", err)
		}
	}
}

// A replica whose data directory was wiped, and that needs two megabytes of state
// in several chunks, rejoins as a learner and is promoted without an operator.
func TestWipedDataDirectoryRejoins(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.LostDisk}, Step: "data directory wiped while its replica is down",
		Guard: "the membership entry for a blank disk, its promotion, and the snapshot in chunks, each alone"}.Log(t)
	is := is.New(t)
	c := newCluster(t, 3, Config{ElectionTimeout: 100 * time.Millisecond, RepairAfter: 300 * time.Millisecond, SnapshotEvery: 2, TrailingEntries: 1})
	big := strings.Repeat("x", MaxProposalBytes*2/3)
	for i := range 4 {
		c.propose(fmt.Sprint(i, big))
	}
	leader := c.propose("last")
	wiped := leader%3 + 1
	c.stop(wiped)
	is.NoErr(os.RemoveAll(c.dirs[wiped]))
	c.start(wiped, nil)
	for !c.replicas[wiped].Status().Voter || !c.replicas[wiped].Status().Admitted {
		c.propose("meanwhile")
	}
	c.read(c.replicas[wiped])
	all := c.machines[wiped].all()
	once := slices.Compact(slices.Clone(all[:slices.Index(all, "meanwhile")]))
	is.Equal(len(once), 5) // the four large commands and the last one, in order
	for i := range 4 {
		is.True(once[i] == fmt.Sprint(i, big))
	}
	is.True(slices.Index(all, "meanwhile")-len(once) <= c.retried) // no command that was proposed once was applied twice
}

// A fourth replica joins with an empty data directory, becomes a voter and leads.
// Then the former leader is removed.
func TestOperatorMembershipChanges(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, Config{ElectionTimeout: 200 * time.Millisecond})
	change := func(change replica.ConfChange) {
		for {
			leader := c.replicas[c.propose("before a change")]
			err := leader.ChangeMembership(context.Background(), change)
			if err == nil || fault.Is(err, fault.NotFound) || change.Kind == replica.AddVoter && strings.Contains(err.Error(), "member already") {
				return
			}
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	c.peers[4], c.dirs[4] = listener.Addr().String(), t.TempDir()
	c.cfg.Join = true
	c.start(4, listener)
	change(replica.ConfChange{Kind: replica.AddVoter, ID: 4, Addr: c.peers[4]})
	for !c.replicas[4].Status().Voter {
		c.propose("meanwhile")
	}
	leader := c.propose("with four")
	for c.propose("handing over") == leader {
		_ = c.replicas[leader].TransferLeader(4)
	}
	change(replica.ConfChange{Kind: replica.Remove, ID: leader})
	c.stop(leader)
	for id, r := range c.replicas {
		c.read(r)
		is.Equal(len(r.Status().Membership.Members), 3)
		is.True(slices.Contains(c.machines[id].all(), "with four"))
	}
}

// failingSyncFS is the operating system's file system, except that syncs fail once
// broken is set.
type failingSyncFS struct {
	wal.OS
	broken atomic.Bool
}

type failingSyncFile struct {
	wal.File
	fs *failingSyncFS
}

func (b *failingSyncFS) Create(path string) (wal.File, error) {
	file, err := b.OS.Create(path)
	return failingSyncFile{file, b}, err
}

func (f failingSyncFile) Sync() error {
	if f.fs.broken.Load() {
		return errors.New("injected: input/output error")
	}
	return f.File.Sync()
}

// A command whose sync failed is not acknowledged, and the replica stops.
func TestFailedSyncIsNotAcknowledged(t *testing.T) {
	for _, promise := range []proof.Promise{proof.DurableConfiguration, proof.NotRun} {
		proof.Cell{Promise: promise, Faults: []proof.Fault{proof.FullDisk}, Step: "the sync of a proposed command fails",
			Guard: "stopping at a failed sync before anything is applied"}.Log(t)
	}
	is := is.New(t)
	files := &failingSyncFS{}
	c := newCluster(t, 1, Config{ElectionTimeout: 50 * time.Millisecond, FS: files})
	c.propose("good")
	files.broken.Store(true)
	ctx := context.Background()
	_, err := c.replicas[1].Propose(ctx, []byte("lost"))
	is.Equal(fault.KindOf(err), fault.Unknown)
	<-c.replicas[1].Done()
	is.Equal(fault.KindOf(c.replicas[1].Err()), fault.Internal)
	is.Equal(c.machines[1].all(), []string{"good"}) // not applied either
	files.broken.Store(false)
	_, err = c.replicas[1].Propose(ctx, []byte("later"))
	is.Equal(fault.KindOf(err), fault.Unavailable) // the replica does not resume once syncs succeed again
	_, err = c.replicas[1].ReadIndex(ctx)
	is.Equal(fault.KindOf(err), fault.Unavailable)
}

// hub connects replicas of one process and can cut them off from each other.
type hub struct {
	mu       sync.Mutex
	replicas map[uint64]*Server
	cut      map[uint64]bool
}

// port is the transport of one replica of a hub.
type port struct {
	*hub
	id uint64
}

func (p port) Send(messages []*pb.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range messages {
		if to := p.replicas[m.To]; to != nil && !p.cut[p.id] && !p.cut[m.To] {
			to.Receive(m)
		}
	}
}

func (p port) SetPeers(map[uint64]string) {}

func (p port) Close() error { return nil }

// newHubCluster returns three replicas connected by a hub, whose state machines
// take 300 ms per command.
func newHubCluster(t *testing.T) (*cluster, *hub) {
	h := &hub{replicas: map[uint64]*Server{}, cut: map[uint64]bool{}}
	c := &cluster{t: t, replicas: h.replicas, machines: map[uint64]*commandList{}}
	for id := uint64(1); id <= 3; id++ {
		c.machines[id] = &commandList{delay: 300 * time.Millisecond}
		replica, err := Open(Config{
			ID: id, DataDir: t.TempDir(), Peers: map[uint64]string{1: "one", 2: "two", 3: "three"},
			Transport: port{h, id}, Logger: slog.New(slog.DiscardHandler),
		}, c.machines[id])
		if err != nil {
			t.Fatal(err)
		}
		h.mu.Lock()
		h.replicas[id] = replica
		h.mu.Unlock()
	}
	return c, h
}

func (h *hub) close() {
	for _, replica := range h.replicas {
		replica.Close()
	}
}

// When an isolated leader steps down, it immediately fails its pending proposals
// with an unknown outcome and its pending reads, and the other replicas elect a
// leader.
func TestIsolatedLeaderAnswersItsCallers(t *testing.T) {
	proof.Cell{Promise: proof.NotRun, Faults: []proof.Fault{proof.FullPartition}, Step: "proposal pending at a leader that is cut off",
		Guard: "outcome unknown when the leadership is lost"}.Log(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, h := newHubCluster(t)
		defer h.close()
		old := h.replicas[c.propose("before")]
		h.mu.Lock()
		h.cut[old.cfg.ID] = true
		h.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		changed := old.LeaderChanged()
		read := make(chan error, 1)
		go func() {
			_, err := old.ReadIndex(ctx)
			read <- err
		}()
		_, err := old.Propose(ctx, []byte("cut off"))
		is.Equal(fault.KindOf(err), fault.Unknown)
		is.True(strings.Contains(err.Error(), "leadership was lost")) // rather than because its context ended
		<-changed
		_, err = old.Propose(ctx, []byte("no leader"))
		is.Equal(fault.KindOf(err), fault.NoQuorum)
		is.Equal(fault.KindOf(<-read), fault.NoQuorum)
		time.Sleep(time.Second)
		is.True(old.LeaderlessFor() >= time.Second) // counted from the loss, not from the last call
		is.Equal(h.replicas[c.propose("after")].LeaderlessFor(), time.Duration(0))
		is.NoErr(ctx.Err())
	})
}

// A read at a follower waits until its state machine has caught up. A command whose
// caller gave up before it was proposed is never run.
func TestReadsWaitForApplyAndCancelledCommandsAreNotRun(t *testing.T) {
	proof.Cell{Promise: proof.NotRun, Faults: []proof.Fault{proof.Freeze}, Step: "command cancelled while the leader's loop is blocked",
		Guard: "a cancelled command is not proposed"}.Log(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, h := newHubCluster(t)
		defer h.close()
		leader := h.replicas[c.propose("first")]
		follower := leader.cfg.ID%3 + 1
		c.read(h.replicas[follower])
		is.Equal(c.machines[follower].all(), []string{"first"})

		release := make(chan struct{})
		go leader.runInLoop(func() { <-release })
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, err := leader.Propose(ctx, []byte("abandoned"))
		is.Equal(fault.KindOf(err), fault.Unavailable) // certainly not run
		close(release)
		c.propose("second")
		c.read(h.replicas[follower])
		is.Equal(c.machines[follower].all(), []string{"first", "second"})
	})
}
