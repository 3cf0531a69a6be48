package server

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/replica"
)

// proposal is a command that is to be committed.
type proposal struct {
	data    []byte
	term    uint64
	claimed atomic.Bool // by the loop to propose it, or by a caller that stopped waiting first
	done    chan outcome
}

// outcome is the result of a proposal.
type outcome struct {
	result any
	err    error
}

// pendingProposals are the proposals that were appended to the log, by index.
type pendingProposals struct {
	mu      sync.Mutex
	byIndex map[uint64]*proposal
}

// add registers the proposal at index. A proposal that was already registered there
// has been overwritten, in a term that this replica no longer leads.
func (pp *pendingProposals) add(index uint64, p *proposal) {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	if pp.byIndex == nil {
		pp.byIndex = map[uint64]*proposal{}
	}
	if before := pp.byIndex[index]; before != nil {
		before.done <- outcome{err: outcomeUnknown("the leadership was lost")}
	}
	pp.byIndex[index] = p
}

// take removes and returns the proposal at index, or nil.
func (pp *pendingProposals) take(index uint64) *proposal {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	p := pp.byIndex[index]
	delete(pp.byIndex, index)
	return p
}

func (pp *pendingProposals) failAll(err error) {
	pp.mu.Lock()
	all := pp.byIndex
	pp.byIndex = nil
	pp.mu.Unlock()
	for _, p := range all {
		p.done <- outcome{err: err}
	}
}

// outcomeUnknown returns the error for a proposal that may or may not be committed.
func outcomeUnknown(reason string) error {
	return fault.New(fault.Unknown, reason+"; the command may or may not have been committed",
		"look up the outcome by the command's id before retrying")
}

// Propose commits a command and returns the result of applying it on this replica.
//
// Errors: fault.NotLeader, fault.NoQuorum, fault.Unavailable and fault.Overloaded mean
// that the command was not and never will be committed. fault.Unknown means that it may have
// been committed, or may yet be, because ctx ended, the leadership was lost or the
// replica stopped. The caller must then look up the outcome by an id inside the
// command.
func (s *Server) Propose(ctx context.Context, data []byte) (any, error) {
	if len(data) > MaxProposalBytes {
		return nil, fault.Newf(fault.Invalid, "split the command", "a command of %d bytes is over the limit of %d", len(data), MaxProposalBytes)
	}
	p := &proposal{data: data, done: make(chan outcome, 1)}
	select {
	case s.proposals <- p:
	case <-s.done:
		return nil, s.stoppedError()
	case <-ctx.Done():
		return nil, notProposedError(ctx)
	}
	return s.awaitOutcome(ctx, p)
}

func (s *Server) awaitOutcome(ctx context.Context, p *proposal) (any, error) {
	select {
	case out := <-p.done:
		return out.result, out.err
	case <-ctx.Done():
		if p.claimed.CompareAndSwap(false, true) {
			return nil, notProposedError(ctx)
		}
		return nil, outcomeUnknown("waiting for the commit ended: " + ctx.Err().Error())
	case <-s.done:
	}
	select {
	case out := <-p.done:
		return out.result, out.err
	default:
	}
	if p.claimed.CompareAndSwap(false, true) {
		return nil, s.stoppedError()
	}
	return nil, outcomeUnknown("the control replica stopped")
}

func notProposedError(ctx context.Context) error {
	return fault.New(fault.Unavailable, "the command was not proposed before its context ended; it was not run",
		"retry with a longer deadline").WithCause(ctx.Err())
}

// maxPendingLogBytes is by how much the log may exceed the size at which a snapshot is
// due, for the commands that are committed while the snapshot is written.
const maxPendingLogBytes = 32 << 20

// checkLogSize refuses a command that the log or the disk has no room for until the next snapshot.
func (s *Server) checkLogSize(size int) error {
	due := max(MinSnapshotLogBytes, int(s.cfg.SnapshotLogRatio*float64(s.applier.stateBytes.Load())))
	limit := replica.DefaultTrailingBytes + due + maxPendingLogBytes
	if s.wal.ReserveMissing() {
		return fault.New(fault.Overloaded, "not run: the disk has no room for the next snapshot", "free space on the disk of the control replicas").RetryIn(time.Second)
	}
	if held := s.node.LogBytes(); held+size > limit {
		return fault.Newf(fault.Overloaded, "retry after the given time; if the error persists, check the disk of the control replicas",
			"not run: the log holds %d bytes that no snapshot covers yet, of %d at most", held, limit).RetryIn(time.Second)
	}
	return nil
}

// propose appends a proposal to the log. It runs in the loop.
func (s *Server) propose(p *proposal) {
	if !p.claimed.CompareAndSwap(false, true) {
		return
	}
	if err := s.checkLogSize(len(p.data)); err != nil {
		p.done <- outcome{err: err}
		return
	}
	index, term, err := s.node.Propose(p.data)
	if err != nil {
		p.done <- outcome{err: err}
		return
	}
	p.term = term
	s.pending.add(index, p)
}
