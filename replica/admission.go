package replica

import (
	"time"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// admission is the state of this replica's registration with the other members.
type admission struct {
	admitted bool
	started  time.Duration
	nextSend time.Duration
	// agreed maps each member that agreed to the disk with which it did.
	agreed map[uint64]uint64
	// lostDisks are the members that have sent join from a blank disk in place of
	// the one that the membership names. The named disk can no longer act as a
	// witness.
	lostDisks map[uint64]bool
}

// recordLostDisk records that a member no longer has the disk that the membership
// names, so that admission does not wait for its agreement. When all replicas
// restart and one of three disks is lost, the others are admitted within a round
// trip instead of after AdmissionWait.
func (n *Node) recordLostDisk(m *pb.Message) {
	member := FindMember(n.members.current(), m.GetFrom())
	if n.admission.admitted || member == nil || member.GetDisk() == m.GetDisk() {
		return
	}
	n.admission.lostDisks[m.GetFrom()] = true
	n.checkAdmission()
}

// stepDiskMessage handles the messages about disks, which do not depend on terms.
// It returns false for other messages.
func (n *Node) stepDiskMessage(m *pb.Message) bool {
	switch m.GetKind() {
	case pb.MessageKind_MESSAGE_KIND_JOIN:
		n.handleJoin(m)
	case pb.MessageKind_MESSAGE_KIND_GENESIS:
		n.handleGenesis(m)
	case pb.MessageKind_MESSAGE_KIND_REGISTER:
		n.handleRegister(m)
	case pb.MessageKind_MESSAGE_KIND_REGISTER_RESPONSE:
		n.handleRegisterResponse(m)
	case pb.MessageKind_MESSAGE_KIND_REMOVED:
		n.handleRemoved(m)
	case pb.MessageKind_MESSAGE_KIND_REGISTER_NEEDED:
		delete(n.admission.agreed, m.GetFrom())
		n.sendRegister(m.GetFrom())
	default:
		return false
	}
	return true
}

// tickRegistration sends join from a blank disk, or register to the members that
// have not agreed yet.
func (n *Node) tickRegistration() {
	n.checkAdmission()
	if n.now < n.admission.nextSend {
		return
	}
	pause := n.cfg.HeartbeatInterval
	if n.admission.admitted {
		pause = n.cfg.ElectionTimeout
	}
	n.admission.nextSend = n.now + pause
	if n.self() == nil || n.learnerWithoutLeader() {
		n.sendJoins()
	}
	if n.self() != nil && n.withoutLeader() {
		n.askForMembership()
		return
	}
	if n.namedInMembership() {
		return
	}
	for _, member := range n.members.current().GetMembers() {
		if n.admission.agreed[member.GetId()] != member.GetDisk() || member.GetDisk() == 0 {
			n.sendRegister(member.GetId())
		}
	}
}

// learnerWithoutLeader reports whether this replica is a learner that has not heard
// from a leader for admissionTimeouts election timeouts. The entry that added it may
// have been overwritten, so it must send join again.
func (n *Node) learnerWithoutLeader() bool {
	return !isVoter(n.self()) && n.withoutLeader()
}

// namedInMembership reports whether the membership names this start of the replica,
// by incarnation and boot nonce.
func (n *Node) namedInMembership() bool {
	self := n.self()
	return self.GetIncarnation() == n.cfg.Disk.GetIncarnation() && self.GetBoot() == n.cfg.Boot
}

func (n *Node) sendRegister(to uint64) {
	if to == n.cfg.ID {
		return
	}
	last := n.log.last()
	n.send(&pb.Message{
		Kind: pb.MessageKind_MESSAGE_KIND_REGISTER, To: to, LogIndex: last.index, LogTerm: last.term, Addr: n.cfg.Addr,
	})
}

func (n *Node) handleRegisterResponse(m *pb.Message) {
	if m.GetEcho() != n.cfg.Boot {
		return
	}
	if m.GetReject() {
		n.handleRefusal(m)
		return
	}
	n.admission.agreed[m.GetFrom()] = m.GetDisk()
	n.checkAdmission()
}

// checkAdmission admits this replica when enough witnesses have agreed.
func (n *Node) checkAdmission() {
	self := n.self()
	if n.admission.admitted || self == nil {
		return
	}
	if n.namedInMembership() || n.hasAdmissionQuorum(isVoter(self)) {
		n.admission.admitted = true
		n.resetElectionTimer()
	}
}

func (n *Node) hasAdmissionQuorum(voter bool) bool {
	all := voters(n.members.current())
	pending, count := 0, 0
	for _, member := range all {
		id := member.GetId()
		switch {
		case id == n.cfg.ID:
		case n.admission.agreed[id] == member.GetDisk():
			count++
		case !n.admission.lostDisks[id]:
			pending++
		}
	}
	if pending == 0 && len(n.admission.lostDisks) == 0 {
		return true
	}
	if voter {
		count++
	}
	waited := n.now-n.admission.started >= n.cfg.AdmissionWait
	return (waited || pending == 0) && count >= quorum(n.members.current())
}

// rejoinRemedy is the remedy of the errors that fence a replica.
const rejoinRemedy = "set the data directory aside and start with an empty one: the replica rejoins as a learner and is promoted once caught up"

// handleRefusal fences this replica if the refusal is final.
func (n *Node) handleRefusal(m *pb.Message) {
	id, label := n.cfg.ID, n.cfg.Disk
	switch m.GetRefusal() {
	case pb.Refusal_REFUSAL_SUPERSEDED:
		n.fence(fault.Newf(fault.Fenced, rejoinRemedy,
			"replica %d: disk %016x was started again elsewhere after incarnation %d", id, label.GetIdentity(), label.GetIncarnation()))
	case pb.Refusal_REFUSAL_LOST_STATE:
		n.fence(fault.Newf(fault.Fenced, rejoinRemedy,
			"replica %d: disk %016x is an old copy or has lost acknowledged state, according to replica %d", id, label.GetIdentity(), m.GetFrom()))
	case pb.Refusal_REFUSAL_NOT_MEMBER:
		if !isVoter(n.self()) {
			n.sendJoin(m.GetFrom())
			return
		}
		n.fenceRemoved(m.GetLogIndex())
	}
}

// fence stops the node permanently.
func (n *Node) fence(reason error) {
	if n.role == Leader {
		n.becomeFollower(n.term, 0)
	}
	n.setLeader(0)
	n.failForwardedReads()
	n.role = Follower
	n.fenced = reason
	n.early, n.messages = nil, nil
}

// Err returns the reason why the node has stopped permanently, or nil. A node that
// was refused stays stopped until it is started with a blank disk.
func (n *Node) Err() error { return n.fenced }
