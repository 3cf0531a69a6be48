package server

import (
	"context"

	"github.com/lilackeel/lilackeel/replica"
)

// ChangeMembership commits one membership change. Its errors are those of Propose,
// and fault.Conflict with the reason if the change cannot be made now.
func (s *Server) ChangeMembership(ctx context.Context, change replica.ConfChange) error {
	p := &proposal{done: make(chan outcome, 1)}
	p.claimed.Store(true)
	err := s.runInLoop(func() {
		index, term, err := s.node.ProposeConfChange(change)
		if err != nil {
			p.done <- outcome{err: err}
			return
		}
		p.term = term
		s.pending.add(index, p)
	})
	if err != nil {
		return err
	}
	_, err = s.awaitOutcome(ctx, p)
	return err
}

// TransferLeader starts a transfer of the leadership to another voter. It returns
// before the transfer is complete; see LeaderChanged.
func (s *Server) TransferLeader(to uint64) error {
	var err error
	if stopped := s.runInLoop(func() { err = s.node.TransferLeader(to) }); stopped != nil {
		return stopped
	}
	return err
}
