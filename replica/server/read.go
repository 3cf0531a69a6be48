package server

import (
	"context"
	"time"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/replica"
)

// A read that is not answered is retried readRetries times per election timeout,
// and fails after readTimeouts election timeouts.
const (
	readRetries  = 4
	readTimeouts = 2
)

// ReadIndex returns once the state machine has applied everything that was
// committed before the call. The index it returns has been applied, and later
// entries may have been too. A follower forwards the request to its leader.
//
// Errors: fault.NoQuorum or fault.NotLeader if no leader with a quorum answered
// within two election timeouts or before ctx ended.
func (s *Server) ReadIndex(ctx context.Context) (index uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeouts*s.cfg.ElectionTimeout)
	defer cancel()
	for {
		index, err = s.readIndexOnce(ctx)
		if err == nil {
			return index, s.waitApplied(ctx, index)
		}
		if fault.Is(err, fault.Unavailable) {
			return 0, err
		}
		select {
		case <-ctx.Done():
			return 0, err
		case <-s.LeaderChanged():
		case <-time.After(s.cfg.HeartbeatInterval):
		}
	}
}

// readIndexOnce makes one attempt.
func (s *Server) readIndexOnce(ctx context.Context) (uint64, error) {
	answer := make(chan replica.ReadState, 1)
	var id uint64
	var err error
	if stopped := s.runInLoop(func() { id, err = s.startRead(answer) }); stopped != nil {
		return 0, stopped
	}
	if err != nil {
		return 0, err
	}
	retryTimer := time.NewTimer(s.cfg.ElectionTimeout / readRetries)
	defer retryTimer.Stop()
	select {
	case state := <-answer:
		return state.Index, state.Err
	case <-s.done:
		return 0, s.stoppedError()
	case <-ctx.Done():
	case <-retryTimer.C:
	}
	_ = s.runInLoop(func() { s.cancelRead(id) })
	return 0, fault.New(fault.NoQuorum, "no quorum confirmed the leader in time; nothing was read", "retry the read").RetryIn(s.cfg.ElectionTimeout)
}

// startRead runs in the loop.
func (s *Server) startRead(answer chan replica.ReadState) (uint64, error) {
	id, err := s.node.ReadIndex()
	if err == nil {
		s.reads[id] = answer
	}
	return id, err
}

// cancelRead runs in the loop.
func (s *Server) cancelRead(id uint64) {
	delete(s.reads, id)
	s.node.CancelRead(id)
}

// deliverReads runs in the loop.
func (s *Server) deliverReads(states []replica.ReadState) {
	for _, state := range states {
		if answer := s.reads[state.ID]; answer != nil {
			answer <- state
			delete(s.reads, state.ID)
		}
	}
}

// waitApplied waits until the state machine has applied the log up to index.
func (s *Server) waitApplied(ctx context.Context, index uint64) error {
	for {
		applied, advanced := s.applier.progress()
		if applied >= index {
			return nil
		}
		select {
		case <-advanced:
		case <-s.done:
			return s.stoppedError()
		case <-ctx.Done():
			return fault.Newf(fault.Overloaded, "retry the read", "the state machine has applied the log up to index %d only; the read needs %d", applied, index).RetryIn(s.cfg.HeartbeatInterval)
		}
	}
}
