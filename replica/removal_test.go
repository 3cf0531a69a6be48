package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/proof"
)

// removalBound is the time after the last fault within which a removed replica must
// know of its removal and be a member again.
const removalBound = 50 * simElection

// startManaged returns a cluster that maintains its number of voters and has the
// given number of standbys.
func startManaged(t testing.TB, seed uint64, voters, standbys int) *sim {
	s := newSim(t, seed, voters)
	s.voters = voters
	for id := range uint64(voters) {
		s.hosts[id+1].kill()
		s.hosts[id+1].start()
	}
	s.until(20*simElection, "a leader", func() bool { return s.leader() != nil })
	for n := range standbys {
		id := uint64(voters + n + 1)
		s.add(id, true)
		s.until(20*simElection, "a standby", func() bool { return s.role(id) == pb.Role_ROLE_LEARNER })
	}
	s.commit(s.leader)
	return s
}

// isMember reports whether the leader's membership names the disk on which the host
// runs.
func (s *sim) isMember(h *host) bool {
	leader := s.leader()
	if leader == nil || h.node == nil {
		return false
	}
	return FindMember(leader.node.Membership(), h.id).GetDisk() == h.disk.label.GetIdentity()
}

// rejoin starts the hosts that were fenced on blank disks, as Settings.Recover of
// the daemon does.
func (s *sim) rejoin() {
	for id := uint64(1); id <= uint64(len(s.hosts)); id++ {
		if h := s.hosts[id]; h != nil && h.node != nil && h.node.Err() != nil {
			if fault.KindOf(h.node.Err()) != fault.Fenced {
				s.fatalf("host %d stopped: %v", id, h.node.Err())
			}
			h.join = true
			h.replace(s.blankDisk())
		}
	}
}

func (s *sim) untilMember(h *host) {
	s.t.Helper()
	s.until(removalBound, fmt.Sprint("host ", h.id, " is a member"), func() bool {
		s.rejoin()
		return s.isMember(h)
	})
}

// restartWithPeers restarts hosts with settings that name only these hosts.
func (s *sim) restartWithPeers(hosts []*host) {
	peers := map[uint64]string{}
	for _, h := range hosts {
		peers[h.id] = fmt.Sprint("host-", h.id)
	}
	for _, h := range hosts {
		h.peers = peers
		h.start()
	}
}

// A voter that is frozen or cut off while a standby takes its place misses the entry
// that removes it. It must find that out by itself; otherwise it stays outside for
// good, and the next lost voter has no standby.
func TestRemovedVoterLearnsOfItsRemoval(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Freeze, proof.FullPartition, proof.SecondLoss}, Step: "a voter replaced by a standby while it does not run", Combined: true,
		Guard: "a replica without a leader asks the others whether it is a member"}.Log(t)
	for _, size := range []int{3, 5} {
		for _, how := range []string{"frozen", "cut off", "cut off and unknown to the settings of the others"} {
			t.Run(fmt.Sprint(size, " voters, ", how), func(t *testing.T) {
				s := startManaged(t, 7, size, 1)
				s.intercept = func(m *pb.Message) bool { return m.Kind == pb.MessageKind_MESSAGE_KIND_REMOVED } // it has to ask
				standby := s.hosts[uint64(size+1)]
				removed := s.others(s.leader())[0]
				if how == "frozen" {
					removed.frozen = true
				} else {
					s.isolate(removed.id)
				}
				s.until(40*simElection, "the promotion of the standby", func() bool { return s.role(standby.id) == pb.Role_ROLE_VOTER })
				s.commit(s.leader)
				if how == "cut off and unknown to the settings of the others" {
					s.restartWithPeers(s.others(removed))
					s.commit(s.leader)
				}
				s.heal()
				removed.resume()
				s.untilMember(removed)
				for _, lost := range []*host{s.leader(), s.others(removed)[0]} {
					lost.kill()
					s.until(60*simElection, "a voter in place of the lost one", func() bool {
						return s.role(lost.id) != pb.Role_ROLE_VOTER && s.role(removed.id) == pb.Role_ROLE_VOTER
					})
					lost.join = true
					lost.replace(s.blankDisk())
					s.untilMember(lost)
				}
				s.commit(s.leader)
				s.checkHistory()
			})
		}
	}
}

