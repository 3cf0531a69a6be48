package replica

import (
	"testing"

	"github.com/matryer/is"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
	"github.com/lilackeel/lilackeel/proof"
)

// startSelfManaged returns a cluster that maintains three voters without an
// operator, and its leader.
func startSelfManaged(t *testing.T) (*sim, *host) {
	s, _ := startCluster(t, 3)
	s.voters = 3
	for _, h := range s.hosts {
		h.kill()
		h.start()
	}
	s.until(20*simElection, "a leader", func() bool { return s.leader() != nil })
	s.commit(s.leader)
	return s, s.leader()
}

func (s *sim) role(id uint64) pb.Role {
	leader := s.leader()
	if leader == nil {
		return pb.Role_ROLE_UNSPECIFIED
	}
	return FindMember(leader.node.Membership(), id).GetRole()
}

// A host is lost permanently, and a replica at a new address with a blank disk
// replaces it. Once the new replica is a voter, the next host may be lost.
func TestUnknownReplicaReplacesLostVoter(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Kill, proof.LostDisk, proof.SecondLoss}, Step: "a host replaced at another address", Combined: true,
		Guard: "one change removes the unresponsive voter and adds the new replica"}.Log(t)
	is := is.New(t)
	s, leader := startSelfManaged(t)
	lost, second := s.others(leader)[0], s.others(leader)[1]
	lost.kill()
	s.run(4 * simElection)
	s.add(4, true)
	s.until(10*simElection, "the new voter", func() bool { return s.role(4) == pb.Role_ROLE_VOTER })
	is.Equal(s.role(lost.id), pb.Role_ROLE_UNSPECIFIED)
	second.kill()
	s.commit(s.leader)
	s.checkHistory()
}

// A replica that joins while all voters are active becomes a standby, and replaces
// a voter that fails. When that voter returns, its disk is refused and it joins
// with a blank one.
func TestStandbyReplacesUnresponsiveVoter(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Kill, proof.Restart}, Step: "a host replaced by a standby replica", Combined: true,
		Guard: "a standby has no vote while all voters are active"}.Log(t)
	is := is.New(t)
	s, leader := startSelfManaged(t)
	s.add(4, true)
	s.until(10*simElection, "the standby", func() bool { return s.role(4) == pb.Role_ROLE_LEARNER })
	s.run(10 * simElection)
	is.Equal(s.role(4), pb.Role_ROLE_LEARNER) // no fourth voter
	lost := s.others(leader)[0]
	lost.kill()
	s.until(40*simElection, "the promotion of the standby", func() bool { return s.role(4) == pb.Role_ROLE_VOTER })
	s.commit(s.leader)
	lost.start()
	s.until(20*simElection, "the refusal", func() bool { return lost.node.Err() != nil })
	lost.join = true
	lost.replace(s.blankDisk())
	s.until(20*simElection, "the new standby", func() bool { return s.role(lost.id) == pb.Role_ROLE_LEARNER })
	s.commit(s.leader)
	s.checkHistory()
}

// A voter pauses for longer than RepairAfter just when a replica joins. It must keep its
// place: its disk is intact, and without it the next lost disk leaves one copy.
func TestVoterThatPausesDuringJoinKeepsItsPlace(t *testing.T) {
	is := is.New(t)
	s, leader := startSelfManaged(t)
	paused := s.others(leader)[0]
	paused.frozen = true
	s.run(simRepairAfter + simElection)
	s.add(4, true)
	s.run(simElection)
	paused.resume()
	s.until(10*simElection, "the standby", func() bool { return s.role(4) == pb.Role_ROLE_LEARNER })
	is.Equal(s.role(paused.id), pb.Role_ROLE_VOTER)
	is.NoErr(paused.node.Err())
	s.commit(s.leader)
}

// A replica that replaces a lost voter is itself lost before it is promoted. Another one
// must take its place; otherwise the cluster is one voter short for good, and the next
// loss ends it.
func TestReplacementThatIsLostBeforePromotion(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Kill, proof.SecondLoss}, Step: "a replacement lost before it is promoted", Combined: true,
		Guard: "a learner that is to be promoted is replaced like a voter"}.Log(t)
	for _, standbyFirst := range []bool{false, true} {
		is := is.New(t)
		s, leader := startSelfManaged(t)
		s.others(leader)[0].kill()
		s.run(3 * simRepairAfter)
		lost := s.add(4, true)
		s.until(10*simElection, "the learner", func() bool { return s.role(4) == pb.Role_ROLE_LEARNER })
		lost.kill()
		if !standbyFirst {
			s.run(5 * simRepairAfter)
		}
		s.add(5, true)
		s.until(40*simElection, "the new voter", func() bool { return s.role(5) == pb.Role_ROLE_VOTER })
		is.Equal(len(voters(s.leader().node.Membership())), 3)
		s.others(s.leader())[1].kill()
		s.commit(s.leader)
		s.checkHistory()
	}
}

