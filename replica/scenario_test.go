package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/proof"
)

// startCluster returns a cluster that has committed a write, and its leader.
func startCluster(t *testing.T, voters int) (*sim, *host) {
	s := newSim(t, 7, voters)
	s.until(20*simElection, "a leader", func() bool { return s.leader() != nil })
	s.commit(s.leader)
	s.run(simElection)
	return s, s.leader()
}

// commit proposes writes at the host that at returns until one is committed.
func (s *sim) commit(at func() *host) {
	s.t.Helper()
	var op *operation
	s.until(30*s.election, "a commit", func() bool {
		if op == nil || at() == nil || at().node.role != Leader {
			op = s.write(at())
		}
		return op != nil && op.done
	})
}

// others returns the hosts other than h, in the order of their ids.
func (s *sim) others(h *host) []*host {
	var found []*host
	for id := uint64(1); id <= uint64(len(s.hosts)); id++ {
		if id != h.id {
			found = append(found, s.hosts[id])
		}
	}
	return found
}

func (s *sim) untilHealthy() {
	s.t.Helper()
	s.until(60*simElection, "all voters healthy", s.allVotersHealthy)
}

func TestCutOffLeaderCannotCommitOrRead(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.FullPartition}, Step: "write and read at a leader that is cut off",
		Guard: "the round of heartbeats before a read, and check-quorum, each alone"}.Log(t)
	is := is.New(t)
	s, old := startCluster(t, 3)
	s.isolate(old.id)
	write, read := s.write(old), s.read(old)
	is.True(write != nil && read != nil) // it still believes that it leads
	other := s.others(old)[0]
	s.until(10*simElection, "another leader", func() bool { return s.leader() != nil && s.leader() != old })
	s.commit(s.leader)
	is.True(!write.done)
	is.True(!read.done)
	is.True(old.node.role != Leader) // check-quorum
	is.True(s.read(old) == nil)      // refused immediately
	_, _, err := old.node.Propose(nil)
	is.Equal(fault.KindOf(err), fault.NoQuorum)
	s.heal()
	s.untilHealthy()
	s.read(other)
	s.run(simElection)
	s.checkHistory()
}

// The clock of an isolated leader stops, so that to the leader the last responses
// stay recent. It must not commit or serve reads nevertheless.
func TestLeaderWithStoppedClock(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.FullPartition, proof.ClockStep}, Step: "write and read at a leader that is cut off", Combined: true,
		Guard: "reads confirmed by a quorum, not by the leader's clock"}.Log(t)
	is := is.New(t)
	s, old := startCluster(t, 3)
	old.clock = -time.Hour
	s.isolate(old.id)
	s.until(10*simElection, "another leader", func() bool { return s.leader() != nil && s.leader() != old })
	s.commit(s.leader)
	write, read := s.write(old), s.read(old)
	s.run(10 * simElection)
	is.Equal(old.node.role, Leader)
	is.True(!write.done)
	is.True(!read.done)
	s.heal()
	s.untilHealthy()
	s.checkHistory()
}

// A leader that the others receive messages from, but that receives none from them,
// must step down.
func TestLeaderThatReceivesNothingStepsDown(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.OneWayPartition}, Step: "leader that reaches the others and receives nothing from them",
		Guard: "check-quorum"}.Log(t)
	s, old := startCluster(t, 3)
	for _, h := range s.others(old) {
		s.cuts[[2]uint64{h.id, old.id}] = true
	}
	s.until(10*simElection, "another leader", func() bool { return s.leader() != nil && s.leader() != old })
	s.commit(s.leader)
}

// A replica that returns after a long partition must not depose a working leader.
func TestReturningReplicaDoesNotDeposeLeader(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.FullPartition}, Step: "replica returns after a long partition",
		Guard: "the pre-vote"}.Log(t)
	is := is.New(t)
	s, leader := startCluster(t, 3)
	term := leader.node.term
	isolated := s.others(leader)[0]
	s.isolate(isolated.id)
	s.run(20 * simElection)
	for range 3 * simSnapshot {
		s.commit(s.leader)
	}
	s.heal()
	s.untilHealthy() // by snapshot, as the log it needs is compacted
	is.True(isolated.disk.snapshot != nil)
	is.Equal(s.leader(), leader)
	is.Equal(leader.node.term, term)
}

