package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/proof"
)

// An entry is committed on two of three disks, and one of the two is wiped. The
// blank disk must not help the third to elect a leader that lacks the entry.
func TestWipedDiskDoesNotVote(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.LostDisk, proof.FullPartition}, Step: "election after a disk that stored a commit was wiped", Combined: true,
		Guard: "three checks of a disk's identity together: of the message's addressee, of the replica's own membership entry, of the sender of a response"}.Log(t)
	is := is.New(t)
	s, leader := startCluster(t, 3)
	wiped, behind := s.others(leader)[0], s.others(leader)[1]
	s.isolate(behind.id)
	s.commit(s.leader)
	wiped.replace(s.blankDisk())
	s.heal()
	s.isolate(leader.id)
	s.run(30 * simElection)
	is.True(s.leader() == nil || s.leader() == leader) // no quorum
	s.heal()
	s.untilHealthy()
	is.Equal(behind.value, s.nextValue)
	is.Equal(wiped.value, s.nextValue)
}

// A disk that has lost stored state is refused by a witness that knows the later
// state, and its replica must start over with a blank disk.
func TestOldDiskIsRefused(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.StaleDisk}, Step: "start on a disk that lost entries, votes or starts",
		Guard: "the check of a registering disk by its witnesses"}.Log(t)
	type fixture struct {
		*sim
		leader, victim *host
	}
	cutLast := func(d *disk) *disk {
		cut := d.copy()
		cut.entries = cut.entries[:len(cut.entries)-1]
		return cut
	}
	cases := map[string]func(s fixture) *disk{
		"copied in this incarnation": func(s fixture) *disk {
			copied := s.victim.disk.copy()
			s.commit(s.sim.leader)
			return copied
		},
		"copied in an earlier incarnation, with a witness restarted since": func(s fixture) *disk {
			copied := s.victim.disk.copy()
			s.victim.start()
			s.run(4 * simElection)
			s.leader.start()
			return copied
		},
		"lost the end of its log": func(s fixture) *disk {
			s.commit(s.sim.leader)
			return cutLast(s.victim.disk)
		},
		"lost an entry that is not committed": func(s fixture) *disk {
			for _, h := range s.others(s.leader) {
				if h != s.victim {
					s.isolate(h.id)
				}
			}
			s.write(s.leader)
			s.run(simHeartbeat)
			return cutLast(s.victim.disk)
		},
		"lost a committed entry, and voted since": func(s fixture) *disk {
			s.commit(s.sim.leader)
			s.intercept = func(m *pb.Message) bool {
				return m.To == s.victim.id && m.Kind == pb.MessageKind_MESSAGE_KIND_APPEND
			}
			s.leader.node.campaign(true)
			s.leader.processReady()
			s.run(simHeartbeat)
			return cutLast(s.victim.disk)
		},
		"lost its vote": func(s fixture) *disk {
			copied := s.victim.disk.copy()
			s.intercept = func(m *pb.Message) bool {
				return m.To == s.victim.id && m.Kind == pb.MessageKind_MESSAGE_KIND_APPEND
			}
			s.leader.node.campaign(true)
			s.leader.processReady()
			s.run(simHeartbeat)
			return copied
		},
	}
	for name, damage := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, leader := startCluster(t, 5)
			victim := s.others(leader)[0]
			victim.replace(damage(fixture{s, leader, victim}))
			s.intercept = nil
			for _, h := range s.others(victim) {
				if h != leader {
					s.isolate(h.id) // the leader is the only witness
				}
			}
			s.until(5*simElection, "a refusal", func() bool { return victim.node.Err() != nil })
			is.Equal(fault.KindOf(victim.node.Err()), fault.Fenced)
			s.heal()
			victim.replace(s.blankDisk())
			s.untilHealthy()
		})
	}
}

// A copy of a leader's disk that is started while the original is running
// supersedes it. The original commits nothing any more and is fenced.
func TestCopySupersedesOriginal(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.StaleDisk}, Step: "copy of a leader's disk started while the original runs",
		Guard: "the refusal of an earlier incarnation"}.Log(t)
	is := is.New(t)
	s, leader := startCluster(t, 3)
	original, other := leader.node, s.others(leader)[0]
	leader.replace(leader.disk.copy())
	s.until(10*simElection, "the copy's admission", func() bool { return leader.node.Status().Admitted })
	last := other.node.log.last()
	_, _, err := original.Propose(nil)
	is.NoErr(err) // the original does not know yet
	for _, m := range original.Ready().Early {
		if m.To == other.id {
			other.node.Step(s.now, m)
		}
	}
	is.Equal(other.node.log.last(), last)
	for _, m := range other.node.Ready().Messages {
		original.Step(s.now, m)
	}
	is.Equal(fault.KindOf(original.Err()), fault.Fenced)
}

