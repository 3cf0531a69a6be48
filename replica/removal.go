package replica

import (
	"slices"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// A replica may miss the entry that removes it, because the leader sends no entries
// to replicas that are not members. So a replica without a leader queries the others
// (askForMembership), and the leader notifies the removed replicas that the
// membership lists until they have joined again (notifyRemoved).

const (
	// maxRemoved limits the removed replicas that a membership lists. A host that is
	// gone for good never joins again, so the list needs a bound.
	maxRemoved = 16
	// noticeTimeouts is the time between two notices to the removed replicas, in
	// election timeouts. Replicas that know a member ask earlier by themselves.
	noticeTimeouts = 10
)

// withRemoval returns a copy of membership without the member with this id, which it
// lists as removed.
func withRemoval(membership *pb.Membership, id uint64) *pb.Membership {
	removed := FindMember(membership, id)
	changed := withoutMember(membership, id)
	if removed.GetDisk() == 0 {
		return changed
	}
	changed.Removed = append(withoutReplica(changed.GetRemoved(), id), &pb.Member{
		Id: id, Addr: removed.GetAddr(), Disk: removed.GetDisk(),
	})
	changed.Removed = changed.Removed[max(0, len(changed.Removed)-maxRemoved):]
	return changed
}

func withoutReplica(members []*pb.Member, id uint64) []*pb.Member {
	return slices.DeleteFunc(members, func(member *pb.Member) bool { return member.GetId() == id })
}

// withoutLeader reports whether this replica has received no message from a leader for
// admissionTimeouts election timeouts.
func (n *Node) withoutLeader() bool {
	return n.role != Leader && n.now-n.lastLeaderContact >= admissionTimeouts*n.cfg.ElectionTimeout
}

// askForMembership sends register to all replicas that this one knows. Those that
// know of its removal refuse it.
func (n *Node) askForMembership() {
	for _, id := range n.knownReplicas() {
		n.sendRegister(id)
	}
}

// notifyRemoved sends the removed replicas the address of the leader and the index of
// the membership that does not name their disks. The leader calls it at each tick.
func (n *Node) notifyRemoved() {
	if n.now < n.nextNotice || n.members.index() > n.log.committed {
		return
	}
	n.nextNotice = n.now + noticeTimeouts*n.cfg.ElectionTimeout
	for _, removed := range n.members.current().GetRemoved() {
		n.addContact(removed.GetId(), removed.GetAddr())
		n.send(&pb.Message{
			Kind: pb.MessageKind_MESSAGE_KIND_REMOVED, To: removed.GetId(), Echo: removed.GetDisk(),
			LogIndex: n.members.index(), Addr: n.cfg.Addr,
		})
	}
}

// handleRemoved fences this replica if the notice is about its disk. A blank disk
// learns the address of the leader from it.
func (n *Node) handleRemoved(m *pb.Message) {
	if n.members.current() == nil {
		n.setDiscoveredLeader(m)
		return
	}
	if m.GetEcho() == n.cfg.Disk.GetIdentity() {
		n.fenceRemoved(m.GetLogIndex())
	}
}

// fenceRemoved fences this replica if it lacks the committed membership at index,
// which does not name its disk. If it holds that membership, a later one names the
// disk again and the sender is behind.
func (n *Node) fenceRemoved(index uint64) {
	if index <= n.log.committed {
		return
	}
	held := n.members.at(index)
	names := FindMember(held.membership, n.cfg.ID).GetDisk() == n.cfg.Disk.GetIdentity()
	if index <= n.log.last().index && held.index == index && !names {
		return
	}
	n.fence(fault.Newf(fault.Fenced, rejoinRemedy,
		"replica %d: disk %016x has not been a member since entry %d", n.cfg.ID, n.cfg.Disk.GetIdentity(), index))
}
