package replica

import (
	pb "github.com/lilackeel/lilackeel/api/replica/v1"
)

// Index and term of the first entry of a cluster.
const (
	genesisIndex = 1
	genesisTerm  = 1
)

// bootstrap is the state of a blank disk's attempt to form a new cluster with the
// other initial voters.
type bootstrap struct {
	// seenDisks are the disks from which join messages came, by replica. The join
	// messages to these replicas echo them, which shows that the messages are recent.
	seenDisks map[uint64]uint64
	// blankVoters are the last join messages of the initial voters that answered this
	// disk and have blank disks themselves.
	blankVoters map[uint64]*pb.Message
}

// mayBootstrap reports whether this disk is blank and the replica is allowed to
// bootstrap a cluster, in this start or in an earlier one on the same disk.
func (n *Node) mayBootstrap() bool {
	return (!n.cfg.Join || n.cfg.Disk.GetFounder()) && n.members.current() == nil
}

// recordBlankVoter records that another initial voter also has a blank disk. The
// echoed identity of this disk shows that the other one was still blank after it
// had received a join from this disk. So it cannot belong to a cluster that an
// earlier disk of this replica has bootstrapped.
func (n *Node) recordBlankVoter(m *pb.Message) {
	from := m.GetFrom()
	_, initial := n.cfg.Peers[from]
	if initial {
		n.bootstrap.seenDisks[from] = m.GetDisk()
	}
	if !initial || m.GetEcho() != n.cfg.Disk.GetIdentity() || m.GetCluster() != 0 {
		delete(n.bootstrap.blankVoters, from)
		return
	}
	n.bootstrap.blankVoters[from] = m
}

// tryBootstrap starts a cluster once all initial voters have answered with blank
// disks and a majority of them may bootstrap it. The others have lost their disks
// since the first start and only join; too few of them to have stored anything that
// was committed. Of those that may bootstrap, only the voter with the lowest id does
// so, so that only one cluster is formed.
func (n *Node) tryBootstrap() {
	voters := len(n.cfg.Peers)
	_, initial := n.cfg.Peers[n.cfg.ID]
	if !n.mayBootstrap() || !initial || len(n.bootstrap.blankVoters) != voters-1 {
		return
	}
	founders := 1
	for id, join := range n.bootstrap.blankVoters {
		if join.GetForce() && id < n.cfg.ID {
			return
		}
		if join.GetForce() {
			founders++
		}
	}
	if founders <= voters/2 || founders < voters && !n.blankVotersAgree() {
		return
	}
	n.startCluster()
}

// blankVotersAgree reports whether each blank voter has received join from the disks
// that the others have now. It then accepts no first entry from an earlier disk of
// one of them, which may have bootstrapped a cluster before it was lost.
func (n *Node) blankVotersAgree() bool {
	for id := range n.bootstrap.blankVoters {
		for _, other := range n.bootstrap.blankVoters {
			if id != other.GetFrom() && seenDisk(other, id) != n.bootstrap.seenDisks[id] {
				return false
			}
		}
	}
	return true
}

// seenDisk returns the disk of a replica that the sender of a join message has seen.
func seenDisk(join *pb.Message, id uint64) uint64 {
	for _, seen := range join.GetSeen() {
		if seen.GetId() == id {
			return seen.GetDisk()
		}
	}
	return 0
}

// startCluster appends the first entry, whose membership names every initial voter,
// and sends it to the others.
func (n *Node) startCluster() {
	membership := &pb.Membership{Cluster: n.cfg.Rand.Uint64() | 1}
	membership = withMember(membership, &pb.Member{
		Id: n.cfg.ID, Addr: n.cfg.Peers[n.cfg.ID], Disk: n.cfg.Disk.GetIdentity(),
		Incarnation: n.cfg.Disk.GetIncarnation(), Boot: n.cfg.Boot, Role: pb.Role_ROLE_VOTER,
	})
	for id, join := range n.bootstrap.blankVoters {
		membership = withMember(membership, &pb.Member{
			Id: id, Addr: n.cfg.Peers[id], Disk: join.GetDisk(), Incarnation: join.GetIncarnation(), Boot: join.GetBoot(),
			Role: pb.Role_ROLE_VOTER,
		})
	}
	n.installGenesis(&pb.Entry{
		Index: genesisIndex, Term: genesisTerm, Kind: pb.EntryKind_ENTRY_KIND_MEMBERSHIP, Membership: membership,
	})
	for _, member := range membership.GetMembers() {
		if member.GetId() != n.cfg.ID {
			n.sendGenesis(member)
		}
	}
	n.electionDeadline = n.now + n.cfg.HeartbeatInterval
}

// installGenesis appends the first entry to an empty log.
func (n *Node) installGenesis(genesis *pb.Entry) {
	n.term = max(n.term, genesis.GetTerm())
	n.hardStateDirty = true
	n.appendEntry(genesis)
	n.resetElectionTimer()
}

// genesis returns the first entry, or nil if the log no longer holds it.
func (n *Node) genesis() *pb.Entry {
	if n.log.base.index != 0 || len(n.log.entries) == 0 {
		return nil
	}
	return n.log.entries[0]
}

// resendGenesis sends the first entry to a blank disk that it names. It returns
// false for other senders.
func (n *Node) resendGenesis(m *pb.Message) bool {
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
	if seen := n.bootstrap.seenDisks[m.GetFrom()]; seen != 0 && seen != m.GetDisk() {
		return // the sender has lost its disk since
	}
	entry := m.GetEntries()[0]
	member := FindMember(entry.GetMembership(), n.cfg.ID)
	if entry.GetIndex() != genesisIndex || member.GetDisk() != n.cfg.Disk.GetIdentity() {
		return
	}
	n.installGenesis(entry)
}
