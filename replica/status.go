package replica

import (
	pb "github.com/lilackeel/lilackeel/api/replica/v1"
)

// Status is a snapshot of a node's state for operators and tests.
type Status struct {
	// ID identifies the replica in the membership.
	ID uint64
	// Role is the role of the replica in Term.
	Role Role
	// Term is the highest term that the replica has seen.
	Term uint64
	// Leader is the id of the leader of Term, or 0 if it is not known.
	Leader uint64
	// Admitted reports whether the replica may vote and acknowledge since its last
	// start.
	Admitted bool
	// Voter reports whether the membership in force names this disk as a voter.
	Voter bool
	// Disk is the label of the data directory.
	Disk *pb.DiskLabel
	// Commit is the highest index known to be committed.
	Commit uint64
	// First and Last are the indexes of the first and the last entry in the log.
	// First is Last+1 if the log is empty.
	First, Last uint64
	// Snapshot is the index of the latest snapshot, which is sent to members whose
	// next entry has been compacted; 0 for none.
	Snapshot uint64
	// Membership is the one in force. It must not be modified.
	Membership *pb.Membership
	// MembershipCommitted is false while a membership change is in progress.
	MembershipCommitted bool
	// Progress is the leader's view of the other members; empty on other replicas.
	Progress map[uint64]MemberProgress
}

// MemberProgress is the leader's view of another member.
type MemberProgress struct {
	// Match is the highest index known to be durable at the member.
	Match uint64
	// Active reports whether the member has responded within an election timeout.
	Active bool
}

// Admitted reports whether this replica may vote and acknowledge since its last
// start.
func (n *Node) Admitted() bool { return n.admission.admitted }

// Status returns a snapshot of the node's state.
func (n *Node) Status() Status {
	status := Status{
		ID: n.cfg.ID, Role: n.role, Term: n.term, Leader: n.leader,
		Admitted: n.admission.admitted, Voter: isVoter(n.self()), Disk: n.cfg.Disk,
		Commit: n.log.committed, Last: n.log.last().index, First: n.log.base.index + 1,
		Snapshot:   n.snapshot.GetIndex(),
		Membership: n.members.current(), MembershipCommitted: n.members.index() <= n.log.committed,
		Progress: map[uint64]MemberProgress{},
	}
	for id, pr := range n.progress {
		status.Progress[id] = MemberProgress{Match: pr.match, Active: n.isActive(id)}
	}
	return status
}

// LogBytes returns the size of the entries in memory: those that no snapshot covers
// yet, and those that are kept for members that are slightly behind.
func (n *Node) LogBytes() int { return n.log.bytes }

// Counters are totals since the node was created.
type Counters struct {
	// PreVotes and Votes count the elections that the node started, by phase. An
	// election reaches the vote only after its pre-vote was won, or directly on a
	// leadership transfer.
	PreVotes, Votes uint64
	// RefusedDisks counts the refusals of disks that are outdated, copied or no
	// longer members.
	RefusedDisks uint64
}

// Counters returns the totals since the node was created.
func (n *Node) Counters() Counters { return n.counters }

// Leader returns the leader of the current term, or 0 if it is not known, the term,
// and whether this replica is the leader.
func (n *Node) Leader() (id, term uint64, self bool) {
	return n.leader, n.term, n.role == Leader
}

// Disk returns the label of the data directory, which must not be modified.
func (n *Node) Disk() *pb.DiskLabel { return n.cfg.Disk }

// Membership returns the membership in force, which must not be modified.
func (n *Node) Membership() *pb.Membership { return n.members.current() }
