package server

import (
	"context"
	"time"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/replica"
)

// readRetries is how often an unanswered read is asked again per election
// timeout, and readTimeouts for how many election timeouts.
const (
	readRetries  = 4
	readTimeouts = 2
)

// ReadIndex returns once the state machine has applied everything that was
// committed before the call, with the index it is applied up to at least. A
// follower asks its leader.
//
// Errors: fault.NoQuorum or fault.NotLeader when no leader with a quorum
// answered in two election timeouts or before ctx ended.
func (s *Server) ReadIndex(ctx context.Context) (index uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeouts*s.cfg.ElectionTimeout)
	defer cancel()
	for {
		index, err = s.askReadIndex(ctx)
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

// askReadIndex asks once.
func (s *Server) askReadIndex(ctx context.Context) (uint64, error) {
	answer := make(chan replica.ReadState, 1)
	var id uint64
	var err error
	if stopped := s.call(func() { id, err = s.startRead(answer) }); stopped != nil {
		return 0, stopped
	}
	if err != nil {
		return 0, err
	}
	patience := time.NewTimer(s.cfg.ElectionTimeout / readRetries)
	defer patience.Stop()
	select {
	case state := <-answer:
		return state.Index, state.Err
	case <-s.done:
		return 0, s.stopped()
	case <-ctx.Done():
	case <-patience.C:
	}
	_ = s.call(func() { s.forgetRead(id) })
	return 0, fault.New(fault.NoQuorum, "no quorum confirmed the leader in time; nothing was read", "ask again").RetryIn(s.cfg.ElectionTimeout)
}

// startRead runs in the loop.
func (s *Server) startRead(answer chan replica.ReadState) (uint64, error) {
	id, err := s.node.ReadIndex()
	if err == nil {
		s.reads[id] = answer
	}
	return id, err
}

// forgetRead runs in the loop.
func (s *Server) forgetRead(id uint64) {
	delete(s.reads, id)
	s.node.ForgetRead(id)
}

// answerReads runs in the loop.
func (s *Server) answerReads(states []replica.ReadState) {
	for _, state := range states {
		if answer := s.reads[state.ID]; answer != nil {
			answer <- state
			delete(s.reads, state.ID)
		}
	}
}

// waitApplied returns when the state machine is applied up to index.
func (s *Server) waitApplied(ctx context.Context, index uint64) error {
	for {
		applied, advanced := s.applier.progress()
		if applied >= index {
			return nil
		}
		select {
		case <-advanced:
		case <-s.done:
			return s.stopped()
		case <-ctx.Done():
			return fault.Newf(fault.Overloaded, "ask again", "the state machine is applied up to %d only, the read needs %d", applied, index).RetryIn(s.cfg.HeartbeatInterval)
		}
	}
}
