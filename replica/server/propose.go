package server

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/lilackeel/lilackeel/fault"
)

// proposal is a command on its way into the log.
type proposal struct {
	data  []byte
	term  uint64
	taken atomic.Bool // by the loop, or by a caller that gave up before it
	done  chan outcome
}

// outcome is the end of a proposal.
type outcome struct {
	result any
	err    error
}

// waiters are the proposals in the log, by index.
type waiters struct {
	mu      sync.Mutex
	byIndex map[uint64]*proposal
}

// add notes the proposal at index. One that waited there before was overwritten
// in a term that this replica no longer leads.
func (w *waiters) add(index uint64, p *proposal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byIndex == nil {
		w.byIndex = map[uint64]*proposal{}
	}
	if before := w.byIndex[index]; before != nil {
		before.done <- outcome{err: outcomeUnknown("the leadership was lost")}
	}
	w.byIndex[index] = p
}

// take removes and returns the proposal at index, or nil.
func (w *waiters) take(index uint64) *proposal {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.byIndex[index]
	delete(w.byIndex, index)
	return p
}

func (w *waiters) failAll(err error) {
	w.mu.Lock()
	all := w.byIndex
	w.byIndex = nil
	w.mu.Unlock()
	for _, p := range all {
		p.done <- outcome{err: err}
	}
}

// outcomeUnknown is the error of a proposal that may or may not be committed.
func outcomeUnknown(reason string) error {
	return fault.New(fault.Unknown, reason+"; the command may or may not have been committed",
		"ask by its id for the outcome before sending it again")
}

// Propose commits a command and returns the result of applying it here.
//
// Errors: fault.NotLeader, fault.NoQuorum and fault.Unavailable mean that the
// command was not and never will be committed. fault.Unknown means that it may
// have been, or may yet be: because ctx ended, the leadership was lost, or the
// replica stopped. The caller must then ask by an id inside the command.
func (s *Server) Propose(ctx context.Context, data []byte) (any, error) {
	if len(data) > MaxProposalBytes {
		return nil, fault.Newf(fault.Invalid, "split the command", "a command of %d bytes is over the limit of %d", len(data), MaxProposalBytes)
	}
	p := &proposal{data: data, done: make(chan outcome, 1)}
	select {
	case s.proposals <- p:
	case <-s.done:
		return nil, s.stopped()
	case <-ctx.Done():
		return nil, notProposed(ctx)
	}
	return s.await(ctx, p)
}

func (s *Server) await(ctx context.Context, p *proposal) (any, error) {
	select {
	case end := <-p.done:
		return end.result, end.err
	case <-ctx.Done():
		if p.taken.CompareAndSwap(false, true) {
			return nil, notProposed(ctx)
		}
		return nil, outcomeUnknown("waiting for the commit ended: " + ctx.Err().Error())
	case <-s.done:
	}
	select {
	case end := <-p.done:
		return end.result, end.err
	default:
	}
	if p.taken.CompareAndSwap(false, true) {
		return nil, s.stopped()
	}
	return nil, outcomeUnknown("the control replica stopped")
}

func notProposed(ctx context.Context) error {
	return fault.New(fault.Unavailable, "the command was not proposed before its context ended; it was not run",
		"send it again with more time").WithCause(ctx.Err())
}

// propose appends a proposal to the log. It runs in the loop.
func (s *Server) propose(p *proposal) {
	if !p.taken.CompareAndSwap(false, true) {
		return
	}
	index, term, err := s.node.Propose(p.data)
	if err != nil {
		p.done <- outcome{err: err}
		return
	}
	p.term = term
	s.waiters.add(index, p)
}
