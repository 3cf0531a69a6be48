package replica

import (
	pb "github.com/lilackeel/lilackeel/api/replica/v1"
)

// ensureWitness creates or updates the witness record of a disk that a membership
// names.
func (n *Node) ensureWitness(member *pb.Member) {
	disk := member.GetDisk()
	if disk == 0 {
		return
	}
	witness := n.witnesses[disk]
	if witness == nil {
		witness = &pb.Witness{Id: member.GetId(), Disk: disk}
		n.witnesses[disk] = witness
	}
	if member.GetIncarnation() > witness.GetIncarnation() {
		witness.Incarnation = member.GetIncarnation()
		witness.Boot = member.GetBoot()
	}
}

// dropStaleWitnesses deletes the witness records of disks that the membership in
// force, which is committed, does not name.
func (n *Node) dropStaleWitnesses() {
	for disk, witness := range n.witnesses {
		if FindMember(n.members.current(), witness.GetId()).GetDisk() != disk {
			delete(n.witnesses, disk)
		}
	}
}

// recordWitnessTerm records the term of a message. Its sender persisted the term
// before it sent the message, except for a pre-vote, whose term nobody has entered
// yet.
func (n *Node) recordWitnessTerm(m *pb.Message) {
	witness := n.witnesses[m.GetDisk()]
	if witness == nil || m.GetKind() == pb.MessageKind_MESSAGE_KIND_PRE_VOTE {
		return
	}
	if witness.GetIncarnation() == m.GetIncarnation() {
		witness.Term = max(witness.GetTerm(), m.GetTerm())
	}
}

// recordWitnessMatch records the index that a disk acknowledged to this leader. An
// entry that was acknowledged in an earlier term may have been overwritten since,
// unless it was committed.
func (n *Node) recordWitnessMatch(disk, match uint64) {
	witness := n.witnesses[disk]
	if witness == nil {
		return
	}
	known := witness.GetMatch()
	if witness.GetMatchTerm() < n.term {
		known = min(known, n.log.committed)
	}
	witness.Match = max(known, match)
	witness.MatchTerm = n.term
}

// refusalFor returns the reason to refuse a replica that registers, or
// REFUSAL_UNSPECIFIED if it may be admitted.
func (n *Node) refusalFor(witness *pb.Witness, m *pb.Message) pb.Refusal {
	stored := m.GetLogIndex()
	sameBoot := m.GetBoot() == witness.GetBoot()
	switch {
	case m.GetIncarnation() < witness.GetIncarnation():
		return pb.Refusal_REFUSAL_SUPERSEDED
	case m.GetIncarnation() == witness.GetIncarnation() && !sameBoot:
		return pb.Refusal_REFUSAL_SUPERSEDED
	case m.GetIncarnation() == witness.GetIncarnation():
		return pb.Refusal_REFUSAL_UNSPECIFIED
	case m.GetTerm() < witness.GetTerm():
		return pb.Refusal_REFUSAL_LOST_STATE
	case stored < min(witness.GetMatch(), n.log.committed):
		return pb.Refusal_REFUSAL_LOST_STATE
	case stored < witness.GetMatch() && m.GetTerm() == witness.GetMatchTerm():
		return pb.Refusal_REFUSAL_LOST_STATE
	}
	return pb.Refusal_REFUSAL_UNSPECIFIED
}

// handleRegister answers the registration of a replica that was started. A replica
// that is not admitted itself answers too, because only its persisted records
// matter.
func (n *Node) handleRegister(m *pb.Message) {
	if n.members.current() == nil {
		return
	}
	member := FindMember(n.members.current(), m.GetFrom())
	if member.GetDisk() != m.GetDisk() {
		n.addContact(m.GetFrom(), m.GetAddr())
		n.refuseNonMember(m)
		return
	}
	witness := n.witnesses[m.GetDisk()]
	if refusal := n.refusalFor(witness, m); refusal != pb.Refusal_REFUSAL_UNSPECIFIED {
		n.refuse(m, refusal, 0)
		return
	}
	if m.GetIncarnation() != witness.GetIncarnation() {
		witness.Incarnation = m.GetIncarnation()
		witness.Boot = m.GetBoot()
		witness.Term = max(witness.GetTerm(), m.GetTerm())
		n.hardStateDirty = true
		if n.role == Leader {
			n.progress[member.GetId()] = n.newProgress(member)
		}
	}
	n.send(&pb.Message{
		Kind: pb.MessageKind_MESSAGE_KIND_REGISTER_RESPONSE, To: m.GetFrom(), ToDisk: m.GetDisk(), Echo: m.GetBoot(),
	})
}

