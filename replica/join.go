package replica

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
)

// The first entry of a cluster.
const (
	genesisIndex = 1
	genesisTerm  = 1
)

// bootstrap is what a blank disk knows about the other initial voters.
type bootstrap struct {
	// disks are the disks seen, which joins return to show that they are recent.
	disks map[uint64]uint64
	// joined are the initial voters that answered this very disk as blank ones.
	joined map[uint64]*pb.Member
}

// announce sends join to all that may know a cluster or bootstrap one.
func (n *Node) announce() {
	targets := maps.Clone(n.cfg.Peers)
	if targets == nil {
		targets = map[uint64]string{}
	}
	for _, member := range n.members.current().GetMembers() {
		targets[member.GetId()] = member.GetAddr()
	}
	for _, id := range slices.Sorted(maps.Keys(targets)) {
		n.sendJoin(id)
	}
	n.tryBootstrap()
}

func (n *Node) sendJoin(to uint64) {
	if to == n.cfg.ID {
		return
	}
	n.send(&pb.Message{
		Kind: pb.MessageKind_MESSAGE_KIND_JOIN, To: to, Addr: n.cfg.Addr,
		Force: n.mayBootstrap(), Echo: n.bootstrap.disks[to],
	})
}

// mayBootstrap reports whether this disk is blank and allowed to bootstrap.
func (n *Node) mayBootstrap() bool { return !n.cfg.Join && n.members.current() == nil }

func (n *Node) handleJoin(m *pb.Message) {
	if n.members.current() == nil {
		n.noteBlank(m)
		n.tryBootstrap()
		return
	}
	n.noteBlankMember(m)
	if n.passGenesis(m) {
		return
	}
	if n.role != Leader {
		n.passJoin(m)
		return
	}
	n.replaceDisk(m)
}

// passJoin passes the announcement of a blank disk on to the leader. The settings of
// its replica may name followers only, and nobody else tells the leader: the disk then
// stays out for good, and the loss of two more of five disks leaves no quorum. With it
// the disk has its vote back within 20 election timeouts on the simulated network. An
// announcement that names a cluster comes from a replica that knows the members, or has
// been passed on: two followers that take each other for the leader do not pass it to
// and fro.
func (n *Node) passJoin(m *pb.Message) {
	if m.GetCluster() != 0 || n.leader == 0 || n.leader == m.GetFrom() {
		return
	}
	passed := proto.CloneOf(m)
	passed.To = n.leader
	passed.Cluster = n.cluster()
	n.messages = append(n.messages, passed)
}

// noteBlank records that another initial voter has a blank disk too. The echo
// shows that it was still blank after it had seen this disk, so it cannot belong
// to a cluster that an earlier disk of this replica has bootstrapped.
func (n *Node) noteBlank(m *pb.Message) {
	from := m.GetFrom()
	n.bootstrap.disks[from] = m.GetDisk()
	addr, initial := n.cfg.Peers[from]
	if !initial || !m.GetForce() || m.GetEcho() != n.cfg.Disk.GetIdentity() {
		delete(n.bootstrap.joined, from)
		return
	}
	n.bootstrap.joined[from] = &pb.Member{
		Id: from, Addr: addr, Disk: m.GetDisk(), Incarnation: m.GetIncarnation(), Boot: m.GetBoot(),
		Role: pb.Role_ROLE_VOTER,
	}
}

// tryBootstrap starts a cluster once all initial voters are blank and present.
// Only the one with the lowest id does, so that there is one cluster.
func (n *Node) tryBootstrap() {
	if !n.mayBootstrap() || len(n.cfg.Peers) == 0 {
		return
	}
	if slices.Min(slices.Collect(maps.Keys(n.cfg.Peers))) != n.cfg.ID {
		return
	}
	if len(n.bootstrap.joined) != len(n.cfg.Peers)-1 {
		return
	}
	n.startCluster()
}

