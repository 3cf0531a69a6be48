package replica

import (
	"math/rand/v2"
	"time"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
)

// mayCampaign reports whether this replica is an admitted voter and not the leader.
func (n *Node) mayCampaign() bool {
	return n.role != Leader && n.admission.admitted && isVoter(n.self())
}

// hasActiveLeader reports whether this replica leads, or heard from its leader
// within the last election timeout. It then votes for no other candidate, which
// prevents replicas that were partitioned or removed from deposing a working
// leader.
func (n *Node) hasActiveLeader() bool {
	if n.role == Leader {
		return true
	}
	return n.leader != 0 && n.now-n.lastLeaderContact < n.cfg.ElectionTimeout
}

func (n *Node) resetElectionTimer() {
	minWait := n.minElectionWait()
	n.electionDeadline = n.now + minWait + randomDuration(n.cfg.Rand, minWait)
}

// minElectionWait is the minimum wait for a leader before a campaign. The election
// timeout applies to a leader that this replica has heard from since its start and
// that may be slow. Otherwise the replica waits only as long as the heartbeat of a
// working leader takes to arrive: after a restart of all replicas there is no
// leader to wait for. If there is a leader after all, the pre-vote protects it from
// being deposed.
func (n *Node) minElectionWait() time.Duration {
	if n.leaderSeen {
		return n.cfg.ElectionTimeout
	}
	return min(initialHeartbeatIntervals*n.cfg.HeartbeatInterval, n.cfg.ElectionTimeout)
}

func randomDuration(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit)))
}

// becomeFollower enters term as a follower of leader, which is 0 if it is not
// known.
func (n *Node) becomeFollower(term, leader uint64) {
	if term > n.term {
		n.term = term
		n.vote = 0
		n.hardStateDirty = true
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
	n.hardStateDirty = true
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

// countVotes counts the voters that gave this answer.
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
	granted := m.GetTerm() > n.term && !n.hasActiveLeader() && candidate.atLeast(n.log.last())
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
	canVote := n.vote == m.GetFrom() || n.vote == 0 && n.leader == 0
	granted := canVote && candidate.atLeast(n.log.last())
	if granted && n.vote == 0 {
		n.vote = m.GetFrom()
		n.hardStateDirty = true
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

// becomeLeader starts the term with an empty entry, because a leader cannot commit
// entries of earlier terms before one of its own term.
func (n *Node) becomeLeader() {
	n.role = Leader
	n.votes = nil
	n.setLeader(n.cfg.ID)
	n.progress = map[uint64]*progress{}
	n.updateProgress()
	n.nextHeartbeat, n.nextNotice = n.now, n.now
	n.propose(&pb.Entry{Kind: pb.EntryKind_ENTRY_KIND_NOOP})
	n.tickLeader()
}

// tickLeader steps down if there is no active quorum, and sends heartbeats when
// they are due.
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
	// Promotion does not depend on nextHeartbeat, because frequent read rounds can
	// postpone it indefinitely.
	n.promoteCaughtUp()
	n.replaceUnresponsiveVoter()
	n.notifyRemoved()
}

// activeVoters counts the voters of membership that responded within the last
// election timeout, including the leader itself.
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
	return pr != nil && n.now-pr.lastResponse < n.cfg.ElectionTimeout
}
