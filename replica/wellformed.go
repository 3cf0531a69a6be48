package replica

import (
	pb "github.com/lilackeel/lilackeel/api/replica/v1"
)

// wellFormed reports whether a correct replica could have sent the message, so that
// the handlers can rely on its structure.
func wellFormed(m *pb.Message) bool {
	if m == nil || m.GetFrom() == 0 || m.GetTerm() > maxIndexOrTerm {
		return false
	}
	if !entriesContiguous(m.GetLogIndex(), m.GetLogTerm(), m.GetTerm(), m.GetEntries()) {
		return false
	}
	if m.GetKind() != pb.MessageKind_MESSAGE_KIND_SNAPSHOT {
		return true
	}
	snapshot := m.GetSnapshot()
	return snapshot.GetIndex() > 0 && snapshot.GetIndex() <= maxIndexOrTerm && snapshot.GetTerm() <= m.GetTerm() &&
		snapshot.GetMembershipIndex() <= snapshot.GetIndex() && wellFormedMembership(snapshot.GetMembership())
}

// maxIndexOrTerm limits indexes and terms so that arithmetic on them cannot
// overflow.
const maxIndexOrTerm = 1 << 62

// entriesContiguous reports whether entries follow the given index and term without
// a gap, and with terms that neither decrease nor exceed limit.
func entriesContiguous(index, term, limit uint64, entries []*pb.Entry) bool {
	if index > maxIndexOrTerm {
		return false
	}
	for _, entry := range entries {
		if entry.GetIndex() != index+1 || entry.GetTerm() < term || entry.GetTerm() > limit {
			return false
		}
		if entry.GetKind() == pb.EntryKind_ENTRY_KIND_MEMBERSHIP && !wellFormedMembership(entry.GetMembership()) {
			return false
		}
		index, term = entry.GetIndex(), entry.GetTerm()
	}
	return true
}

// wellFormedMembership reports whether a membership names a cluster, at least
// one voter, and each member once.
func wellFormedMembership(membership *pb.Membership) bool {
	if membership.GetCluster() == 0 || len(voters(membership)) == 0 {
		return false
	}
	seen := map[uint64]bool{}
	for _, member := range membership.GetMembers() {
		if member.GetId() == 0 || seen[member.GetId()] {
			return false
		}
		seen[member.GetId()] = true
	}
	return true
}