// A notice that is late, about a membership before the one that names the disk, must
// not end the replica.
func TestLateNoticeOfRemovalIsIgnored(t *testing.T) {
	is := is.New(t)
	s := startManaged(t, 7, 3, 1)
	standby := s.hosts[4]
	for range 3 * simSnapshot {
		s.commit(s.leader)
	}
	s.run(simElection)
	is.True(standby.node.log.base.index > genesisIndex) // the log no longer holds that membership
	late := &pb.Message{
		Kind: pb.MessageKind_MESSAGE_KIND_REMOVED, From: s.leader().id, To: standby.id, Cluster: standby.node.cluster(),
		Echo: standby.disk.label.Identity, LogIndex: genesisIndex,
	}
	standby.node.Step(s.now, late)
	is.NoErr(standby.node.Err())
	late.LogIndex = standby.node.log.last().index + 1
	standby.node.Step(s.now, late)
	is.Equal(fault.KindOf(standby.node.Err()), fault.Fenced)
}

// A replica that neither the settings nor the membership name asks whether it is a
// member. The refusal needs its address.
func TestRefusalReachesReplicaThatNobodyNames(t *testing.T) {
	is := is.New(t)
	s, leader := startCluster(t, 3)
	follower := s.others(leader)[0].node
	follower.Step(s.now, &pb.Message{
		Kind: pb.MessageKind_MESSAGE_KIND_REGISTER, From: 9, To: follower.cfg.ID, Disk: 7, Incarnation: 1, Boot: 5, Addr: "host-9",
	})
	is.Equal(follower.messages[0].GetRefusal(), pb.Refusal_REFUSAL_NOT_MEMBER)
	is.Equal(follower.Peers()[9], "host-9")
	follower.Tick(s.now + contactTimeouts*simElection)
	is.Equal(follower.Peers()[9], "") // no connection is kept
}

// A deposed leader may have appended more entries than its successors. That its log
// is longer must not make it take itself for a member.
func TestDeposedLeaderWithLongerLogLearnsOfItsRemoval(t *testing.T) {
	is := is.New(t)
	s := startManaged(t, 7, 3, 1)
	deposed := s.leader()
	s.isolate(deposed.id)
	for range 40 {
		_, _, _ = deposed.node.Propose(make([]byte, 8))
		deposed.processReady()
	}
	s.until(40*simElection, "another leader", func() bool { return s.leader() != nil && s.leader() != deposed })
	s.until(40*simElection, "the promotion of the standby", func() bool { return s.role(4) == pb.Role_ROLE_VOTER })
	is.True(s.leader().node.log.last().index < deposed.node.log.last().index)
	s.heal()
	s.untilMember(deposed)
	s.commit(s.leader)
	s.checkHistory()
}

// A replica that is cut off while all others are replaced knows nobody any more that
// runs, so that it can't ask. The cluster must not forget it.
func TestRemovedReplicaIsNotifiedWhenAllItKnowsAreGone(t *testing.T) {
	s := startManaged(t, 7, 3, 1)
	removed := s.others(s.leader())[0]
	for _, h := range s.hosts { // all know from their settings the first replicas only
		h.peers = s.peers
	}
	s.isolate(removed.id)
	s.until(40*simElection, "the promotion of the standby", func() bool { return s.role(4) == pb.Role_ROLE_VOTER })
	for _, gone := range s.hosts {
		if gone.id > 3 || gone == removed {
			continue
		}
		id := uint64(len(s.hosts) + 1)
		added := &host{sim: s, id: id, join: true, disk: s.blankDisk(), peers: map[uint64]string{}}
		for _, member := range s.leader().node.Membership().GetMembers() {
			added.peers[member.GetId()] = member.GetAddr()
		}
		s.hosts[id] = added
		added.start()
		s.scheduleTick(added)
		s.isolate(removed.id)
		s.until(40*simElection, "the standby", func() bool { return s.isMember(added) })
		gone.kill()
		s.until(60*simElection, "the promotion", func() bool { return s.role(id) == pb.Role_ROLE_VOTER })
	}
	s.commit(s.leader)
	s.heal()
	s.untilMember(removed)
	s.commit(s.leader)
	s.checkHistory()
}

// The leader may have been added after the entries that a learner has received so far.
// The learner must be able to acknowledge to it all the same; otherwise it gets no
// further entries for as long as this leader leads.
func TestLearnerAcknowledgesLeaderThatItsLogDoesNotName(t *testing.T) {
	is := is.New(t)
	s := startManaged(t, 7, 5, 1)
	wiped, lost := s.others(s.leader())[0], s.others(s.leader())[1]
	s.intercept = func(m *pb.Message) bool { // it gets the first entries only
		return m.To == wiped.id && len(m.Entries) > 0 && m.LogIndex > 0
	}
	wiped.kill()
	s.run(8 * simElection)
	wiped.join = true
	wiped.peers = map[uint64]string{s.leader().id: "the leader"}
	wiped.replace(s.blankDisk())
	lost.kill()
	s.until(60*simElection, "the promotion of the standby", func() bool { return s.role(6) == pb.Role_ROLE_VOTER })
	is.True(wiped.node.Membership() != nil && FindMember(wiped.node.Membership(), 6) == nil)
	s.until(20*simElection, "the new voter leads", func() bool {
		if leader := s.leader(); leader != nil && leader.id != 6 {
			_ = leader.node.TransferLeader(6)
			leader.processReady()
		}
		return s.leader() == s.hosts[6]
	})
	s.intercept = nil
	s.until(20*simElection, "the wiped replica is a voter", func() bool { return s.role(wiped.id) == pb.Role_ROLE_VOTER })
	s.commit(s.leader)
	s.checkHistory()
}