// A vote in a term that the voter already knew survives its restart.
func TestVoteSurvivesRestart(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Restart}, Step: "vote in a term that the voter knew",
		Guard: "the vote is stored before it is sent"}.Log(t)
	is := is.New(t)
	s, leader := startCluster(t, 3)
	voter, rival := s.others(leader)[0], s.others(leader)[1]
	s.intercept = func(m *pb.Message) bool { return !isDiskMessage(m.Kind) }
	s.run(2 * simElection) // no leader counts as active any more
	term := voter.node.term + 10
	request := func(from *host) *pb.Message {
		last := from.node.log.last()
		return &pb.Message{
			Kind: pb.MessageKind_MESSAGE_KIND_VOTE, From: from.id, To: voter.id, Term: term, LogIndex: last.index, LogTerm: last.term,
			Disk: from.disk.label.Identity, Incarnation: from.disk.label.Incarnation, Boot: from.node.cfg.Boot,
		}
	}
	adopt := request(leader)
	adopt.LogIndex, adopt.LogTerm = 0, 0 // refused, but the term is adopted
	voter.node.Step(s.now, adopt)
	voter.processReady()
	is.Equal(voter.disk.hard.Term, term)
	voter.node.Step(s.now, request(leader))
	voter.processReady()
	is.Equal(voter.node.vote, leader.id)
	voter.start()
	s.until(10*simElection, "admission", func() bool { return voter.node.Status().Admitted })
	voter.node.Step(s.now, request(rival))
	is.Equal(voter.node.vote, leader.id)
}

func isDiskMessage(kind pb.MessageKind) bool {
	return kind >= pb.MessageKind_MESSAGE_KIND_JOIN
}

// An entry of an earlier term is not committed merely by being stored on a
// majority: a leader with a newer entry may still overwrite it.
func TestEntryOfEarlierTermIsNotCommittedAlone(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.FullPartition, proof.LostMessages}, Step: "commit of an entry of an earlier term", Combined: true,
		Guard: "a leader commits by counting only entries of its own term"}.Log(t)
	is := is.New(t)
	s, first := startCluster(t, 3)
	voter, second := s.others(first)[0], s.others(first)[1]
	s.isolate(first.id)
	first.node.Propose(make([]byte, 300)) // above MaxAppendBytes, so sent alone
	first.processReady()
	index := first.node.log.last().index
	lead := func(h, without *host) {
		s.heal()
		s.isolate(without.id)
		s.until(simElection/2, "another leader", func() bool {
			if h.node.role != Leader {
				h.node.campaign(true)
				h.processReady()
			}
			return s.leader() == h
		})
	}
	s.intercept = func(m *pb.Message) bool { // the second leader's entry reaches no other replica
		return m.From == second.id && m.Kind == pb.MessageKind_MESSAGE_KIND_APPEND
	}
	lead(second, first)
	s.intercept = func(m *pb.Message) bool { // the first leader's old entry reaches the voter, its new one does not
		return len(m.Entries) > 0 && m.Entries[0].Index > index && voter.node.log.last().index >= index
	}
	lead(first, second)
	s.until(simElection, "the old entry at the voter", func() bool { return voter.node.log.last().index >= index })
	s.run(2 * simHeartbeat)
	is.True(first.node.log.committed < index)
	s.intercept = nil
	lead(second, first)
	s.commit(s.leader)
	s.heal()
	s.untilHealthy()
}

// A follower that receives nothing from the leader, but reaches the other replicas,
// must not depose the leader.
func TestFollowerCutOffFromLeaderDoesNotDeposeIt(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.OneWayPartition}, Step: "follower that the leader does not reach",
		Guard: "the pre-vote, and its refusal by replicas that hear from a leader, each alone"}.Log(t)
	is := is.New(t)
	s, leader := startCluster(t, 3)
	term := leader.node.term
	s.cuts[[2]uint64{leader.id, s.others(leader)[0].id}] = true
	s.run(30 * simElection)
	is.Equal(s.leader(), leader)
	is.Equal(leader.node.term, term)
}

// A single voter needs no other votes, but must store its new term before its
// learner sees it.
func TestSingleVoterWithLearner(t *testing.T) {
	s, leader := startCluster(t, 1)
	s.add(2, true)
	leader.node.ProposeConfChange(ConfChange{Kind: AddLearner, ID: 2, Addr: "host-2"})
	leader.processReady()
	s.until(20*simElection, "the learner's log", func() bool { return s.hosts[2].value == leader.value })
	leader.start()
	s.commit(s.leader)
	s.until(20*simElection, "the learner's log", func() bool { return s.hosts[2].value == leader.value })
}

func TestMembershipChangesOneAtATime(t *testing.T) {
	is := is.New(t)
	s, leader := startCluster(t, 3)
	s.add(4, true)
	_, _, err := leader.node.ProposeConfChange(ConfChange{Kind: AddVoter, ID: 4, Addr: "host-4"})
	is.NoErr(err)
	_, _, err = leader.node.ProposeConfChange(ConfChange{Kind: Remove, ID: 3})
	is.Equal(fault.KindOf(err), fault.Conflict) // the first change is not committed
	leader.processReady()
	s.until(20*simElection, "a fourth voter", func() bool { return len(voters(leader.node.Membership())) == 4 })
	s.untilHealthy()
	index, _, err := leader.node.ProposeConfChange(ConfChange{Kind: Remove, ID: leader.id})
	is.NoErr(err)
	leader.processReady()
	s.until(simElection/2, "the leader steps down", func() bool { return leader.node.role == Follower })
	is.Equal(leader.node.log.committed, index) // it led until its removal was committed
	s.until(10*simElection, "a leader among the remaining voters", func() bool { return s.leader() != nil })
	s.commit(s.leader)
	is.True(FindMember(s.leader().node.Membership(), leader.id) == nil)
}