// refuseNonMember refuses a disk that the committed membership does not name.
func (n *Node) refuseNonMember(m *pb.Message) {
	committed := n.members.at(n.log.committed)
	if FindMember(committed.membership, m.GetFrom()).GetDisk() != m.GetDisk() {
		n.refuse(m, pb.Refusal_REFUSAL_NOT_MEMBER, committed.index)
	}
}

func (n *Node) refuse(m *pb.Message, refusal pb.Refusal, index uint64) {
	n.counters.RefusedDisks++
	n.send(&pb.Message{
		Kind: pb.MessageKind_MESSAGE_KIND_REGISTER_RESPONSE, To: m.GetFrom(), ToDisk: m.GetDisk(), Echo: m.GetBoot(),
		Reject: true, Refusal: refusal, LogIndex: index,
	})
}

// checkSender reports whether a message may be handled, given its sender. It covers
// all messages except those about disks.
//
// Requests do not rely on what the sender has stored: a candidate needs an
// up-to-date log, and a leader has been elected. A response does rely on it, so it
// counts only from a disk and a start that are registered here.
func (n *Node) checkSender(m *pb.Message) bool {
	if n.self() == nil && n.role != Leader { // a leader may be removing itself
		return fromLeader(m.GetKind())
	}
	if !n.admission.admitted {
		return false
	}
	witness := n.witnesses[m.GetDisk()]
	if witness != nil && m.GetIncarnation() < witness.GetIncarnation() {
		n.refuse(m, pb.Refusal_REFUSAL_SUPERSEDED, 0)
		return false
	}
	if witness != nil && !fromRegisteredStart(witness, m) {
		n.send(&pb.Message{Kind: pb.MessageKind_MESSAGE_KIND_REGISTER_NEEDED, To: m.GetFrom(), ToDisk: m.GetDisk()})
	}
	return !countsInQuorum(m.GetKind()) || n.isRegistered(m)
}

// isRegistered reports whether the membership names the sender's disk and the
// message comes from its registered start.
func (n *Node) isRegistered(m *pb.Message) bool {
	member := FindMember(n.members.current(), m.GetFrom())
	witness := n.witnesses[m.GetDisk()]
	return member.GetDisk() == m.GetDisk() && witness != nil && fromRegisteredStart(witness, m)
}

// fromRegisteredStart reports whether a message comes from the start that the
// witness record names.
func fromRegisteredStart(witness *pb.Witness, m *pb.Message) bool {
	return witness.GetIncarnation() == m.GetIncarnation() && witness.GetBoot() == m.GetBoot()
}

func fromLeader(kind pb.MessageKind) bool {
	switch kind {
	case pb.MessageKind_MESSAGE_KIND_APPEND, pb.MessageKind_MESSAGE_KIND_HEARTBEAT, pb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		return true
	}
	return false
}

// countsInQuorum reports whether messages of this kind count towards a quorum.
func countsInQuorum(kind pb.MessageKind) bool {
	switch kind {
	case pb.MessageKind_MESSAGE_KIND_PRE_VOTE_RESPONSE, pb.MessageKind_MESSAGE_KIND_VOTE_RESPONSE,
		pb.MessageKind_MESSAGE_KIND_APPEND_RESPONSE, pb.MessageKind_MESSAGE_KIND_HEARTBEAT_RESPONSE:
		return true
	}
	return false
}
