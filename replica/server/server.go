// Package server runs a replica of the replicated log: it drives a replica.Node
// with a clock, a write-ahead log, a transport and a state machine.
//
// A server has four kinds of goroutines. The loop owns the node and the write-ahead
// log. The applier owns the state machine. The snapshot writer encodes and writes
// snapshot files concurrently with them; the loop truncates the log only after the
// file is durable. The transport has one sender per peer. Proposals that arrive
// while the loop syncs are stored together by the next sync (group commit).
//
// Lock order: Server.mu is a leaf lock. No other lock is taken and no callback is
// made while it is held.
package server

import (
	"crypto/rand"
	"encoding/binary"
	"io"
	"log/slog"
	mathrand "math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/grpc"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/replica"
	"github.com/lilackeel/lilackeel/wal"
)

const (
	// DefaultSnapshotEvery is the default number of entries between two snapshots.
	DefaultSnapshotEvery = 10_000
	// DefaultSnapshotLogRatio is the default ratio of the log since the last
	// snapshot to the state at which the next snapshot is taken.
	DefaultSnapshotLogRatio = 1.0
	// MinSnapshotLogBytes is the size of the log since the last snapshot below which
	// no snapshot is taken because of the size, so that a small state is not
	// written with every few commands.
	MinSnapshotLogBytes = 4 << 20
	// MaxProposalBytes limits the size of one command.
	MaxProposalBytes = 1 << 20

	// DefaultSnapshotReserve is the default of Config.SnapshotReserve: the state grows by no more
	// than the log until the next snapshot.
	DefaultSnapshotReserve = MinSnapshotLogBytes
	// reserveRetryInterval is the time between attempts to keep that room free on a full disk.
	reserveRetryInterval = time.Second

	inboxSize     = 4096
	proposalsSize = 1024
)

// StateMachine is the state machine that the log is applied to. One goroutine at a
// time calls its methods.
type StateMachine interface {
	// Apply executes a committed command and returns its result. It must be
	// deterministic. Commands come in log order, each index at most once per
	// process.
	Apply(index, term uint64, data []byte) any
	// Snapshot returns the whole state. If the state machine implements Capturer,
	// Capture is called instead.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by one that Snapshot returned.
	Restore(data []byte) error
}

// Config holds the settings of a Server.
type Config struct {
	// ID identifies this replica. It must not be zero.
	ID uint64
	// DataDir is the directory of the write-ahead log.
	DataDir string
	// Peers maps the ids of the initial voters, including this one, to their
	// host:port. With Join, they are the replicas to send join messages to.
	Peers map[uint64]string
	// Join prevents a replica with a blank disk from bootstrapping a new cluster, unless
	// that disk was first used without Join.
	Join bool
	// Addr is this replica's host:port; Peers[ID] if empty.
	Addr string
	// ElectionTimeout is how long a follower waits for a message from its leader
	// before it campaigns, and how long a leader without a quorum keeps leading.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between two heartbeats of a leader.
	HeartbeatInterval time.Duration
	// RepairAfter is how long a voter must have been unresponsive before a replica
	// with a blank disk replaces it as a learner; ten election timeouts if zero.
	RepairAfter time.Duration
	// Voters is the number of voters that the cluster maintains without an
	// operator; zero leaves membership changes to the operator.
	Voters int
	// SnapshotEvery is the number of entries between two snapshots.
	SnapshotEvery uint64
	// SnapshotLogRatio is the ratio of the size of the log since the last snapshot to
	// the size of the state above which a snapshot is taken before SnapshotEvery
	// entries, if the log exceeds MinSnapshotLogBytes.
	SnapshotLogRatio float64
	// SnapshotReserve is how many bytes beyond twice the size of the last snapshot are kept free on
	// the disk for the next one.
	SnapshotReserve int64
	// TrailingEntries is the number of entries before a snapshot that stay in the
	// log.
	TrailingEntries uint64
	// Logger defaults to slog.Default().
	Logger *slog.Logger
	// DialOptions are used for connections to other replicas, for example the
	// credentials for mutual TLS. If there are none, the connections are plain
	// text.
	DialOptions []grpc.DialOption
	// Transport replaces the gRPC transport if it is set.
	Transport Transport
	// FS replaces the file system of the write-ahead log if it is set.
	FS wal.FS
}

