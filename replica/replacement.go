package replica

import (
	"time"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
)

// With Config.Voters set, the cluster maintains that number of voters itself:
// unknown replicas with blank disks replace lost voters. Otherwise membership
// changes are up to the operator.

// addUnknownReplica adds an unknown replica with a blank disk as a learner: to
// become a voter if there are too few voters, in place of an unresponsive voter, or
// else as a standby.
func (n *Node) addUnknownReplica(m *pb.Message) {
	if n.cfg.Voters == 0 || m.GetAddr() == "" {
		return
	}
	current := n.members.current()
	learner := &pb.Member{
		Id: m.GetFrom(), Addr: m.GetAddr(), Disk: m.GetDisk(), Incarnation: m.GetIncarnation(), Boot: m.GetBoot(),
		Role: pb.Role_ROLE_LEARNER, Promote: true,
	}
	changed := current
	switch unresponsive := n.unresponsiveVoter(n.cfg.RepairAfter); {
	case plannedVoters(current) < n.cfg.Voters:
	case unresponsive != nil && n.silence(unresponsive) < n.takeoverAfter(unresponsive, newReplicaTakeoverFactor):
		n.introduce(m) // it will be a standby if the voter responds, or else replace it
		return
	case unresponsive != nil:
		changed = withRemoval(current, unresponsive.GetId())
	case len(current.GetMembers())-plannedVoters(current) < n.cfg.Voters:
		learner.Promote = false
	default:
		n.introduce(m)
		return
	}
	// This is refused while another change is in progress; the replica sends join
	// again.
	_, _, _ = n.proposeMembership(withMember(changed, learner))
}

// introduce sends a heartbeat to a replica that is not a member, so that it learns
// the address of the leader, and can pass on the join messages of others.
func (n *Node) introduce(m *pb.Message) {
	n.send(&pb.Message{Kind: pb.MessageKind_MESSAGE_KIND_HEARTBEAT, To: m.GetFrom(), ToDisk: m.GetDisk()})
}

// plannedVoters counts the voters and the learners that are to be promoted.
func plannedVoters(membership *pb.Membership) int {
	count := 0
	for _, member := range membership.GetMembers() {
		if isVoter(member) || member.GetPromote() {
			count++
		}
	}
	return count
}

// unresponsiveVoter returns a voter, or a learner that is to be promoted, that has not
// responded for the given time, so that it may be replaced, or nil. A learner without a
// disk has not been started yet.
func (n *Node) unresponsiveVoter(silent time.Duration) *pb.Member {
	for _, member := range n.members.current().GetMembers() {
		planned := isVoter(member) || member.GetPromote() && member.GetDisk() != 0
		if planned && member.GetId() != n.cfg.ID && n.progress[member.GetId()] != nil && n.silence(member) >= silent {
			return member
		}
	}
	return nil
}

// silence returns the time since a member has responded.
func (n *Node) silence(member *pb.Member) time.Duration {
	return n.now - n.progress[member.GetId()].lastResponse
}

// takeoverAfter returns how long a member must be unresponsive before another replica
// takes its place. A learner may be busy with a snapshot.
func (n *Node) takeoverAfter(member *pb.Member, factor time.Duration) time.Duration {
	if !isVoter(member) {
		factor = standbyTakeoverFactor
	}
	return factor * n.cfg.RepairAfter
}

// replaceUnresponsiveVoter replaces a voter, or a learner that is to be promoted, that
// has been unresponsive for standbyTakeoverFactor times RepairAfter by a standby learner
// that has caught up. If the replica returns, its disk is no longer a member and it must
// join with a blank one.
func (n *Node) replaceUnresponsiveVoter() {
	if n.cfg.Voters == 0 {
		return
	}
	current := n.members.current()
	unresponsive := n.unresponsiveVoter(standbyTakeoverFactor * n.cfg.RepairAfter)
	if unresponsive == nil {
		return
	}
	for _, member := range current.GetMembers() {
		if isVoter(member) || member.GetPromote() || !n.caughtUp(member) {
			continue
		}
		chosen := &pb.Member{
			Id: member.GetId(), Addr: member.GetAddr(), Disk: member.GetDisk(), Incarnation: member.GetIncarnation(),
			Boot: member.GetBoot(), Role: pb.Role_ROLE_LEARNER, Promote: true,
		}
		_, _, _ = n.proposeMembership(withMember(withRemoval(current, unresponsive.GetId()), chosen))
		return
	}
}

const (
	// standbyTakeoverFactor is how many times RepairAfter a voter must be unresponsive
	// before a standby replaces it. A restart takes less time than that.
	standbyTakeoverFactor = 4
	// newReplicaTakeoverFactor is the same for a replica that joins. It lets a voter
	// pause for a moment just when another replica joins.
	newReplicaTakeoverFactor = 2
)