// startCluster appends the first entry, whose membership names every initial
// voter, and sends it to the others.
func (n *Node) startCluster() {
	membership := &pb.Membership{Cluster: n.cfg.Rand.Uint64() | 1}
	membership = withMember(membership, &pb.Member{
		Id: n.cfg.ID, Addr: n.cfg.Peers[n.cfg.ID], Disk: n.cfg.Disk.GetIdentity(),
		Incarnation: n.cfg.Disk.GetIncarnation(), Boot: n.cfg.Boot, Role: pb.Role_ROLE_VOTER,
	})
	for _, member := range n.bootstrap.joined {
		membership = withMember(membership, member)
	}
	n.startLog(&pb.Entry{
		Index: genesisIndex, Term: genesisTerm, Kind: pb.EntryKind_ENTRY_KIND_MEMBERSHIP, Membership: membership,
	})
	for _, member := range membership.GetMembers() {
		if member.GetId() != n.cfg.ID {
			n.sendGenesis(member)
		}
	}
	n.electionDeadline = n.now + n.cfg.HeartbeatInterval
}

// startLog takes the first entry as the start of an empty log.
func (n *Node) startLog(genesis *pb.Entry) {
	n.term = max(n.term, genesis.GetTerm())
	n.hardDirty = true
	n.appendEntry(genesis)
	n.resetElectionTimer()
}

// genesis returns the first entry if the log still holds it.
func (n *Node) genesis() *pb.Entry {
	if n.log.base.index != 0 || len(n.log.entries) == 0 {
		return nil
	}
	return n.log.entries[0]
}

// passGenesis gives the first entry to a blank disk that it names.
func (n *Node) passGenesis(m *pb.Message) bool {
	member := FindMember(n.genesis().GetMembership(), m.GetFrom())
	if m.GetCluster() != 0 || member.GetDisk() != m.GetDisk() {
		return false
	}
	n.sendGenesis(member)
	return true
}

func (n *Node) sendGenesis(member *pb.Member) {
	n.send(&pb.Message{
		Kind: pb.MessageKind_MESSAGE_KIND_GENESIS, To: member.GetId(), ToDisk: member.GetDisk(),
		Entries: []*pb.Entry{n.genesis()},
	})
}

// handleGenesis starts the log of a blank disk that the first entry names.
func (n *Node) handleGenesis(m *pb.Message) {
	if n.members.current() != nil || len(m.GetEntries()) != 1 {
		return
	}
	entry := m.GetEntries()[0]
	member := FindMember(entry.GetMembership(), n.cfg.ID)
	if entry.GetIndex() != genesisIndex || member.GetDisk() != n.cfg.Disk.GetIdentity() {
		return
	}
	n.startLog(entry)
}

// replaceDisk names a blank disk as that of its member, which becomes a learner,
// if the member had no disk yet, or has been silent for so long that its disk is
// taken for lost.
func (n *Node) replaceDisk(m *pb.Message) {
	member := FindMember(n.members.current(), m.GetFrom())
	if member == nil {
		n.takeIn(m)
		return
	}
	if member.GetDisk() == m.GetDisk() {
		return
	}
	pr := n.progress[member.GetId()]
	if member.GetDisk() != 0 && pr != nil && n.now-pr.heard < n.cfg.RepairAfter {
		return
	}
	replacement := &pb.Member{
		Id: member.GetId(), Addr: member.GetAddr(), Disk: m.GetDisk(),
		Incarnation: m.GetIncarnation(), Boot: m.GetBoot(), Role: pb.Role_ROLE_LEARNER,
		Promote: member.GetPromote() || isVoter(member),
	}
	// Refused while another change is under way; the disk announces itself again.
	_, _, _ = n.proposeMembership(withMember(n.members.current(), replacement))
}

// writer is a leader of which no membership tells this disk yet, and its address.
type writer struct {
	id   uint64
	addr string
}

// noteLeaderAddr notes where the leader of the present term is, which writes to a blank
// disk. Neither the settings nor a log may name it, and it sends no log to a disk that does
// not answer: with passJoin alone a disk heard its leader after 0.6 s and had no vote 8 s
// later.
func (n *Node) noteLeaderAddr(m *pb.Message) {
	if n.members.current() == nil && fromLeader(m.GetKind()) && m.GetAddr() != "" {
		n.writer = writer{id: m.GetFrom(), addr: m.GetAddr()}
	}
}

// Writer returns the number and the address of the leader that has written to this
// disk while it was blank; zero if there was none.
func (n *Node) DiscoveredLeader() (id uint64, addr string) { return n.writer.id, n.writer.addr }
