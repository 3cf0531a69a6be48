package server

import (
	"time"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/replica"
	"github.com/lilackeel/lilackeel/wal"
)

// loop drives the node until the server is closed or fails.
func (s *Server) loop() {
	ticker := time.NewTicker(s.cfg.HeartbeatInterval / 2)
	defer ticker.Stop()
	s.node.Tick(s.now())
	err := s.handleReady()
	for err == nil {
		select {
		case <-s.closing:
			s.shutDown(nil)
			return
		case <-ticker.C:
			s.node.Tick(s.now())
		case message := <-s.inbox:
			s.node.Step(s.now(), message)
		case proposal := <-s.proposals:
			s.propose(proposal)
		case call := <-s.loopCalls:
			call()
		case captured := <-s.applier.captures:
			s.startSnapshot(captured)
		case result := <-s.snapshots.results:
			err = s.finishSnapshot(result)
		case err = <-s.applier.failed:
		}
		if err == nil {
			s.drain()
			err = s.handleReady()
		}
	}
	s.shutDown(err)
}

func (s *Server) now() time.Duration { return time.Since(s.started) }

// drain processes queued messages and proposals, so that one sync covers them all.
func (s *Server) drain() {
	for range cap(s.proposals) {
		select {
		case message := <-s.inbox:
			s.node.Step(s.now(), message)
		case proposal := <-s.proposals:
			s.propose(proposal)
		default:
			return
		}
	}
}

// handleReady performs the node's pending work in the order that package replica
// requires.
func (s *Server) handleReady() error {
	for s.node.HasReady() {
		ready := s.node.Ready()
		s.updatePeers()
		s.transport.Send(ready.Early)
		if err := s.persist(ready); err != nil {
			return err
		}
		s.transport.Send(ready.Messages)
		s.applier.enqueue(ready.Snapshot, ready.Committed)
		commitsTotal.Add(len(ready.Committed))
		s.deliverReads(ready.Reads)
		s.node.Advance()
	}
	s.logAdmission()
	s.updateLeader()
	s.updateCounters()
	return s.node.Err()
}

// persist stores the state and entries of a Ready. A failure stops the replica.
func (s *Server) persist(ready replica.Ready) error {
	if ready.Snapshot != nil {
		if err := s.wal.Save(wal.Batch{HardState: ready.HardState, Sync: true}); err != nil {
			return err
		}
		if err := s.wal.SaveSnapshot(ready.Snapshot, true); err != nil {
			return err
		}
	}
	started := time.Now()
	err := s.wal.Save(wal.Batch{HardState: ready.HardState, Entries: ready.Entries, Sync: ready.Sync})
	if ready.Sync {
		syncSeconds.UpdateDuration(started)
	}
	return err
}

// updatePeers passes the addresses of the other replicas to the transport.
func (s *Server) updatePeers() {
	if membership := s.node.Membership(); membership != s.loggedMembership {
		s.loggedMembership = membership
		s.logMembership(membership)
	}
	if version := s.node.PeersVersion() + 1; version != s.peersVersion {
		s.peersVersion = version
		s.peers = s.node.Peers()
		s.transport.SetPeers(s.peers)
	}
}

// logMembership logs the membership in force as this replica knows it.
func (s *Server) logMembership(membership *pb.Membership) {
	var voters, learners []uint64
	for _, member := range membership.GetMembers() {
		if member.GetRole() == pb.Role_ROLE_VOTER {
			voters = append(voters, member.GetId())
		} else {
			learners = append(learners, member.GetId())
		}
	}
	self := replica.FindMember(membership, s.cfg.ID)
	s.log.Info("membership changed", "voters", voters, "learners", learners,
		"member", self.GetDisk() == s.node.Disk().GetIdentity())
}

// logAdmission logs once that this replica may vote and acknowledge.
func (s *Server) logAdmission() {
	if s.admissionLogged || !s.node.Admitted() {
		return
	}
	s.admissionLogged = true
	s.log.Info("replica admitted", "after", s.now())
}

// updateLeader publishes a change of the leader. A leader that has stepped down
// fails its pending proposals, because it does not learn their outcome.
func (s *Server) updateLeader() {
	id, term, self := s.node.Leader()
	changed := leaderInfo{id: id, term: term, self: self}
	if id != 0 {
		changed.addr = s.addressOf(id)
	}
	s.mu.Lock()
	before := s.leader
	if changed != before {
		if changed.id == 0 && before.id != 0 {
			s.leaderless = time.Now()
		}
		s.leader = changed
		close(s.leaderChanged)
		s.leaderChanged = make(chan struct{})
	}
	s.mu.Unlock()
	if changed == before {
		return
	}
	if known := (leaderInfo{id: id, term: term}); id != 0 && known != s.countedLeader {
		s.countedLeader = known
		leaderChanges.Inc()
	}
	s.log.Info("leader changed", "leader", id, "term", term, "self", self)
	if before.self && (!self || before.term != term) {
		s.pending.failAll(outcomeUnknown("the leadership was lost"))
	}
}

func (s *Server) addressOf(id uint64) string {
	if id == s.cfg.ID {
		return s.cfg.Addr
	}
	return s.peers[id]
}

// shutDown stops all parts of the server and fails pending requests. It does not
// sync, because nothing that is not synced was acknowledged.
func (s *Server) shutDown(err error) {
	s.mu.Lock()
	s.failure = err
	s.leader = leaderInfo{term: s.leader.term}
	close(s.leaderChanged)
	s.leaderChanged = make(chan struct{})
	s.mu.Unlock()
	if err != nil {
		s.log.Error("replica stopped", "error", err, "kind", fault.KindOf(err))
	}
	s.transport.Close()
	s.applier.stop()
	s.snapshots.stop()
	s.pending.failAll(outcomeUnknown("the control replica stopped"))
	s.wal.Close()
	close(s.done)
}
