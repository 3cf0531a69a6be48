package replica

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
)

// indexedMembership is a membership and the index of the entry that set it.
type indexedMembership struct {
	index      uint64
	membership *pb.Membership
}

// membershipHistory is a list of memberships by index, the last of which is in
// force. Older ones are kept as far back as the log reaches, because a truncation
// of the log may bring them back into force.
type membershipHistory []indexedMembership

func (m membershipHistory) current() *pb.Membership {
	if len(m) == 0 {
		return nil
	}
	return m[len(m)-1].membership
}

func (m membershipHistory) index() uint64 {
	if len(m) == 0 {
		return 0
	}
	return m[len(m)-1].index
}

// at returns the membership in force at index.
func (m membershipHistory) at(index uint64) indexedMembership {
	for i := len(m) - 1; i >= 0; i-- {
		if m[i].index <= index {
			return m[i]
		}
	}
	return indexedMembership{}
}

// truncate removes the memberships from index on.
func (m membershipHistory) truncate(index uint64) membershipHistory {
	for len(m) > 0 && m[len(m)-1].index >= index {
		m = m[:len(m)-1]
	}
	return m
}

// compact removes the memberships that were replaced at or before index.
func (m membershipHistory) compact(index uint64) membershipHistory {
	for len(m) > 1 && m[1].index <= index {
		m = m[1:]
	}
	return m
}

// FindMember returns the member with the given id, or nil.
func FindMember(membership *pb.Membership, id uint64) *pb.Member {
	for _, member := range membership.GetMembers() {
		if member.GetId() == id {
			return member
		}
	}
	return nil
}

func isVoter(member *pb.Member) bool { return member.GetRole() == pb.Role_ROLE_VOTER }

func voters(membership *pb.Membership) []*pb.Member {
	var found []*pb.Member
	for _, member := range membership.GetMembers() {
		if isVoter(member) {
			found = append(found, member)
		}
	}
	return found
}

// quorum returns the number of voters that form a majority.
func quorum(membership *pb.Membership) int { return len(voters(membership))/2 + 1 }

// withMember returns a copy of membership in which member is added or replaces the
// one with the same id.
func withMember(membership *pb.Membership, member *pb.Member) *pb.Membership {
	changed := withoutMember(membership, member.GetId())
	changed.Members = append(changed.Members, member)
	changed.Removed = withoutReplica(changed.GetRemoved(), member.GetId())
	slices.SortFunc(changed.Members, func(a, b *pb.Member) int {
		return cmp.Compare(a.GetId(), b.GetId())
	})
	return changed
}

// withoutMember returns a copy of membership without the member with this id.
func withoutMember(membership *pb.Membership, id uint64) *pb.Membership {
	changed := proto.CloneOf(membership)
	changed.Members = slices.DeleteFunc(changed.Members, func(member *pb.Member) bool {
		return member.GetId() == id
	})
	return changed
}
