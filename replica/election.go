package replica

import (
	"math/rand/v2"
	"time"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
)

// mayCampaign reports whether this replica is a voter that was admitted.
func (n *Node) mayCampaign() bool {
	return n.role != Leader && n.admission.admitted && isVoter(n.self())
}

// sticky reports whether a leader was heard of so recently that no vote for
// another one is given, which keeps a replica that was cut off, or removed, from
// disturbing a working leader.
func (n *Node) sticky() bool {
	if n.role == Leader {
		return true
	}
	return n.leader != 0 && n.now-n.heardLeader < n.cfg.ElectionTimeout
}

func (n *Node) resetElectionTimer() {
	patience := n.patience()
	n.electionDeadline = n.now + patience + randomDuration(n.cfg.Rand, patience)
}

// patience is the least wait for a leader before a campaign. The election timeout
// is for a leader that was heard and may be slow. A start that has heard of none
// waits only as long as the heartbeats of a working one would take to arrive: after
// a restart of all replicas there is nobody to wait for. Where there is a leader
// after all, the pre-vote keeps it from being disturbed.
func (n *Node) patience() time.Duration {
	if n.heard {
		return n.cfg.ElectionTimeout
	}
	return min(firstHeartbeats*n.cfg.HeartbeatInterval, n.cfg.ElectionTimeout)
}

func randomDuration(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit)))
}

// becomeFollower enters term, with leader or 0 if it is not known.
func (n *Node) becomeFollower(term, leader uint64) {
	if term > n.term {
		n.term = term
		n.vote = 0
		n.hardDirty = true
	}
	wasLeader := n.role == Leader
	n.role = Follower
	n.votes = nil
	n.setLeader(leader)
	if wasLeader {
		n.progress = nil
		n.transfer = transfer{}
		n.failReads()
	}
	n.resetElectionTimer()
}

func (n *Node) setLeader(leader uint64) {
	if leader == n.leader {
		return
	}
	n.leader = leader
	n.failForwardedReads()
}

// campaign starts an election: a pre-vote, or with force the vote itself.
func (n *Node) campaign(force bool) {
	n.resetElectionTimer()
	n.setLeader(0)
	n.votes = map[uint64]bool{n.cfg.ID: true}
	if force {
		n.startVote(true)
		return
	}
	n.role = PreCandidate
	n.counters.PreVotes++
	if n.countVotes(true) >= quorum(n.members.current()) {
		n.startVote(false)
		return
	}
	n.requestVotes(pb.MessageKind_MESSAGE_KIND_PRE_VOTE, n.term+1, false)
}

// startVote enters the next term as a candidate.
func (n *Node) startVote(force bool) {
	n.role = Candidate
	n.counters.Votes++
	n.term++
	n.vote = n.cfg.ID
	n.hardDirty = true
	n.votes = map[uint64]bool{n.cfg.ID: true}
	n.resetElectionTimer()
	if n.countVotes(true) >= quorum(n.members.current()) {
		n.becomeLeader()
		return
	}
	n.requestVotes(pb.MessageKind_MESSAGE_KIND_VOTE, n.term, force)
}

func (n *Node) requestVotes(kind pb.MessageKind, term uint64, force bool) {
	last := n.log.last()
	for _, member := range voters(n.members.current()) {
		if member.GetId() == n.cfg.ID {
			continue
		}
		n.send(&pb.Message{
			Kind: kind, To: member.GetId(), ToDisk: member.GetDisk(), Term: term,
			LogIndex: last.index, LogTerm: last.term, Force: force,
		})
	}
}

// countVotes counts the voters that gave the given answer.
func (n *Node) countVotes(granted bool) int {
	count := 0
	for _, member := range voters(n.members.current()) {
		if answer, ok := n.votes[member.GetId()]; ok && answer == granted {
			count++
		}
	}
	return count
}

func (n *Node) handlePreVote(m *pb.Message) {
	candidate := position{m.GetLogIndex(), m.GetLogTerm()}
	granted := m.GetTerm() > n.term && !n.sticky() && candidate.atLeast(n.log.last())
	n.send(&pb.Message{
		Kind: pb.MessageKind_MESSAGE_KIND_PRE_VOTE_RESPONSE, To: m.GetFrom(), ToDisk: m.GetDisk(),
		Echo: m.GetTerm(), Reject: !granted,
	})
}

func (n *Node) handlePreVoteResponse(m *pb.Message) {
	if n.role != PreCandidate || m.GetEcho() != n.term+1 {
		return
	}
	n.votes[m.GetFrom()] = !m.GetReject()
	switch need := quorum(n.members.current()); {
	case n.countVotes(true) >= need:
		n.startVote(false)
	case n.countVotes(false) >= need:
		n.becomeFollower(n.term, 0)
	}
}

func (n *Node) handleVote(m *pb.Message) {
	candidate := position{m.GetLogIndex(), m.GetLogTerm()}
	free := n.vote == m.GetFrom() || n.vote == 0 && n.leader == 0
	granted := free && candidate.atLeast(n.log.last())
	if granted && n.vote == 0 {
		n.vote = m.GetFrom()
		n.hardDirty = true
		n.resetElectionTimer()
	}
	n.send(&pb.Message{
		Kind: pb.MessageKind_MESSAGE_KIND_VOTE_RESPONSE, To: m.GetFrom(), ToDisk: m.GetDisk(), Reject: !granted,
	})
}

func (n *Node) handleVoteResponse(m *pb.Message) {
	if n.role != Candidate {
		return
	}
	n.votes[m.GetFrom()] = !m.GetReject()
	switch need := quorum(n.members.current()); {
	case n.countVotes(true) >= need:
		n.becomeLeader()
	case n.countVotes(false) >= need:
		n.becomeFollower(n.term, 0)
	}
}

// becomeLeader opens the term with an empty entry, without which entries of
// earlier terms could not be committed.
func (n *Node) becomeLeader() {
	n.role = Leader
	n.votes = nil
	n.setLeader(n.cfg.ID)
	n.progress = map[uint64]*progress{}
	n.updateProgress()
	n.nextHeartbeat = n.now
	n.propose(&pb.Entry{Kind: pb.EntryKind_ENTRY_KIND_NOOP})
	n.tickLeader()
}

// tickLeader steps down without a quorum and sends heartbeats.
func (n *Node) tickLeader() {
	if n.activeVoters(n.members.current()) < quorum(n.members.current()) {
		n.becomeFollower(n.term, 0)
		return
	}
	n.tickTransfer()
	if n.now >= n.nextHeartbeat {
		n.nextHeartbeat = n.now + n.cfg.HeartbeatInterval
		n.sendHeartbeats()
	}
	// Rounds of reads put the next heartbeat off, but must not the promotion.
	n.promoteCaughtUp()
	n.useReserve()
}

// activeVoters counts the voters of membership heard of within an election
// timeout, the leader included.
func (n *Node) activeVoters(membership *pb.Membership) int {
	count := 0
	for _, member := range voters(membership) {
		if member.GetId() == n.cfg.ID || n.isActive(member.GetId()) {
			count++
		}
	}
	return count
}

func (n *Node) isActive(id uint64) bool {
	pr := n.progress[id]
	return pr != nil && n.now-pr.heard < n.cfg.ElectionTimeout
}
