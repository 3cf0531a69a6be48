package replica

import (
	pb "github.com/lilackeel/lilackeel/api/replica/v1"
)

// A cluster with Config.Voters keeps that many voters by itself: it takes blank
// disks of unknown replicas in, in the place of voters that are gone. Without it
// members are up to the operator.

// takeIn gives a blank disk of an unknown replica a place: that of a voter, while
// there are too few; that of a voter that is silent; or else one in reserve.
func (n *Node) takeIn(m *pb.Message) {
	if n.cfg.Voters == 0 || m.GetAddr() == "" {
		return
	}
	current := n.members.current()
	fresh := &pb.Member{
		Id: m.GetFrom(), Addr: m.GetAddr(), Disk: m.GetDisk(), Incarnation: m.GetIncarnation(), Boot: m.GetBoot(),
		Role: pb.Role_ROLE_LEARNER, Promote: true,
	}
	changed := current
	switch silent := n.silentVoter(); {
	case voting(current) < n.cfg.Voters:
	case silent != nil:
		changed = withoutMember(current, silent.GetId())
	case len(current.GetMembers())-voting(current) < n.cfg.Voters:
		fresh.Promote = false
	default:
		return
	}
	// Refused while another change is under way; the disk announces itself again.
	_, _, _ = n.proposeMembership(withMember(changed, fresh))
}

// voting counts the voters and those that are to become voters.
func voting(membership *pb.Membership) int {
	count := 0
	for _, member := range membership.GetMembers() {
		if isVoter(member) || member.GetPromote() {
			count++
		}
	}
	return count
}

// silentVoter returns a voter that has been silent for so long that its place is
// given away, or nil.
func (n *Node) silentVoter() *pb.Member {
	for _, member := range voters(n.members.current()) {
		pr := n.progress[member.GetId()]
		if member.GetId() != n.cfg.ID && pr != nil && n.now-pr.heard >= n.cfg.RepairAfter {
			return member
		}
	}
	return nil
}

// useReserve puts a learner in reserve that has caught up in the place of a voter
// that has been silent for a while. The voter may come back: with a disk that is
// no longer a member, and then joins as a blank one.
func (n *Node) useReserve() {
	if n.cfg.Voters == 0 {
		return
	}
	current := n.members.current()
	silent := n.silentVoter()
	if silent == nil || n.now-n.progress[silent.GetId()].heard < reserveRepairs*n.cfg.RepairAfter {
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
		_, _, _ = n.proposeMembership(withMember(withoutMember(current, silent.GetId()), chosen))
		return
	}
}

// reserveRepairs is how many times RepairAfter a voter must be silent before one in
// reserve takes its place: a restart takes less.
const reserveRepairs = 4
