package replica

import (
	"time"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// Role is the Raft role of a node in its current term.
type Role string

// The roles of a node.
const (
	Follower     Role = "follower"
	PreCandidate Role = "pre-candidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

// Node is the state machine of one replica. It is not safe for concurrent use.
type Node struct {
	cfg  Config
	now  time.Duration
	role Role

	term   uint64
	vote   uint64
	leader uint64
	log    entryLog

	members membershipHistory
	// discovered is the last leader that sent messages to this replica.
	discovered       discoveredLeader
	contacts         map[uint64]contact
	peersVersion     uint64
	snapshot         *pb.Snapshot
	receivedSnapshot *pb.Snapshot // received from the leader, not yet persisted
	witnesses        map[uint64]*pb.Witness
	admission        admission
	bootstrap        bootstrap
	fenced           error

	lastLeaderContact time.Duration
	leaderSeen        bool // a message from a leader arrived since the start
	electionDeadline  time.Duration
	votes             map[uint64]bool

	progress      map[uint64]*progress
	nextHeartbeat time.Duration
	nextNotice    time.Duration
	transfer      transfer
	reads         readQueue

	counters       Counters
	early          []*pb.Message
	messages       []*pb.Message
	hardStateDirty bool // the hard state must be synced before messages are sent
}

// New returns a node that continues from the saved state.
func New(cfg Config, saved Saved, now time.Duration) (*Node, error) {
	cfg.setDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, now: now, role: Follower, witnesses: map[uint64]*pb.Witness{}, contacts: map[uint64]contact{}}
	n.lastLeaderContact = now - cfg.ElectionTimeout
	n.reads.next = cfg.Boot
	n.reads.forwarded = map[uint64]bool{}
	n.restore(saved)
	n.admission = admission{started: now, agreed: map[uint64]uint64{}, lostDisks: map[uint64]bool{}}
	n.bootstrap = bootstrap{seenDisks: map[uint64]uint64{}, blankVoters: map[uint64]*pb.Message{}}
	n.resetElectionTimer()
	n.checkAdmission()
	return n, nil
}

// restore initializes the node from the persisted state.
func (n *Node) restore(saved Saved) {
	if snapshot := saved.Snapshot; snapshot != nil {
		n.snapshot = snapshot
		n.log.reset(position{snapshot.GetIndex(), snapshot.GetTerm()})
		n.members = membershipHistory{{snapshot.GetMembershipIndex(), snapshot.GetMembership()}}
	}
	for _, witness := range saved.HardState.GetWitnesses() {
		n.witnesses[witness.GetDisk()] = copyWitness(witness)
	}
	for _, entry := range saved.Entries {
		n.appendEntry(entry)
	}
	n.log.persisted = n.log.last().index
	n.term = max(saved.HardState.GetTerm(), n.log.last().term)
	n.vote = saved.HardState.GetVote()
	n.log.committed = max(n.log.committed, min(saved.HardState.GetCommit(), n.log.last().index))
	n.hardStateDirty = false
}

// Step handles a message from another replica.
func (n *Node) Step(now time.Duration, m *pb.Message) {
	n.now = max(n.now, now)
	if n.fenced != nil || !wellFormed(m) || m.GetTo() != n.cfg.ID || m.GetFrom() == n.cfg.ID {
		return
	}
	if m.GetToDisk() != 0 && m.GetToDisk() != n.cfg.Disk.GetIdentity() {
		return
	}
	if m.GetCluster() != 0 && n.cluster() != 0 && m.GetCluster() != n.cluster() {
		return
	}
	if n.stepDiskMessage(m) || !n.checkSender(m) {
		return
	}
	n.recordWitnessTerm(m)
	if m.GetTerm() > n.term && !n.handleHigherTerm(m) {
		return
	}
	if m.GetTerm() < n.term && m.GetKind() != pb.MessageKind_MESSAGE_KIND_PRE_VOTE_RESPONSE {
		n.rejectLowerTerm(m)
		return
	}
	n.recordLeaderAddr(m)
	n.dispatch(m)
}

// handleHigherTerm reacts to a message of a higher term. It returns false if the
// message is to be ignored.
func (n *Node) handleHigherTerm(m *pb.Message) bool {
	switch m.GetKind() {
	case pb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		return true
	case pb.MessageKind_MESSAGE_KIND_VOTE:
		if n.hasActiveLeader() && !m.GetForce() {
			return false
		}
		n.becomeFollower(m.GetTerm(), 0)
	case pb.MessageKind_MESSAGE_KIND_APPEND, pb.MessageKind_MESSAGE_KIND_HEARTBEAT, pb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		n.becomeFollower(m.GetTerm(), m.GetFrom())
	default:
		n.becomeFollower(m.GetTerm(), 0)
	}
	return true
}

// rejectLowerTerm answers a request of an earlier term, so that its sender learns
// the current one.
func (n *Node) rejectLowerTerm(m *pb.Message) {
	switch m.GetKind() {
	case pb.MessageKind_MESSAGE_KIND_APPEND, pb.MessageKind_MESSAGE_KIND_HEARTBEAT, pb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		n.send(&pb.Message{Kind: pb.MessageKind_MESSAGE_KIND_APPEND_RESPONSE, To: m.GetFrom(), Reject: true})
	case pb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		n.send(&pb.Message{Kind: pb.MessageKind_MESSAGE_KIND_PRE_VOTE_RESPONSE, To: m.GetFrom(), Echo: m.GetTerm(), Reject: true})
	case pb.MessageKind_MESSAGE_KIND_VOTE:
		n.send(&pb.Message{Kind: pb.MessageKind_MESSAGE_KIND_VOTE_RESPONSE, To: m.GetFrom(), Reject: true})
	}
}

// dispatch handles a message of the current term.
func (n *Node) dispatch(m *pb.Message) {
	switch m.GetKind() {
	case pb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		n.handlePreVote(m)
	case pb.MessageKind_MESSAGE_KIND_PRE_VOTE_RESPONSE:
		n.handlePreVoteResponse(m)
	case pb.MessageKind_MESSAGE_KIND_VOTE:
		n.handleVote(m)
	case pb.MessageKind_MESSAGE_KIND_VOTE_RESPONSE:
		n.handleVoteResponse(m)
	case pb.MessageKind_MESSAGE_KIND_APPEND:
		n.handleAppend(m)
	case pb.MessageKind_MESSAGE_KIND_APPEND_RESPONSE:
		n.handleAppendResponse(m)
	case pb.MessageKind_MESSAGE_KIND_HEARTBEAT:
		n.handleHeartbeat(m)
	case pb.MessageKind_MESSAGE_KIND_HEARTBEAT_RESPONSE:
		n.handleHeartbeatResponse(m)
	case pb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		n.handleSnapshot(m)
	case pb.MessageKind_MESSAGE_KIND_READ_INDEX:
		n.handleReadIndex(m)
	case pb.MessageKind_MESSAGE_KIND_READ_INDEX_RESPONSE:
		n.handleReadIndexResponse(m)
	case pb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW:
		n.handleTimeoutNow(m)
	}
}

// Tick advances the time of the node. Call it at least once per heartbeat interval.
func (n *Node) Tick(now time.Duration) {
	n.now = max(n.now, now)
	if n.fenced != nil {
		return
	}
	n.tickRegistration()
	n.dropExpiredContacts()
	switch {
	case n.role == Leader:
		n.tickLeader()
	case n.mayCampaign() && n.now >= n.electionDeadline:
		n.campaign(false)
	}
}

// Propose appends a command to the leader's log and returns its index and term. The
// command is committed when an entry with this index and term is applied. If the
// entry applied at this index has another term, the command will never be
// committed.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if err := n.mayPropose(); err != nil {
		return 0, 0, err
	}
	entry := &pb.Entry{Kind: pb.EntryKind_ENTRY_KIND_DATA, Data: data}
	n.propose(entry)
	return entry.GetIndex(), entry.GetTerm(), nil
}

