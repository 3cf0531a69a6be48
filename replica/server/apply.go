package server

import (
	"sync"
	"sync/atomic"
	"time"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// work is what the applier does in one step.
type work struct {
	snapshot *pb.Snapshot
	entries  []*pb.Entry
}

// applier owns the state machine.
type applier struct {
	server *Server
	sm     StateMachine

	mu       sync.Mutex
	queue    []work
	wake     chan struct{}
	applied  uint64
	advanced chan struct{} // closed and replaced when applied grows
	snapshot uint64        // index of the last snapshot; owned by run
	// snapshotting is set by run when it captures the state, and cleared by the
	// loop when the snapshot is installed or dropped.
	snapshotting atomic.Bool

	// captures and failed go to the loop.
	captures chan capture
	failed   chan error

	stopping chan struct{}
	stopped  chan struct{}
}

func newApplier(s *Server, sm StateMachine, applied uint64) *applier {
	return &applier{
		server: s, sm: sm, applied: applied, snapshot: applied,
		wake: make(chan struct{}, 1), advanced: make(chan struct{}),
		captures: make(chan capture, 1), failed: make(chan error, 1),
		stopping: make(chan struct{}), stopped: make(chan struct{}),
	}
}

// add queues a snapshot, if any, and the entries after it.
func (a *applier) add(snapshot *pb.Snapshot, entries []*pb.Entry) {
	if snapshot == nil && len(entries) == 0 {
		return
	}
	a.mu.Lock()
	a.queue = append(a.queue, work{snapshot, entries})
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// queued returns the number of entries that wait to be applied.
func (a *applier) queued() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for _, w := range a.queue {
		count += len(w.entries)
	}
	return count
}

func (a *applier) run() {
	defer close(a.stopped)
	for {
		select {
		case <-a.stopping:
			return
		case <-a.wake:
		}
		for _, w := range a.takeQueue() {
			if err := a.apply(w); err != nil {
				a.failed <- err
				return
			}
		}
	}
}

func (a *applier) takeQueue() []work {
	a.mu.Lock()
	defer a.mu.Unlock()
	queue := a.queue
	a.queue = nil
	return queue
}

func (a *applier) apply(w work) error {
	if w.snapshot != nil {
		if err := a.sm.Restore(w.snapshot.GetData()); err != nil {
			return fault.New(fault.Internal, "the state machine refused a snapshot", "run the same version on all control replicas").WithCause(err)
		}
		a.snapshot = w.snapshot.GetIndex()
		a.advance(a.snapshot)
	}
	for _, entry := range w.entries {
		a.applyEntry(entry)
	}
	if count := len(w.entries); count > 0 {
		a.advance(w.entries[count-1].GetIndex())
	}
	a.maybeCapture()
	return nil
}

// applyEntry applies one entry and tells its proposer, if it is here.
func (a *applier) applyEntry(entry *pb.Entry) {
	var result any
	if entry.GetKind() == pb.EntryKind_ENTRY_KIND_DATA {
		result = a.sm.Apply(entry.GetIndex(), entry.GetTerm(), entry.GetData())
	}
	p := a.server.waiters.take(entry.GetIndex())
	switch {
	case p == nil:
	case p.term == entry.GetTerm():
		p.done <- outcome{result: result}
	default:
		p.done <- outcome{err: fault.New(fault.NotLeader, "another leader's command took the place; this one was not run", "ask the leader")}
	}
}

// advance publishes the applied index.
func (a *applier) advance(index uint64) {
	a.mu.Lock()
	a.applied = index
	close(a.advanced)
	a.advanced = make(chan struct{})
	a.mu.Unlock()
}

func (a *applier) index() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.applied
}

// progress returns the applied index and a channel that is closed when it grows.
func (a *applier) progress() (uint64, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.applied, a.advanced
}

// maybeCapture captures the state when enough entries were applied since the last
// snapshot and that one is done with.
func (a *applier) maybeCapture() {
	index := a.index()
	if index < a.snapshot+a.server.cfg.SnapshotEvery || !a.snapshotting.CompareAndSwap(false, true) {
		return
	}
	started := time.Now()
	a.captures <- capture{index: index, encode: captureState(a.sm)}
	captureSeconds.UpdateDuration(started)
	a.snapshot = index
}

func (a *applier) stop() {
	close(a.stopping)
	<-a.stopped
}
