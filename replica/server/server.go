// Package server runs a replica of the replicated log: it drives a replica.Node
// with a clock, a write-ahead log, a transport and a state machine.
//
// Four kinds of goroutine take part. The loop owns the node and the write-ahead
// log. The applier owns the state machine. The snapshot writer encodes and writes
// the file of a snapshot beside them; the loop truncates the log only after that
// file is durable. The transport has a sender for each peer. Proposals that come
// in while the loop syncs are stored together by the next sync (group commit).
//
// Lock order: Server.mu is a leaf; no other lock is taken and no callback is
// made while it is held.
package server

import (
	"crypto/rand"
	"encoding/binary"
	"io"
	"log/slog"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/grpc"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/replica"
	"github.com/lilackeel/lilackeel/wal"
)

const (
	// DefaultSnapshotEvery is the number of entries between two snapshots.
	DefaultSnapshotEvery = 10_000
	// MaxProposalBytes bounds one command.
	MaxProposalBytes = 1 << 20

	inboxSize     = 4096
	proposalsSize = 1024
)

// StateMachine is what the log drives. Its methods are called by one goroutine
// at a time.
type StateMachine interface {
	// Apply executes a committed command and returns its result. It must be
	// deterministic. Commands come in log order, each index once per process.
	Apply(index, term uint64, data []byte) any
	// Snapshot returns the whole state. It is not called on a Capturer.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by one that Snapshot returned.
	Restore(data []byte) error
}

// Config are the settings of a Server.
type Config struct {
	// ID identifies this replica; not zero.
	ID uint64
	// DataDir is the folder of the write-ahead log.
	DataDir string
	// Peers are the initial voters, id to host:port, this one included. With
	// Join they are the replicas to announce to.
	Peers map[uint64]string
	// Join keeps a blank disk from bootstrapping a new cluster.
	Join bool
	// Addr is this replica's host:port; Peers[ID] if empty.
	Addr string
	// ElectionTimeout is how long a follower waits for a leader before it
	// stands for election, and for how long a leader leads without a quorum.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the pause between heartbeats.
	HeartbeatInterval time.Duration
	// RepairAfter is how long a voter must be silent before a blank disk takes
	// its place as a learner; ten election timeouts if zero.
	RepairAfter time.Duration
	// Voters is the number of voters that the cluster keeps by itself; zero leaves
	// members to the operator.
	Voters int
	// SnapshotEvery is the number of entries between two snapshots.
	SnapshotEvery uint64
	// Trailing is the number of entries kept behind a snapshot.
	Trailing uint64
	// Logger is slog.Default if nil.
	Logger *slog.Logger
	// DialOptions are for connections to other replicas, for example the
	// credentials of mutual TLS. Without any the connections are in plain text.
	DialOptions []grpc.DialOption
	// Transport replaces gRPC.
	Transport Transport
	// FS replaces the file system of the write-ahead log.
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
	waiters   waiters
	started   time.Time

	inbox     chan *pb.Message
	proposals chan *proposal
	calls     chan func()
	reads     map[uint64]chan replica.ReadState // owned by the loop
	addresses *pb.Membership                    // last told to the transport; owned by the loop
	counted   replica.Counters                  // already in the metrics; owned by the loop
	known     leaderInfo                        // last leader and term; owned by the loop
	admitted  bool                              // the admission is logged; owned by the loop

	closing   chan struct{}
	closeOnce sync.Once
	done      chan struct{}

	mu            sync.Mutex
	leader        leaderInfo
	leaderChanged chan struct{}
	failure       error
}

// leaderInfo says who leads, as far as this replica knows.
type leaderInfo struct {
	id   uint64
	addr string
	term uint64
	self bool
}