// Server is a running replica.
type Server struct {
	cfg       Config
	log       *slog.Logger
	node      *replica.Node
	wal       *wal.Log
	transport Transport
	applier   *applier
	snapshots *snapshotWriter
	pending   pendingProposals
	started   time.Time

	inbox            chan *pb.Message
	proposals        chan *proposal
	loopCalls        chan func()
	reads            map[uint64]chan replica.ReadState // owned by the loop
	loggedMembership *pb.Membership                    // last membership logged; owned by the loop
	peers            map[uint64]string                 // addresses of the other replicas; owned by the loop
	peersVersion     uint64                            // version of peers, plus one; owned by the loop
	reportedCounters replica.Counters                  // already added to the metrics; owned by the loop
	countedLeader    leaderInfo                        // last leader and term counted as a change; owned by the loop
	admissionLogged  bool                              // whether the admission was logged; owned by the loop

	logBytes atomic.Int64 // size of the log in memory, for the metrics

	closing   chan struct{}
	closeOnce sync.Once
	done      chan struct{}

	mu            sync.Mutex
	leader        leaderInfo
	leaderless    time.Time // since when no leader has been known
	leaderChanged chan struct{}
	failure       error
}

// leaderInfo identifies the leader that this replica knows.
type leaderInfo struct {
	id   uint64
	addr string
	term uint64
	self bool
}

// Open starts the replica stored in the data directory, or a new one if it is
// empty.
func Open(cfg Config, sm StateMachine) (*Server, error) {
	cfg.setDefaults()
	log, state, err := wal.Open(wal.Options{Dir: cfg.DataDir, FS: cfg.FS, Reserve: cfg.SnapshotReserve, Founder: !cfg.Join, NewIdentity: randomNumber})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s, err := open(cfg, sm, log, state)
	if err != nil {
		log.Close()
		return nil, trace.Wrap(err)
	}
	return s, nil
}

func open(cfg Config, sm StateMachine, log *wal.Log, state wal.State) (*Server, error) {
	if snapshot := state.Snapshot; snapshot != nil {
		if err := sm.Restore(snapshot.GetData()); err != nil {
			return nil, err
		}
	}
	saved := replica.Saved{HardState: state.HardState, Snapshot: state.Snapshot, Entries: state.Entries}
	node, err := replica.New(cfg.nodeConfig(state.Label), saved, 0)
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg: cfg, log: cfg.Logger.With("replica", cfg.ID), node: node, wal: log, transport: cfg.Transport,
		started: time.Now(), leaderless: time.Now(),
		inbox: make(chan *pb.Message, inboxSize), proposals: make(chan *proposal, proposalsSize), loopCalls: make(chan func()),
		reads: map[uint64]chan replica.ReadState{}, closing: make(chan struct{}), done: make(chan struct{}),
		leaderChanged: make(chan struct{}),
	}
	s.applier = newApplier(s, sm, state.Snapshot)
	s.snapshots = newSnapshotWriter(log, s.applier.stillFull)
	if s.transport == nil {
		s.transport = newGRPCTransport(s.log, cfg.DialOptions)
	}
	s.log.Info("replica opened", "disk", state.Label.GetIdentity(), "incarnation", state.Label.GetIncarnation(),
		"snapshot", state.Snapshot.GetIndex(), "entries", len(state.Entries))
	s.exportMetrics()
	go s.applier.run()
	if !log.ReserveMissing() {
		s.snapshots.requestCleanup() // a new disk has no reserve yet; others save a snapshot first
	}
	go s.snapshots.run()
	go s.loop()
	return s, nil
}

