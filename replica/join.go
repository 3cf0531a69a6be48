package replica

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
)

// sendJoins sends join to all replicas that may belong to a cluster or may
// bootstrap one.
func (n *Node) sendJoins() {
	for _, id := range n.knownReplicas() {
		n.sendJoin(id)
	}
	n.tryBootstrap()
}

// knownReplicas returns the ids of the replicas of the settings, of the members and
// of the last leader that sent messages to this replica, sorted.
func (n *Node) knownReplicas() []uint64 {
	known := map[uint64]bool{}
	for id := range n.cfg.Peers {
		known[id] = true
	}
	for _, member := range n.members.current().GetMembers() {
		known[member.GetId()] = true
	}
	if n.discovered.id != 0 {
		known[n.discovered.id] = true
	}
	delete(known, n.cfg.ID)
	return slices.Sorted(maps.Keys(known))
}

func (n *Node) sendJoin(to uint64) {
	if to == n.cfg.ID {
		return
	}
	join := &pb.Message{
		Kind: pb.MessageKind_MESSAGE_KIND_JOIN, To: to, Addr: n.cfg.Addr,
		Force: n.mayBootstrap(), Echo: n.bootstrap.seenDisks[to],
	}
	if n.members.current() == nil {
		for _, id := range slices.Sorted(maps.Keys(n.bootstrap.seenDisks)) {
			join.Seen = append(join.Seen, &pb.SeenDisk{Id: id, Disk: n.bootstrap.seenDisks[id]})
		}
	}
	n.send(join)
}

func (n *Node) handleJoin(m *pb.Message) {
	if n.members.current() == nil {
		n.recordBlankVoter(m)
		n.tryBootstrap()
		n.forwardJoin(m)
		return
	}
	n.recordLostDisk(m)
	if n.resendGenesis(m) {
		return
	}
	if n.role != Leader {
		n.forwardJoin(m)
		return
	}
	n.assignBlankDisk(m)
}

// forwardJoin forwards the join message of a blank disk to the leader. The settings
// of that replica may name followers only, and then nothing else informs the
// leader: the disk would never be added, and the loss of two more of five disks
// would leave no quorum. With forwarding, the disk is a voter again within 20
// election timeouts on the simulated network.
//
// It is forwarded once, so that two followers that take each other for the leader do
// not send it back and forth.
func (n *Node) forwardJoin(m *pb.Message) {
	if m.GetForwarded() || n.leader == 0 || n.leader == m.GetFrom() {
		return
	}
	forwarded := proto.CloneOf(m)
	forwarded.To = n.leader
	forwarded.Forwarded = true
	if forwarded.Cluster == 0 {
		forwarded.Cluster = n.cluster() // earlier versions take it for the mark of a forwarded message
	}
	n.messages = append(n.messages, forwarded)
}

// assignBlankDisk assigns a blank disk to its member, which becomes a learner, if
// the member had no disk yet or has been unresponsive for RepairAfter, after which
// its disk is considered lost.
func (n *Node) assignBlankDisk(m *pb.Message) {
	member := FindMember(n.members.current(), m.GetFrom())
	if member == nil {
		n.addContact(m.GetFrom(), m.GetAddr())
		n.addUnknownReplica(m)
		return
	}
	if member.GetDisk() == m.GetDisk() {
		return
	}
	pr := n.progress[member.GetId()]
	if member.GetDisk() != 0 && pr != nil && n.now-pr.lastResponse < n.cfg.RepairAfter {
		return
	}
	replacement := &pb.Member{
		Id: member.GetId(), Addr: member.GetAddr(), Disk: m.GetDisk(),
		Incarnation: m.GetIncarnation(), Boot: m.GetBoot(), Role: pb.Role_ROLE_LEARNER,
		Promote: member.GetPromote() || isVoter(member),
	}
	// This is refused while another change is in progress; the replica sends join
	// again.
	_, _, _ = n.proposeMembership(withMember(n.members.current(), replacement))
}

// discoveredLeader is the leader that sent messages to this replica last. The
// membership may not name it.
type discoveredLeader struct {
	id   uint64
	addr string
}

// recordLeaderAddr records the address of the leader of the current term from a
// message that it sent. It may be that neither the settings nor the log of this
// replica name the leader: the disk is blank, or the entry that added the leader has
// not arrived yet. Without the address the replica could not acknowledge anything, and
// a leader sends no more entries to a member that does not answer.
func (n *Node) recordLeaderAddr(m *pb.Message) {
	if fromLeader(m.GetKind()) && m.GetAddr() != "" {
		n.setDiscoveredLeader(m)
	}
}

func (n *Node) setDiscoveredLeader(m *pb.Message) {
	found := discoveredLeader{id: m.GetFrom(), addr: m.GetAddr()}
	if found != n.discovered {
		n.discovered = found
		n.peersVersion++
	}
}