// Open starts the replica that lives in the data folder, or a new one.
func Open(cfg Config, sm StateMachine) (*Server, error) {
	cfg.setDefaults()
	log, state, err := wal.Open(wal.Options{Dir: cfg.DataDir, FS: cfg.FS, NewIdentity: randomNumber})
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
	node, err := replica.New(cfg.node(state.Label), saved, 0)
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg: cfg, log: cfg.Logger.With("replica", cfg.ID), node: node, wal: log, transport: cfg.Transport,
		started: time.Now(),
		inbox:   make(chan *pb.Message, inboxSize), proposals: make(chan *proposal, proposalsSize), calls: make(chan func()),
		reads: map[uint64]chan replica.ReadState{}, closing: make(chan struct{}), done: make(chan struct{}),
		leaderChanged: make(chan struct{}),
	}
	s.applier = newApplier(s, sm, state.Snapshot.GetIndex())
	s.snapshots = newSnapshotWriter(log)
	if s.transport == nil {
		s.transport = newGRPCTransport(s.log, cfg.DialOptions)
	}
	s.log.Info("replica opened", "disk", state.Label.GetIdentity(), "incarnation", state.Label.GetIncarnation(),
		"snapshot", state.Snapshot.GetIndex(), "entries", len(state.Entries))
	s.exportMetrics()
	go s.applier.run()
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

// node returns the settings of the node.
func (c *Config) node(label *pb.DiskLabel) replica.Config {
	return replica.Config{
		ID: c.ID, Addr: c.Addr, Disk: label, Boot: randomNumber(), Peers: c.Peers, Join: c.Join, Voters: c.Voters,
		ElectionTimeout: c.ElectionTimeout, HeartbeatInterval: c.HeartbeatInterval,
		RepairAfter: c.RepairAfter, Trailing: c.Trailing,
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

// Receive hands over a message from another replica. When the replica is
// overloaded the message is lost; the protocol repairs that.
func (s *Server) Receive(message *pb.Message) {
	select {
	case s.inbox <- message:
	default:
	}
}

// Leader returns who leads the term, as far as this replica knows; id is 0 if it
// does not.
func (s *Server) Leader() (id uint64, addr string, term uint64, self bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader.id, s.leader.addr, s.leader.term, s.leader.self
}

// LeaderChanged returns a channel that is closed when the leader or the term
// changes. Take it before calling Leader, so that no change is missed.
func (s *Server) LeaderChanged() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaderChanged
}

// Applied returns the index up to which the state machine is applied.
func (s *Server) Applied() uint64 { return s.applier.index() }

// Done returns a channel that is closed when the replica has stopped, by Close
// or for good because of a failure that Err returns.
func (s *Server) Done() <-chan struct{} { return s.done }

// Err returns the failure that stopped the replica for good, or nil.
func (s *Server) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failure
}

// Status is a view of a replica.
type Status struct {
	replica.Status
	// Applied is the index up to which the state machine is applied.
	Applied uint64
	// Err is the failure that stopped the replica for good, or nil.
	Err error
}

// Status returns a view of the replica.
func (s *Server) Status() Status {
	status := Status{}
	_ = s.call(func() { status.Status = s.node.Status() })
	status.Applied = s.Applied()
	status.Err = s.Err()
	return status
}

// call runs f in the loop.
func (s *Server) call(f func()) error {
	finished := make(chan struct{})
	wrapped := func() {
		f()
		close(finished)
	}
	select {
	case s.calls <- wrapped:
	case <-s.done:
		return s.stopped()
	}
	<-finished
	return nil
}

// stopped returns the error for requests to a stopped replica.
func (s *Server) stopped() error {
	err := fault.New(fault.Unavailable, "this control replica has stopped; nothing was done", "ask another control replica")
	if failure := s.Err(); failure != nil {
		return err.WithCause(failure)
	}
	return err
}

// Close stops the replica. Proposals under way end as unknown. A snapshot that is
// being written is waited for.
func (s *Server) Close() error {
	s.closeOnce.Do(func() { close(s.closing) })
	<-s.done
	return nil
}