func (n *Node) mayPropose() error {
	if n.fenced != nil {
		return n.fenced
	}
	if n.role != Leader || n.transfer.target != 0 {
		return n.notLeader()
	}
	return nil
}

// notLeader returns the error for operations that only the leader can perform.
func (n *Node) notLeader() error {
	if n.leader == 0 {
		return fault.New(fault.NoQuorum, "this control replica knows no leader",
			"retry after an election timeout; nothing was done").RetryIn(n.cfg.ElectionTimeout)
	}
	return fault.Newf(fault.NotLeader, "send the request to the leader; nothing was done",
		"control replica %d is not the leader, %d is", n.cfg.ID, n.leader)
}

// propose assigns the next index and the current term to an entry and appends it to
// the leader's log.
func (n *Node) propose(entry *pb.Entry) {
	entry.Index = n.log.last().index + 1
	entry.Term = n.term
	n.appendEntry(entry)
}

// appendEntry adds an entry at the end of the log. A membership takes effect as
// soon as it is appended.
func (n *Node) appendEntry(entry *pb.Entry) {
	n.log.append(entry)
	if entry.GetKind() == pb.EntryKind_ENTRY_KIND_MEMBERSHIP {
		n.members = append(n.members, indexedMembership{entry.GetIndex(), entry.GetMembership()})
		n.membershipChanged()
	}
}

// membershipChanged updates the state that depends on the membership.
func (n *Node) membershipChanged() {
	n.peersVersion++
	for _, member := range n.members.current().GetMembers() {
		n.ensureWitness(member)
	}
	if n.role == Leader {
		n.updateProgress()
	}
	if n.admission.agreed != nil {
		n.checkAdmission()
	}
}

func (n *Node) cluster() uint64 { return n.members.current().GetCluster() }

// self returns the membership entry for this replica's disk, or nil.
func (n *Node) self() *pb.Member {
	member := FindMember(n.members.current(), n.cfg.ID)
	if member.GetDisk() != n.cfg.Disk.GetIdentity() {
		return nil
	}
	return member
}

// send queues a message that must not be sent before the pending state is
// persisted.
func (n *Node) send(m *pb.Message) {
	n.messages = append(n.messages, n.setSender(m))
}

// sendEarly queues a message that makes no promise about what the sender has stored
// and may be sent before anything is persisted.
func (n *Node) sendEarly(m *pb.Message) {
	n.early = append(n.early, n.setSender(m))
}

// setSender fills in the sender's identity and, unless it is set, the term.
func (n *Node) setSender(m *pb.Message) *pb.Message {
	m.From = n.cfg.ID
	m.Cluster = n.cluster()
	m.Disk = n.cfg.Disk.GetIdentity()
	m.Incarnation = n.cfg.Disk.GetIncarnation()
	m.Boot = n.cfg.Boot
	if m.GetTerm() == 0 {
		m.Term = n.term
	}
	if fromLeader(m.GetKind()) {
		m.Addr = n.cfg.Addr
	}
	return m
}