// A response counts only from the disk that the membership names, and a blank disk
// does not replace that of an active member.
func TestResponseOfUnlistedDiskIsIgnored(t *testing.T) {
	is := is.New(t)
	s, leader := startCluster(t, 3)
	other := s.others(leader)[0]
	last := leader.node.log.last()
	leader.node.Step(s.now, &pb.Message{Kind: pb.MessageKind_MESSAGE_KIND_JOIN, From: other.id, To: leader.id, Disk: 1, Incarnation: 1})
	is.Equal(leader.node.log.last(), last)
	s.isolate(leader.id)
	s.write(leader)
	response := &pb.Message{
		Kind: pb.MessageKind_MESSAGE_KIND_APPEND_RESPONSE, From: other.id, To: leader.id, Term: leader.node.term,
		LogIndex: leader.node.log.last().index, Disk: 1, Incarnation: other.disk.label.Incarnation, Boot: other.node.cfg.Boot,
	}
	leader.node.Step(s.now, response)
	is.True(leader.node.log.committed < response.LogIndex)
	response.Disk = other.disk.label.Identity
	leader.node.Step(s.now, response)
	is.Equal(leader.node.log.committed, response.LogIndex)
}

// A second disk is lost as soon as the first is replaced. The learner that replaced
// the first gets a vote only once it has caught up, so no entry is lost.
func TestSecondLossRightAfterRepair(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.LostDisk, proof.SecondLoss}, Step: "second disk lost when the first is replaced", Combined: true,
		Guard: "promotion only of a learner that has caught up; a blank disk joins as a learner; each alone"}.Log(t)
	is := is.New(t)
	s, leader := startCluster(t, 3)
	first, second := s.others(leader)[0], s.others(leader)[1]
	s.intercept = func(m *pb.Message) bool { // the learner receives heartbeats, but no entries
		return m.To == first.id && (m.Kind == pb.MessageKind_MESSAGE_KIND_APPEND || m.Kind == pb.MessageKind_MESSAGE_KIND_SNAPSHOT)
	}
	first.replace(s.blankDisk())
	s.run(20 * simElection)
	s.commit(s.leader)
	member := FindMember(leader.node.Membership(), first.id)
	is.Equal(member.Disk, first.disk.label.Identity) // it is a member
	is.Equal(member.Role, pb.Role_ROLE_LEARNER)      // without a vote
	_, _, err := leader.node.ProposeConfChange(ConfChange{Kind: Promote, ID: first.id})
	is.Equal(fault.KindOf(err), fault.Conflict)
	s.intercept = nil
	s.until(20*simElection, "the promotion", func() bool { return isVoter(first.node.self()) })
	second.replace(s.blankDisk())
	s.commit(s.leader)
	s.untilHealthy()
	is.Equal(second.value, s.nextValue)
}

// Reads arrive so often that their heartbeat rounds postpone all regular
// heartbeats. A replica that replaced a lost disk is promoted nevertheless.
func TestReadsDoNotDelayPromotion(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.LostDisk}, Step: "reads at every moment of the repair",
		Guard: "promotion at every tick of the leader"}.Log(t)
	s, leader := startCluster(t, 3)
	repaired := s.others(leader)[0]
	repaired.replace(s.blankDisk())
	s.until(40*simElection, "the promotion", func() bool {
		s.read(leader)
		return isVoter(repaired.node.self())
	})
}

// The cluster recovers from a restart of all hosts, and from the restart of one
// while another is down.
func TestFullRestartAndRestartWithOneDown(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Kill, proof.Restart}, Step: "restart of all, and of one while another is down", Combined: true,
		Guard: "admission by a quorum when not all answer"}.Log(t)
	s, leader := startCluster(t, 3)
	all := append(s.others(leader), leader)
	for _, h := range all {
		h.kill()
	}
	for _, h := range all {
		h.start()
	}
	s.commit(s.leader)
	down := s.others(leader)[0]
	down.kill()
	s.others(down)[0].start()
	s.commit(s.leader)
	s.others(down)[0].start()
	s.others(down)[1].start()
	s.commit(s.leader)
	down.start()
	s.untilHealthy()
}

// startAndKillAll returns a cluster of three replicas that have committed a write
// and were all killed an election timeout ago.
func startAndKillAll(t *testing.T, seed uint64, election time.Duration) *sim {
	s := newTimedSim(t, seed, 3, election, DefaultHeartbeatInterval)
	s.until(20*election, "a leader", func() bool { return s.leader() != nil })
	s.commit(s.leader)
	for _, h := range s.hosts {
		h.kill()
	}
	s.run(election)
	return s
}

