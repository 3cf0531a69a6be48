package replica

import (
	pb "github.com/lilackeel/lilackeel/api/replica/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// followLeader notes that the leader of the current term was heard.
func (n *Node) followLeader(leader uint64) {
	if n.role != Follower || n.leader != leader {
		n.becomeFollower(n.term, leader)
	}
	n.heardLeader, n.heard = n.now, true
	n.resetElectionTimer()
}

func (n *Node) handleAppend(m *pb.Message) {
	n.followLeader(m.GetFrom())
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

// mergeEntries appends what is new and drops what conflicts with it.
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

// truncate drops the entries from index on. Committed entries never conflict
// with those of a leader; should they, the replica stops rather than lose one.
func (n *Node) truncate(index uint64) bool {
	if index <= n.log.committed {
		n.fence(fault.Newf(fault.Internal, "keep the data folders of all control replicas and report the defect",
			"replica %d: a leader of term %d would overwrite committed entry %d", n.cfg.ID, n.term, index))
		return false
	}
	n.log.truncate(index)
	n.members = n.members.truncate(index)
	return true
}

// acknowledge promises that the entries up to match are durable here.
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
	pr.heard = n.now
	pr.inflight = max(pr.inflight-1, 0)
	if m.GetReject() {
		n.handleReject(pr, m)
		return
	}
	match := min(m.GetLogIndex(), n.log.last().index)
	pr.match = max(pr.match, match)
	n.witnessMatch(m.GetDisk(), pr.match)
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
	n.finishTransfer()
}

// handleReject moves back to where the logs may agree.
func (n *Node) handleReject(pr *progress, m *pb.Message) {
	rejected := m.GetLogIndex()
	if rejected <= pr.match || pr.probing && rejected != pr.next-1 {
		return
	}
	hint := n.log.conflictHint(m.GetHint(), m.GetLogTerm())
	pr.probe()
	pr.next = max(pr.match+1, min(hint+1, rejected))
}

// sendHeartbeats tells all members that the leader is alive, which read round
// it is in and how far the log was sent.
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
	n.followLeader(m.GetFrom())
	if commit := min(m.GetCommit(), n.log.last().index); commit > n.log.committed {
		n.setCommitted(commit)
	}
	n.send(&pb.Message{
		Kind: pb.MessageKind_MESSAGE_KIND_HEARTBEAT_RESPONSE, To: m.GetFrom(), ToDisk: m.GetDisk(),
		Echo: m.GetEcho(), Hint: m.GetLogIndex(),
	})
}

// handleHeartbeatResponse notes the read round. What was sent before the
// heartbeat should have been acknowledged before the response: if not, a message
// was lost and the member is probed again.
func (n *Node) handleHeartbeatResponse(m *pb.Message) {
	pr := n.progress[m.GetFrom()]
	if n.role != Leader || pr == nil {
		return
	}
	pr.heard = n.now
	pr.round = max(pr.round, m.GetEcho())
	n.releaseReads()
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
	n.followLeader(m.GetFrom())
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
	n.members = memberships{{snapshot.GetMembershipIndex(), snapshot.GetMembership()}}
	n.snapshot = snapshot
	n.incoming = snapshot
	n.membershipChanged()
	n.forgetDisks()
	n.acknowledge(m, index)
}

// MembershipAt returns the membership in force at index, which must be applied,
// and the index of the entry that set it, for a snapshot.
func (n *Node) MembershipAt(index uint64) (*pb.Membership, uint64) {
	placed := n.members.at(index)
	return placed.membership, placed.index
}

// TermAt returns the term of the entry at index, or 0 if the log does not hold
// it any more.
func (n *Node) TermAt(index uint64) uint64 {
	term, _ := n.log.term(index)
	return term
}

// Compact drops the entries that a durable snapshot replaces, except for a
// trailing part.
func (n *Node) Compact(snapshot *pb.Snapshot) {
	if snapshot.GetIndex() <= n.snapshot.GetIndex() {
		return
	}
	n.snapshot = snapshot
	if snapshot.GetIndex() > n.cfg.TrailingEntries {
		n.log.compact(snapshot.GetIndex() - n.cfg.TrailingEntries)
	}
	n.members = n.members.forget(n.log.base.index)
}