// A replica that joins while the cluster has a place for it must find the leader, even
// if its settings name only a replica that the cluster had no place for.
func TestJoinReachesLeaderThroughReplicaWithoutPlace(t *testing.T) {
	is := is.New(t)
	s := startManaged(t, 7, 3, 3)
	surplus := s.add(7, true)
	s.run(20 * simElection)
	is.True(!s.isMember(surplus))
	added := &host{sim: s, id: 8, join: true, disk: s.blankDisk(), peers: map[uint64]string{surplus.id: "host-7"}}
	s.hosts[8] = added
	added.start()
	s.scheduleTick(added)
	s.until(10*simElection, "the leader is known", func() bool { return added.node.leader == s.leader().id })
	surplus.kill()
	s.others(s.leader())[0].kill()
	s.untilMember(added)
	s.commit(s.leader)
	s.checkHistory()
}

// After faults, each replica that runs is a member and a change is confirmed, for any
// number of voters: no replica waits outside for good, and none waits for another
// that waits for it.
func TestEveryReplicaIsAMemberAfterFaults(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Freeze, proof.FullPartition, proof.OneWayPartition, proof.Kill, proof.Restart, proof.LostDisk, proof.SecondLoss}, Step: "replicas replaced by standbys while they do not run or hear nothing", Combined: true,
		Guard: "the question of a replica without a leader, the notice to removed replicas, each alone"}.Log(t)
	for seed := range *seeds / 8 {
		r := rand.New(rand.NewPCG(seed+*firstSeed, 3))
		size := 3 + 2*r.IntN(3)
		s := startManaged(t, seed+*firstSeed, size, 1+r.IntN(size/2+1))
		for range 8 {
			s.faultOfSome(r)
			s.until(removalBound, "all replicas are members", func() bool {
				s.rejoin()
				for _, h := range s.hosts {
					if !s.isMember(h) {
						return false
					}
				}
				return s.leader().node.Status().MembershipCommitted && len(voters(s.leader().node.Membership())) == size
			})
			s.commitSomewhere()
		}
		s.checkHistory()
	}
}

// commitSomewhere proposes writes at the present leader until one is committed. Right after
// a fault the leader may be deposed, and what was proposed at it is then lost.
func (s *sim) commitSomewhere() {
	s.t.Helper()
	var op *operation
	s.until(30*simElection, "a commit", func() bool {
		if op == nil || !op.done && s.now-op.call > 3*simElection {
			op = s.write(s.leader())
		}
		return op != nil && op.done
	})
}

// faultOfSome disturbs up to half of the hosts at once for up to 60 election timeouts.
// A disk is lost only if no other host is disturbed.
func (s *sim) faultOfSome(r *rand.Rand) {
	disturbed := r.Perm(len(s.hosts))[:1+r.IntN(len(s.hosts)/2)]
	pause := time.Duration(1+r.Int64N(60)) * simElection
	var ends []func()
	for _, n := range disturbed {
		kinds := 5
		if len(disturbed) > 1 {
			kinds--
		}
		ends = append(ends, s.disturb(s.hosts[uint64(n)+1], r.IntN(kinds), r))
		s.run(time.Duration(r.Int64N(int64(6 * simElection))))
	}
	s.run(pause)
	for _, end := range ends {
		end()
	}
	s.heal()
}

// disturb disturbs a host and returns the end of the disturbance.
func (s *sim) disturb(h *host, kind int, r *rand.Rand) (end func()) {
	switch kind {
	case 0:
		h.frozen = true
		return h.resume
	case 1:
		s.isolate(h.id)
		for range r.IntN(40) {
			_, _, _ = h.node.Propose(make([]byte, 8)) // a leader that does not know yet
		}
		h.processReady()
		return func() {}
	case 2:
		for _, other := range s.others(h) { // it receives and is not heard
			s.cuts[[2]uint64{h.id, other.id}] = true
		}
		return func() {}
	case 3:
		h.kill()
		return h.start
	}
	h.kill()
	return func() {
		h.join = true
		h.replace(s.blankDisk())
	}
}
