package replica

import (
	"time"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
)

// progress is the leader's view of the log of another member.
type progress struct {
	disk uint64
	// match is the highest index known to be durable at the member.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// probing limits the leader to one append at a time until one is accepted.
	probing   bool
	probeSent bool
	// inflight is the number of unacknowledged append messages.
	inflight int
	// snapshot is the index of the snapshot being sent; 0 for none.
	snapshot     uint64
	snapshotSent time.Duration
	// sentCommit is the highest commit index sent.
	sentCommit uint64
	// lastResponse is when the member last responded.
	lastResponse time.Duration
	// readRound is the last read round that the member answered.
	readRound uint64
}

// probe restarts replication after match, one append at a time.
func (p *progress) probe() {
	p.next = p.match + 1
	p.probing = true
	p.probeSent = false
	p.inflight = 0
	p.snapshot = 0
	p.sentCommit = 0
}

// paused reports whether the leader must wait for a response before it sends more.
func (p *progress) paused(maxInflight int) bool {
	if p.probing {
		return p.probeSent
	}
	return p.snapshot != 0 || p.inflight >= maxInflight
}

// updateProgress adds and removes progress entries to match the membership.
func (n *Node) updateProgress() {
	current := n.members.current()
	for id := range n.progress {
		if FindMember(current, id) == nil {
			delete(n.progress, id)
		}
	}
	for _, member := range current.GetMembers() {
		id := member.GetId()
		known := n.progress[id]
		if id == n.cfg.ID || known != nil && known.disk == member.GetDisk() {
			continue
		}
		n.progress[id] = n.newProgress(member)
	}
}

func (n *Node) newProgress(member *pb.Member) *progress {
	return &progress{
		disk: member.GetDisk(), next: n.log.last().index + 1, probing: true, lastResponse: n.now,
	}
}

// flushAppends sends each member the entries that it lacks.
func (n *Node) flushAppends() {
	for _, member := range n.members.current().GetMembers() {
		pr := n.progress[member.GetId()]
		if pr == nil || member.GetDisk() == 0 {
			continue
		}
		for n.sendAppend(member, pr) {
		}
	}
}

// sendAppend sends one append message or snapshot and reports whether another
// append may follow.
func (n *Node) sendAppend(member *pb.Member, pr *progress) bool {
	if pr.paused(n.cfg.MaxInflight) {
		return false
	}
	previous, ok := n.log.term(pr.next - 1)
	if !ok {
		n.sendSnapshot(member, pr)
		return false
	}
	entries := n.log.entriesFrom(pr.next, n.cfg.MaxAppendBytes)
	if len(entries) == 0 && !pr.probing && pr.sentCommit >= n.log.committed {
		return false
	}
	n.sendEarly(&pb.Message{
		Kind: pb.MessageKind_MESSAGE_KIND_APPEND, To: member.GetId(), ToDisk: member.GetDisk(),
		LogIndex: pr.next - 1, LogTerm: previous, Entries: entries, Commit: n.log.committed,
	})
	pr.sentCommit = n.log.committed
	if pr.probing {
		pr.probeSent = true
		return false
	}
	pr.inflight++
	pr.next += uint64(len(entries))
	return true
}

func (n *Node) sendSnapshot(member *pb.Member, pr *progress) {
	pr.probing = false
	pr.snapshot = n.snapshot.GetIndex()
	pr.snapshotSent = n.now
	n.sendEarly(&pb.Message{
		Kind: pb.MessageKind_MESSAGE_KIND_SNAPSHOT, To: member.GetId(), ToDisk: member.GetDisk(),
		Snapshot: n.snapshot, Commit: n.log.committed,
	})
}

// advanceCommit commits the entries that a quorum of voters has stored.
func (n *Node) advanceCommit() {
	candidate := n.quorumIndex()
	term, ok := n.log.term(candidate)
	if candidate <= n.log.committed || !ok || term != n.term {
		return
	}
	n.setCommitted(candidate)
}

// quorumIndex returns the highest index that a quorum of voters has stored.
func (n *Node) quorumIndex() uint64 {
	all := voters(n.members.current())
	best := uint64(0)
	for _, candidate := range all {
		index := n.matchIndex(candidate)
		count := 0
		for _, member := range all {
			if n.matchIndex(member) >= index {
				count++
			}
		}
		if count >= quorum(n.members.current()) {
			best = max(best, index)
		}
	}
	return best
}

func (n *Node) matchIndex(member *pb.Member) uint64 {
	if member.GetId() == n.cfg.ID {
		return n.log.persisted
	}
	if pr := n.progress[member.GetId()]; pr != nil {
		return pr.match
	}
	return 0
}

// setCommitted raises the commit index and handles a membership that it commits.
func (n *Node) setCommitted(index uint64) {
	before := n.log.committed
	n.log.committed = index
	membershipIndex := n.members.index()
	if membershipIndex > before && membershipIndex <= index {
		n.dropStaleWitnesses()
	}
	if n.role != Leader {
		return
	}
	n.releaseDeferredReads()
	if membershipIndex <= index && !isVoter(n.self()) {
		n.becomeFollower(n.term, 0)
	}
}