// A new leader does not know whether its predecessor's membership change is
// committed, and must refuse changes until it has committed an entry.
func TestNewLeaderRefusesChangesBeforeFirstCommit(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.LostMessages}, Step: "membership change by a new leader",
		Guard: "the wait for a commit in the leader's own term"}.Log(t)
	is := is.New(t)
	s, leader := startCluster(t, 3)
	s.intercept = func(m *pb.Message) bool { return m.Kind == pb.MessageKind_MESSAGE_KIND_APPEND }
	leader.node.campaign(true)
	leader.processReady()
	s.until(simElection, "a second term", func() bool { return leader.node.role == Leader })
	_, _, err := leader.node.ProposeConfChange(ConfChange{Kind: Remove, ID: 3})
	is.Equal(fault.KindOf(err), fault.Conflict)
}

// A new leader that does not know of its predecessor's last commit must not serve a
// read before it has committed an entry itself.
func TestNewLeaderServesNoReadBeforeFirstCommit(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.FullPartition, proof.LostMessages}, Step: "read at a new leader", Combined: true,
		Guard: "reads deferred until a commit in the leader's own term"}.Log(t)
	is := is.New(t)
	s, old := startCluster(t, 3)
	next := s.others(old)[0]
	write := s.write(old)
	s.intercept = func(m *pb.Message) bool { // the entry is delivered, its commit index is not
		return m.From == old.id && m.To == next.id && len(m.Entries) == 0
	}
	s.until(simElection/2, "the commit", func() bool { return write.done })
	s.intercept = func(m *pb.Message) bool { return m.From == next.id && m.Kind == pb.MessageKind_MESSAGE_KIND_APPEND }
	s.isolate(old.id)
	next.node.campaign(true)
	next.processReady()
	s.until(simElection/2, "another leader", func() bool { return s.leader() == next })
	read := s.read(next)
	s.run(2 * simHeartbeat)
	is.True(!read.done)
	s.intercept = nil
	s.until(simElection, "the read", func() bool { return read.done })
	is.Equal(read.value, write.value)
}

// A candidate that lacks a committed entry must not be elected.
func TestCandidateWithStaleLogIsNotElected(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.FullPartition}, Step: "vote for a candidate that lacks a committed entry",
		Guard: "the comparison of logs before a vote"}.Log(t)
	is := is.New(t)
	s, leader := startCluster(t, 3)
	behind := s.others(leader)[0]
	s.isolate(behind.id)
	s.commit(s.leader)
	s.heal()
	behind.node.campaign(true)
	behind.processReady()
	s.until(10*simElection, "a leader", func() bool { return s.leader() != nil && s.leader().node.term >= behind.node.term })
	is.True(s.leader() != behind)
	s.untilHealthy()
}

// A late append, or one before the entries that the follower has compacted, is
// answered with the commit index and changes nothing. An append that leaves a gap
// changes nothing either.
func TestLateAndMalformedAppends(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.DelayedMessages}, Step: "append of compacted entries",
		Guard: "appends below the commit index are answered, not merged"}.Log(t)
	is := is.New(t)
	s, leader := startCluster(t, 3)
	for range 3 * simSnapshot {
		s.commit(s.leader)
	}
	s.run(simElection)
	follower := s.others(leader)[0].node
	before := follower.log
	is.True(before.base.index > 1)
	m := &pb.Message{
		Kind: pb.MessageKind_MESSAGE_KIND_APPEND, From: leader.id, To: follower.cfg.ID, Term: leader.node.term,
		LogIndex: 1, LogTerm: 1, Entries: []*pb.Entry{{Index: 2, Term: 2}}, Cluster: leader.node.cluster(),
		Disk: leader.disk.label.Identity, Incarnation: leader.disk.label.Incarnation, Boot: leader.node.cfg.Boot,
	}
	follower.Step(s.now, m)
	is.Equal(follower.log, before)
	response := follower.Ready().Messages[0]
	is.True(!response.Reject)
	is.Equal(response.LogIndex, before.committed)
	m.LogIndex, m.LogTerm = before.last().index, before.last().term
	m.Entries[0].Index = m.LogIndex + 2
	follower.Step(s.now, m)
	is.Equal(follower.log, before)
}

func TestTransferLeader(t *testing.T) {
	is := is.New(t)
	s, leader := startCluster(t, 3)
	target := s.others(leader)[1]
	is.NoErr(leader.node.TransferLeader(target.id))
	_, _, err := leader.node.Propose(nil)
	is.True(err != nil) // refused during the transfer
	leader.processReady()
	s.until(simElection/2, "the transfer", func() bool { return target.node.role == Leader })
	s.commit(s.leader)
}