// When all replicas are restarted there is no leader to wait for, so they must
// elect one well before an election timeout has passed. That timeout applies
// only to a leader that a replica has heard from.
func TestFullRestartElectsLeaderSoon(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Kill, proof.Restart}, Step: "time without a leader after a restart of all",
		Guard: "Node.minElectionWait: no election timeout before a leader was heard from"}.Log(t)
	const election, spread, bound = time.Second, 300 * time.Millisecond, 1300 * time.Millisecond
	for seed := range uint64(100) {
		s := startAndKillAll(t, seed, election)
		for id := uint64(1); id <= 3; id++ {
			s.run(spread / 3)
			s.hosts[id].start()
		}
		s.until(bound, "a leader soon after the restart of all", func() bool { return s.leader() != nil })
		s.commit(s.leader)
		s.checkHistory()
	}
}

// When all replicas are restarted and one has lost its disk, the others do not wait
// for its agreement, because the join message from its blank disk shows that the
// old disk is lost. Otherwise the first leader would be elected only after
// AdmissionWait, two election timeouts.
func TestLostDiskDoesNotDelayElectionAfterFullRestart(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Kill, proof.Restart, proof.LostDisk}, Step: "time without a leader after a restart of all", Combined: true,
		Guard: "admission does not wait for a disk that was replaced"}.Log(t)
	const election, bound = time.Second, 600 * time.Millisecond
	for seed := range uint64(100) {
		s := startAndKillAll(t, seed, election)
		lost := s.hosts[1+seed%3]
		for _, h := range s.hosts {
			if h == lost {
				h.replace(s.blankDisk())
				continue
			}
			h.start()
		}
		s.until(bound, "a leader soon after the restart of all", func() bool { return s.leader() != nil })
		s.commit(s.leader)
		s.untilHealthy()
		s.checkHistory()
	}
}

// A restarted replica must not take part before the others have admitted it, even
// if it is the first to campaign.
func TestRestartedReplicaWaitsForAdmission(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Restart, proof.FullPartition}, Step: "first messages after a restart", Combined: true,
		Guard: "no participation before admission"}.Log(t)
	is := is.New(t)
	s, leader := startCluster(t, 3)
	h := s.others(leader)[0]
	s.isolate(h.id)
	h.start()
	s.run(10 * simElection)
	is.True(!h.node.Status().Admitted)
	is.True(h.node.role == Follower) // it does not even campaign
	votes := 0
	s.intercept = func(m *pb.Message) bool {
		if m.From == h.id && countsInQuorum(m.Kind) {
			votes++
		}
		return m.To == h.id && m.Kind == pb.MessageKind_MESSAGE_KIND_REGISTER_RESPONSE
	}
	s.heal()
	s.run(10 * simElection)
	is.Equal(votes, 0)
}

// The disk of the replica that bootstrapped the cluster is wiped. Delayed join
// messages that the others sent while their disks were blank must not make it
// bootstrap a second cluster.
func TestLateJoinsDoNotBootstrapSecondCluster(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.LostDisk, proof.DelayedMessages}, Step: "bootstrapping replica wiped while old join messages are in transit", Combined: true,
		Guard: "a join counts only if it echoes the current disk"}.Log(t)
	is := is.New(t)
	s := newSim(t, 7, 3)
	var joins []*pb.Message
	s.intercept = func(m *pb.Message) bool {
		if m.To == 1 && m.Kind == pb.MessageKind_MESSAGE_KIND_JOIN && len(joins) < 100 {
			joins = append(joins, m)
		}
		return false
	}
	s.until(20*simElection, "a leader", func() bool { return s.leader() != nil })
	bootstrapper := s.hosts[1]
	bootstrapper.replace(s.blankDisk())
	s.isolate(1)
	for _, m := range joins {
		bootstrapper.node.Step(s.now, m)
		bootstrapper.processReady()
	}
	is.Equal(bootstrapper.node.Membership(), nil)
	s.heal()
	s.untilHealthy()
}

// The entry that made a blank disk a learner is overwritten after the learner has
// received it. The learner must send join again.
func TestLearnerWhoseEntryWasOverwrittenRejoins(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.LostDisk, proof.FullPartition, proof.LostMessages}, Step: "entry that added a blank disk is overwritten", Combined: true,
		Guard: "a learner that hears from no leader sends join again"}.Log(t)
	s, leader := startCluster(t, 5)
	blank := s.others(leader)[0]
	s.intercept = func(m *pb.Message) bool { // appends reach only the blank disk
		return m.From == leader.id && m.To != blank.id && m.Kind == pb.MessageKind_MESSAGE_KIND_APPEND
	}
	blank.replace(s.blankDisk())
	s.until(20*simElection, "the membership entry", func() bool { return blank.node.self() != nil })
	s.isolate(leader.id)
	s.intercept = nil
	s.until(10*simElection, "another leader", func() bool { return s.leader() != nil && s.leader() != leader })
	s.commit(s.leader)
	s.heal()
	s.untilHealthy()
}