// Without Config.Voters, membership changes are up to the operator.
func TestUnknownReplicaIsNotAddedWithoutVoterTarget(t *testing.T) {
	is := is.New(t)
	s, leader := startCluster(t, 3)
	s.others(leader)[0].kill()
	s.run(10 * simElection)
	s.add(4, true)
	s.run(20 * simElection)
	is.Equal(s.role(4), pb.Role_ROLE_UNSPECIFIED)
}

// A replica loses its disk after its settings were changed to name only replicas
// other than the leader. It must be added again nevertheless; otherwise the cluster
// would survive one further loss fewer.
func TestBlankDiskRejoinsWithoutLeaderInSettings(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Kill, proof.LostDisk}, Step: "settings that do not name the leader", Combined: true,
		Guard: "a follower forwards the join message of a blank disk to the leader"}.Log(t)
	is := is.New(t)
	s, leader := startCluster(t, 5)
	lost := s.others(leader)[0]
	lost.peers = map[uint64]string{}
	for _, h := range s.others(leader) {
		lost.peers[h.id] = "a follower"
	}
	lost.kill()
	s.run(8 * simElection)
	lost.join = true
	lost.replace(s.blankDisk())
	s.until(20*simElection, "the new disk as a voter", func() bool {
		member := FindMember(leader.node.Membership(), lost.id)
		return member.GetDisk() == lost.disk.label.GetIdentity() && isVoter(member)
	})
	is.Equal(s.leader().id, leader.id)
	s.commit(s.leader)
	s.checkHistory()
}

// Two followers that take each other for the leader must not forward a join message
// back and forth.
func TestJoinIsForwardedOnce(t *testing.T) {
	is := is.New(t)
	s, leader := startCluster(t, 3)
	follower := s.others(leader)[0].node
	join := &pb.Message{Kind: pb.MessageKind_MESSAGE_KIND_JOIN, From: 9, To: follower.cfg.ID, Disk: 7, Addr: "host-9"}
	follower.messages = nil
	follower.handleJoin(join)
	is.Equal(len(follower.messages), 1)
	forwarded := follower.messages[0]
	is.Equal(forwarded.GetTo(), leader.id)
	is.Equal(forwarded.GetFrom(), uint64(9))
	is.Equal(forwarded.GetDisk(), uint64(7))
	is.Equal(join.GetTo(), follower.cfg.ID) // the sender's message is not modified
	follower.messages = nil
	follower.handleJoin(forwarded)
	is.Equal(len(follower.messages), 0)
	join.Cluster = follower.cluster() // from a learner whose membership is out of date
	follower.handleJoin(join)
	is.Equal(len(follower.messages), 1)
	is.Equal(follower.messages[0].GetTo(), leader.id)
}

// A voter is down, and the leader replaces it by the standby; before the other voter has
// stored that change it loses its disk. When all are back, the cluster must recover: one
// disk of three was lost.
func TestDiskLostWhileAnotherVoterIsReplaced(t *testing.T) {
	s := startManaged(t, 7, 3, 1)
	leader := s.leader()
	down, wiped := s.others(leader)[0], s.others(leader)[1]
	down.kill()
	s.intercept = func(m *pb.Message) bool { // the change is sent and does not arrive
		return m.To == wiped.id && len(m.Entries) > 0 && m.Entries[len(m.Entries)-1].Kind == pb.EntryKind_ENTRY_KIND_MEMBERSHIP
	}
	s.until(40*simElection, "the change is proposed", func() bool {
		return FindMember(leader.node.Membership(), down.id) == nil || len(voters(leader.node.Membership())) > 3
	})
	wiped.kill()
	s.run(3 * simElection)
	s.intercept = nil
	down.start()
	wiped.join = true
	wiped.replace(s.blankDisk())
	for _, h := range []*host{down, wiped, leader} {
		s.untilMember(h)
	}
	s.commitSomewhere()
	s.checkHistory()
}
