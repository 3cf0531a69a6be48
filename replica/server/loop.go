package server

import (
	"time"

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
		case call := <-s.calls:
			call()
		case captured := <-s.applier.captures:
			s.startSnapshot(captured)
		case written := <-s.snapshots.written:
			err = s.finishSnapshot(written)
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

// drain takes in what has gathered, so that one sync serves all of it.
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

// handleReady does what the node wants, in the order that package replica asks
// for.
func (s *Server) handleReady() error {
	for s.node.HasReady() {
		ready := s.node.Ready()
		s.updatePeers()
		s.transport.Send(ready.Early)
		if err := s.persist(ready); err != nil {
			return err
		}
		s.transport.Send(ready.Messages)
		s.applier.add(ready.Snapshot, ready.Committed)
		commitsTotal.Add(len(ready.Committed))
		s.answerReads(ready.Reads)
		s.node.Advance()
	}
	s.noteAdmission()
	s.updateLeader()
	s.countEvents()
	return s.node.Err()
}

// persist stores what a Ready asks for. A failure is final.
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

// updatePeers tells the transport where the members are.
func (s *Server) updatePeers() {
	membership := s.node.Membership()
	if membership == s.addresses && membership != nil {
		return
	}
	s.addresses = membership
	peers := map[uint64]string{}
	if id, addr := s.node.DiscoveredLeader(); id != 0 {
		peers[id] = addr
	}
	for id, addr := range s.cfg.Peers {
		peers[id] = addr
	}
	for _, member := range membership.GetMembers() {
		peers[member.GetId()] = member.GetAddr()
	}
	delete(peers, s.cfg.ID)
	s.transport.SetPeers(peers)
}

// noteAdmission logs when this start may vote and acknowledge.
func (s *Server) noteAdmission() {
	if s.admitted || !s.node.Admitted() {
		return
	}
	s.admitted = true
	s.log.Info("replica admitted", "after", s.now())
}

// updateLeader publishes a change of the leader. A leader that has stepped down
// does not learn the fate of its proposals.
func (s *Server) updateLeader() {
	id, term, self := s.node.Leader()
	changed := leaderInfo{id: id, term: term, self: self}
	if id != 0 {
		changed.addr = s.addressOf(id)
	}
	s.mu.Lock()
	before := s.leader
	if changed != before {
		s.leader = changed
		close(s.leaderChanged)
		s.leaderChanged = make(chan struct{})
	}
	s.mu.Unlock()
	if changed == before {
		return
	}
	if known := (leaderInfo{id: id, term: term}); id != 0 && known != s.known {
		s.known = known
		leaderChanges.Inc()
	}
	s.log.Info("leader changed", "leader", id, "term", term, "self", self)
	if before.self && (!self || before.term != term) {
		s.waiters.failAll(outcomeUnknown("the leadership was lost"))
	}
}

func (s *Server) addressOf(id uint64) string {
	if member := replica.FindMember(s.node.Membership(), id); member != nil {
		return member.GetAddr()
	}
	return s.cfg.Peers[id]
}

// shutDown ends everything that waits. It does not sync: what was not synced was
// not acknowledged.
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
	s.waiters.failAll(outcomeUnknown("the control replica stopped"))
	s.wal.Close()
	close(s.done)
}