func (c *Config) setDefaults() {
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = replica.DefaultElectionTimeout
	}
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = min(replica.DefaultHeartbeatInterval, c.ElectionTimeout/5)
	}
	if c.SnapshotEvery == 0 {
		c.SnapshotEvery = DefaultSnapshotEvery
	}
	if c.SnapshotLogRatio == 0 {
		c.SnapshotLogRatio = DefaultSnapshotLogRatio
	}
	if c.SnapshotReserve == 0 {
		c.SnapshotReserve = DefaultSnapshotReserve
	}
	if c.Logger == nil {
		c.Logger = slog.Default()
	}
	if len(c.Peers) == 0 && !c.Join {
		c.Peers = map[uint64]string{c.ID: c.Addr}
	}
	if c.Addr == "" {
		c.Addr = c.Peers[c.ID]
	}
}

// nodeConfig returns the settings of the node.
func (c *Config) nodeConfig(label *pb.DiskLabel) replica.Config {
	return replica.Config{
		ID: c.ID, Addr: c.Addr, Disk: label, Boot: randomNumber(), Peers: c.Peers, Join: c.Join, Voters: c.Voters,
		ElectionTimeout: c.ElectionTimeout, HeartbeatInterval: c.HeartbeatInterval,
		RepairAfter: c.RepairAfter, TrailingEntries: c.TrailingEntries,
		Rand: mathrand.New(mathrand.NewPCG(randomNumber(), randomNumber())),
	}
}

// randomNumber returns a random number other than zero.
func randomNumber() uint64 {
	var buffer [8]byte
	if _, err := io.ReadFull(rand.Reader, buffer[:]); err != nil {
		panic(err)
	}
	return binary.LittleEndian.Uint64(buffer[:]) | 1
}

// Receive queues a message from another replica. If the queue is full the message
// is dropped; the protocol recovers from lost messages.
func (s *Server) Receive(message *pb.Message) {
	select {
	case s.inbox <- message:
	default:
	}
}

// Leader returns the leader of the current term as far as this replica knows; id is
// 0 if it does not know any.
func (s *Server) Leader() (id uint64, addr string, term uint64, self bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader.id, s.leader.addr, s.leader.term, s.leader.self
}

// LeaderlessFor returns for how long this replica has known no leader; zero if it knows one.
func (s *Server) LeaderlessFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader.id != 0 {
		return 0
	}
	return time.Since(s.leaderless)
}

// LeaderChanged returns a channel that is closed when the leader or the term
// changes. Obtain it before calling Leader, so that no change is missed.
func (s *Server) LeaderChanged() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaderChanged
}

// Applied returns the index up to which the state machine has applied the log.
func (s *Server) Applied() uint64 { return s.applier.index() }

// Done returns a channel that is closed when the replica has stopped, either by
// Close or because of a permanent failure that Err returns.
func (s *Server) Done() <-chan struct{} { return s.done }

// Err returns the failure that stopped the replica permanently, or nil.
func (s *Server) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failure
}

// Status is a snapshot of a replica's state.
type Status struct {
	replica.Status
	// Applied is the index up to which the state machine has applied the log.
	Applied uint64
	// Err is the failure that stopped the replica permanently, or nil.
	Err error
}

// Status returns a snapshot of the replica's state.
func (s *Server) Status() Status {
	status := Status{}
	_ = s.runInLoop(func() { status.Status = s.node.Status() })
	status.Applied = s.Applied()
	status.Err = s.Err()
	return status
}

// runInLoop runs f in the loop goroutine and waits for it.
func (s *Server) runInLoop(f func()) error {
	finished := make(chan struct{})
	wrapped := func() {
		f()
		close(finished)
	}
	select {
	case s.loopCalls <- wrapped:
	case <-s.done:
		return s.stoppedError()
	}
	<-finished
	return nil
}

// stoppedError returns the error for requests to a stopped replica.
func (s *Server) stoppedError() error {
	err := fault.New(fault.Unavailable, "this control replica has stopped; nothing was done", "send the request to another control replica")
	if failure := s.Err(); failure != nil {
		return err.WithCause(failure)
	}
	return err
}

// Close stops the replica and waits for a snapshot that is being written. Pending
// proposals fail with an unknown outcome.
func (s *Server) Close() error {
	s.closeOnce.Do(func() { close(s.closing) })
	<-s.done
	return nil
}
