package replica

import (
	pb "github.com/lilackeel/lilackeel/api/replica/v1"
)

// Status is a view of a node for operators and tests.
type Status struct {
	// ID identifies the replica in the membership.
	ID uint64
	// Role is the part that it plays in Term.
	Role Role
	// Term is the highest term that it knows of.
	Term uint64
	// Leader is the id of the leader of Term; 0 if it is not known.
	Leader uint64
	// Admitted reports whether this start may vote and acknowledge.
	Admitted bool
	// Voter reports whether the membership in force names this disk as a voter.
	Voter bool
	// Disk is the label of the data folder.
	Disk *pb.DiskLabel
	// Commit is the highest index known to be committed.
	Commit uint64
	// First and Last are the indexes of the first and the last entry that the log
	// holds; First is Last+1 for none.
	First, Last uint64
	// Snapshot is the index of the snapshot that a member far behind is sent; 0
	// for none.
	Snapshot uint64
	// Membership is the one in force, which must not be changed.
	Membership *pb.Membership
	// MembershipCommitted is false while a change is under way.
	MembershipCommitted bool
	// Progress of the other members, at a leader.
	Progress map[uint64]MemberProgress
}

// MemberProgress is what a leader knows about another member.
type MemberProgress struct {
	// Match is the highest index known to be durable at the member.
	Match uint64
	// Active reports whether it has answered within an election timeout.
	Active bool
}

// Admitted reports whether this start may vote and acknowledge.
func (n *Node) Admitted() bool { return n.admission.admitted }

// Status returns a view of the node.
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

// Counters are what a node has done since it was made.
type Counters struct {
	// PreVotes and Votes are the elections that it started, by phase. An election
	// has a vote only after its pre-vote was won, or when it was told to stand.
	PreVotes, Votes uint64
	// RefusedDisks is how often it refused a disk that is not what it was.
	RefusedDisks uint64
}

// Counters returns what the node has done since it was made.
func (n *Node) Counters() Counters { return n.counters }

// Leader returns the leader of the term, or 0 if it is not known.
func (n *Node) Leader() (id, term uint64, self bool) {
	return n.leader, n.term, n.role == Leader
}

// Membership returns the membership in force, which must not be changed.
func (n *Node) Membership() *pb.Membership { return n.members.current() }
