package server

import (
	"sync"
	"sync/atomic"
	"time"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// applyJob is a snapshot to restore, if any, and the entries to apply after it.
type applyJob struct {
	snapshot *pb.Snapshot
	entries  []*pb.Entry
}

// applier owns the state machine and applies the log to it in its own goroutine.
type applier struct {
	server *Server
	sm     StateMachine

	mu           sync.Mutex
	queue        []applyJob
	queueChanged chan struct{}
	applied      uint64
	advanced     chan struct{} // closed and replaced when applied grows
	snapshot     uint64        // index of the last snapshot; owned by run
	logBytes     int           // size of the commands applied since then; owned by run
	diskFreed    bool          // a snapshot was captured since the reserve went missing; owned by run
	// stateBytes is the size of the state in the last finished snapshot.
	stateBytes atomic.Int64
	// snapshotPending is set by run when it captures the state, and cleared by the
	// loop when the snapshot is installed or dropped.
	snapshotPending atomic.Bool

	// stillFull receives a value if the last snapshot has not freed the disk.
	stillFull chan struct{}

	// captures and failed are received by the loop.
	captures chan capturedState
	failed   chan error

	stopping chan struct{}
	stopped  chan struct{}
}

func newApplier(s *Server, sm StateMachine, restored *pb.Snapshot) *applier {
	a := &applier{
		server: s, sm: sm, applied: restored.GetIndex(), snapshot: restored.GetIndex(),
		queueChanged: make(chan struct{}, 1), advanced: make(chan struct{}),
		stillFull: make(chan struct{}, 1), captures: make(chan capturedState, 1), failed: make(chan error, 1),
		stopping: make(chan struct{}), stopped: make(chan struct{}),
	}
	a.stateBytes.Store(int64(len(restored.GetData())))
	return a
}

// enqueue adds a snapshot, if any, and the entries after it to the queue.
func (a *applier) enqueue(snapshot *pb.Snapshot, entries []*pb.Entry) {
	if snapshot == nil && len(entries) == 0 {
		return
	}
	a.mu.Lock()
	a.queue = append(a.queue, applyJob{snapshot, entries})
	a.mu.Unlock()
	select {
	case a.queueChanged <- struct{}{}:
	default:
	}
}

// queued returns the number of entries waiting to be applied.
func (a *applier) queued() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for _, job := range a.queue {
		count += len(job.entries)
	}
	return count
}

func (a *applier) run() {
	defer close(a.stopped)
	for {
		select {
		case <-a.stopping:
			return
		case <-a.queueChanged:
		case <-a.stillFull:
			a.diskFreed = false
			a.maybeCapture()
		}
		for _, job := range a.takeQueue() {
			if err := a.apply(job); err != nil {
				a.failed <- err
				return
			}
		}
	}
}

func (a *applier) takeQueue() []applyJob {
	a.mu.Lock()
	defer a.mu.Unlock()
	queue := a.queue
	a.queue = nil
	return queue
}

func (a *applier) apply(job applyJob) error {
	if job.snapshot != nil {
		if err := a.sm.Restore(job.snapshot.GetData()); err != nil {
			return fault.New(fault.Internal, "the state machine failed to restore a snapshot", "run the same version on all control replicas").WithCause(err)
		}
		a.snapshot = job.snapshot.GetIndex()
		a.logBytes = 0
		a.stateBytes.Store(int64(len(job.snapshot.GetData())))
		a.advance(a.snapshot)
	}
	for _, entry := range job.entries {
		a.applyEntry(entry)
	}
	if count := len(job.entries); count > 0 {
		a.advance(job.entries[count-1].GetIndex())
	}
	a.maybeCapture()
	return nil
}

// applyEntry applies one entry and completes its proposal, if it was made here.
func (a *applier) applyEntry(entry *pb.Entry) {
	var result any
	a.logBytes += len(entry.GetData())
	if entry.GetKind() == pb.EntryKind_ENTRY_KIND_DATA {
		result = a.sm.Apply(entry.GetIndex(), entry.GetTerm(), entry.GetData())
	}
	p := a.server.pending.take(entry.GetIndex())
	switch {
	case p == nil:
	case p.term == entry.GetTerm():
		p.done <- outcome{result: result}
	default:
		p.done <- outcome{err: fault.New(fault.NotLeader, "a command of another leader was committed at this index; this one was not run", "send the command to the leader")}
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

// progress returns the applied index and a channel that is closed when it
// increases.
func (a *applier) progress() (uint64, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.applied, a.advanced
}

// snapshotDue reports whether enough entries, or enough bytes of them, were applied
// since the last snapshot, or whether a full disk has to be freed.
func (a *applier) snapshotDue() bool {
	cfg := &a.server.cfg
	if a.index() >= a.snapshot+cfg.SnapshotEvery || a.freesDisk() {
		return true
	}
	ratio := float64(a.logBytes) / float64(max(a.stateBytes.Load(), 1))
	return a.logBytes > MinSnapshotLogBytes && ratio > cfg.SnapshotLogRatio
}

// freesDisk reports whether a snapshot is due because the reserve is missing: one at first, and
// one more whenever the last one has not freed the disk.
func (a *applier) freesDisk() bool {
	a.diskFreed = a.diskFreed && a.server.wal.ReserveMissing()
	return !a.diskFreed && a.index() > a.snapshot && a.server.wal.ReserveMissing()
}

// maybeCapture captures the state if a snapshot is due and the last one is finished.
func (a *applier) maybeCapture() {
	if !a.snapshotDue() || !a.snapshotPending.CompareAndSwap(false, true) {
		return
	}
	index := a.index()
	if a.server.wal.ReserveMissing() {
		a.server.log.Warn("saving a snapshot to free the disk", "snapshot", index)
	}
	started := time.Now()
	a.captures <- capturedState{index: index, encode: captureState(a.sm)}
	captureSeconds.UpdateDuration(started)
	a.snapshot = index
	a.logBytes = 0
	a.diskFreed = true
}

func (a *applier) stop() {
	close(a.stopping)
	<-a.stopped
}
