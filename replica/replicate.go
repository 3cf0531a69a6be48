package replica

import (
	pb "github.com/lilackeel/lilackeel/api/replica/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// recordLeaderContact registers a message from the leader of the current term.
func (n *Node) recordLeaderContact(leader uint64) {
	if n.role != Follower || n.leader != leader {
		n.becomeFollower(n.term, leader)
	}
	n.lastLeaderContact, n.leaderSeen = n.now, true
	n.resetElectionTimer()
}

func (n *Node) handleAppend(m *pb.Message) {
	n.recordLeaderContact(m.GetFrom())
	if m.GetLogIndex() < n.log.committed {
		n.acknowledge(m, n.log.committed)
		return
	}
	term, ok := n.log.term(m.GetLogIndex())
	if !ok || term != m.GetLogTerm() {
		n.rejectAppend(m)
		return
	}
	if !n.mergeEntries(m.GetEntries()) {
		return
	}
	last := m.GetLogIndex() + uint64(len(m.GetEntries()))
	if commit := min(m.GetCommit(), last); commit > n.log.committed {
		n.setCommitted(commit)
	}
	n.acknowledge(m, last)
}

// mergeEntries appends new entries and truncates the log where it conflicts with
// them.
func (n *Node) mergeEntries(entries []*pb.Entry) bool {
	for _, entry := range entries {
		term, ok := n.log.term(entry.GetIndex())
		if ok && term == entry.GetTerm() {
			continue
		}
		if ok && !n.truncate(entry.GetIndex()) {
			return false
		}
		n.appendEntry(entry)
	}
	return true
}

// truncate removes the entries from index on. Committed entries never conflict with
// those of a leader; if they do, the replica stops rather than lose one.
func (n *Node) truncate(index uint64) bool {
	if index <= n.log.committed {
		n.fence(fault.Newf(fault.Internal, "keep the data directories of all control replicas and report the defect",
			"replica %d: a leader of term %d would overwrite committed entry %d", n.cfg.ID, n.term, index))
		return false
	}
	n.log.truncate(index)
	n.members = n.members.truncate(index)
	n.peersVersion++
	return true
}

// acknowledge confirms that the entries up to match are durable here.
func (n *Node) acknowledge(m *pb.Message, match uint64) {
	n.send(&pb.Message{
		Kind: pb.MessageKind_MESSAGE_KIND_APPEND_RESPONSE, To: m.GetFrom(), ToDisk: m.GetDisk(), LogIndex: match,
	})
}

func (n *Node) rejectAppend(m *pb.Message) {
	hint := n.log.conflictHint(m.GetLogIndex(), m.GetLogTerm())
	term, _ := n.log.term(hint)
	n.send(&pb.Message{
		Kind: pb.MessageKind_MESSAGE_KIND_APPEND_RESPONSE, To: m.GetFrom(), ToDisk: m.GetDisk(),
		LogIndex: m.GetLogIndex(), Reject: true, Hint: hint, LogTerm: term,
	})
}

func (n *Node) handleAppendResponse(m *pb.Message) {
	pr := n.progress[m.GetFrom()]
	if n.role != Leader || pr == nil {
		return
	}
	pr.lastResponse = n.now
	pr.inflight = max(pr.inflight-1, 0)
	if m.GetReject() {
		n.handleReject(pr, m)
		return
	}
	match := min(m.GetLogIndex(), n.log.last().index)
	pr.match = max(pr.match, match)
	n.recordWitnessMatch(m.GetDisk(), pr.match)
	if pr.snapshot != 0 && pr.match >= pr.snapshot {
		pr.probe()
	}
	if pr.probing && match >= pr.next-1 {
		pr.probing = false
		pr.probeSent = false
		pr.inflight = 0
	}
	pr.next = max(pr.next, pr.match+1)
	n.advanceCommit()
	n.maybeSendTimeoutNow()
}

// handleReject moves next back to where the two logs may match.
func (n *Node) handleReject(pr *progress, m *pb.Message) {
	rejected := m.GetLogIndex()
	if rejected <= pr.match || pr.probing && rejected != pr.next-1 {
		return
	}
	hint := n.log.conflictHint(m.GetHint(), m.GetLogTerm())
	pr.probe()
	pr.next = max(pr.match+1, min(hint+1, rejected))
}

// sendHeartbeats sends each member the current read round and the index up to which
// the log was sent to it.
func (n *Node) sendHeartbeats() {
	for _, member := range n.members.current().GetMembers() {
		pr := n.progress[member.GetId()]
		if pr == nil || member.GetDisk() == 0 {
			continue
		}
		n.sendEarly(&pb.Message{
			Kind: pb.MessageKind_MESSAGE_KIND_HEARTBEAT, To: member.GetId(), ToDisk: member.GetDisk(),
			LogIndex: pr.next - 1, Commit: min(pr.match, n.log.committed), Echo: n.reads.round,
		})
	}
}

func (n *Node) handleHeartbeat(m *pb.Message) {
	n.recordLeaderContact(m.GetFrom())
	if commit := min(m.GetCommit(), n.log.last().index); commit > n.log.committed {
		n.setCommitted(commit)
	}
	n.send(&pb.Message{
		Kind: pb.MessageKind_MESSAGE_KIND_HEARTBEAT_RESPONSE, To: m.GetFrom(), ToDisk: m.GetDisk(),
		Echo: m.GetEcho(), Hint: m.GetLogIndex(),
	})
}

// handleHeartbeatResponse records the read round. Appends sent before the heartbeat
// should have been acknowledged before this response. If they were not, a message
// was lost and the member is probed again.
func (n *Node) handleHeartbeatResponse(m *pb.Message) {
	pr := n.progress[m.GetFrom()]
	if n.role != Leader || pr == nil {
		return
	}
	pr.lastResponse = n.now
	pr.readRound = max(pr.readRound, m.GetEcho())
	n.answerConfirmedReads()
	if pr.snapshot != 0 {
		if n.now-pr.snapshotSent >= n.cfg.ElectionTimeout {
			pr.probe()
		}
		return
	}
	if pr.probing {
		pr.probeSent = false
		return
	}
	if pr.match < m.GetHint() {
		pr.probe()
		return
	}
	pr.inflight = 0
}

func (n *Node) handleSnapshot(m *pb.Message) {
	n.recordLeaderContact(m.GetFrom())
	snapshot := m.GetSnapshot()
	index := snapshot.GetIndex()
	if index <= n.log.committed {
		n.acknowledge(m, n.log.committed)
		return
	}
	if term, ok := n.log.term(index); ok && term == snapshot.GetTerm() {
		n.setCommitted(index)
		n.acknowledge(m, index)
		return
	}
	n.log.reset(position{index, snapshot.GetTerm()})
	n.members = membershipHistory{{snapshot.GetMembershipIndex(), snapshot.GetMembership()}}
	n.snapshot = snapshot
	n.receivedSnapshot = snapshot
	n.membershipChanged()
	n.dropStaleWitnesses()
	n.acknowledge(m, index)
}

// MembershipAt returns the membership in force at index, and the index of the entry
// that set it, for a snapshot. The entry at index must have been applied.
func (n *Node) MembershipAt(index uint64) (*pb.Membership, uint64) {
	inForce := n.members.at(index)
	return inForce.membership, inForce.index
}

// TermAt returns the term of the entry at index, or 0 if the entry has been
// compacted.
func (n *Node) TermAt(index uint64) uint64 {
	term, _ := n.log.term(index)
	return term
}

// Compact removes the entries covered by a durable snapshot, except for the last
// ones up to Config.TrailingEntries and Config.TrailingBytes.
func (n *Node) Compact(snapshot *pb.Snapshot) {
	if snapshot.GetIndex() <= n.snapshot.GetIndex() {
		return
	}
	n.snapshot = snapshot
	n.log.compact(n.log.beforeTrailing(snapshot.GetIndex(), n.cfg.TrailingEntries, n.cfg.TrailingBytes))
	n.members = n.members.compact(n.log.base.index)
}
