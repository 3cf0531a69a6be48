package server

import (
	"time"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/wal"
)

// Capturer is a StateMachine that can take a snapshot without delaying commands for
// as long as it takes to encode.
type Capturer interface {
	// Capture records the whole state between two commands and returns a function
	// that encodes it as Snapshot would have at that point. That function is called
	// at most once, concurrently with later commands.
	Capture() func() ([]byte, error)
}

// capturedState is the state at an index, not yet encoded.
type capturedState struct {
	index  uint64
	encode func() ([]byte, error)
}

// captureState captures the state of the state machine, which must not apply
// commands at the same time.
func captureState(sm StateMachine) func() ([]byte, error) {
	if capturer, ok := sm.(Capturer); ok {
		return capturer.Capture()
	}
	data, err := sm.Snapshot()
	return func() ([]byte, error) { return data, err }
}

// snapshotWriter encodes and writes snapshots in its own goroutine, one at a time,
// and removes the files that they have made obsolete.
type snapshotWriter struct {
	wal      *wal.Log
	jobs     chan snapshotJob
	cleanups chan struct{}
	results  chan snapshotResult
	// stillFull is sent to while a cleanup has not freed enough of the disk.
	stillFull chan<- struct{}
	stopping  chan struct{}
	stopped   chan struct{}
}

// snapshotJob is a snapshot whose data is still to be encoded.
type snapshotJob struct {
	snapshot *pb.Snapshot
	encode   func() ([]byte, error)
}

// snapshotResult is the result of a job.
type snapshotResult struct {
	snapshot *pb.Snapshot
	file     *wal.SnapshotFile
	err      error
}

func newSnapshotWriter(log *wal.Log, stillFull chan<- struct{}) *snapshotWriter {
	return &snapshotWriter{
		wal: log, stillFull: stillFull, jobs: make(chan snapshotJob, 1), cleanups: make(chan struct{}, 1), results: make(chan snapshotResult, 1),
		stopping: make(chan struct{}), stopped: make(chan struct{}),
	}
}

func (w *snapshotWriter) run() {
	defer close(w.stopped)
	var retry <-chan time.Time
	for {
		select {
		case <-w.stopping:
			return
		case <-retry:
			select {
			case w.stillFull <- struct{}{}:
			default: // the applier has not handled the last one
			}
			w.requestCleanup()
		case job := <-w.jobs:
			w.report(w.write(job))
		case <-w.cleanups:
			if err := w.wal.RemoveObsolete(); err != nil {
				w.report(snapshotResult{err: err})
			}
			retry = nil
			if w.wal.ReserveMissing() {
				retry = time.After(reserveRetryInterval)
			}
		}
	}
}

// report sends a result to the loop, unless the writer is being stopped.
func (w *snapshotWriter) report(result snapshotResult) {
	select {
	case w.results <- result:
	case <-w.stopping:
	}
}

// requestCleanup schedules the removal of obsolete files.
func (w *snapshotWriter) requestCleanup() {
	select {
	case w.cleanups <- struct{}{}:
	default: // the pending cleanup removes all obsolete files
	}
}

// write encodes a snapshot and makes it durable, unless the replica is stopping.
func (w *snapshotWriter) write(job snapshotJob) snapshotResult {
	started := time.Now()
	data, err := job.encode()
	if err != nil {
		return snapshotResult{err: fault.New(fault.Internal, "the state machine failed to encode a snapshot", "see the cause").WithCause(err)}
	}
	select {
	case <-w.stopping:
		return snapshotResult{}
	default:
	}
	job.snapshot.Data = data
	file, err := w.wal.WriteSnapshot(job.snapshot)
	if err != nil {
		return snapshotResult{err: err}
	}
	snapshotSeconds.UpdateDuration(started)
	snapshotBytes.Set(float64(file.Size()))
	return snapshotResult{snapshot: job.snapshot, file: file}
}

// stop waits for the current write to finish, because the data directory must not
// be released before.
func (w *snapshotWriter) stop() {
	close(w.stopping)
	<-w.stopped
}

// startSnapshot passes a captured state to the writer. It runs in the loop, which
// knows the term and the membership at its index.
func (s *Server) startSnapshot(captured capturedState) {
	term := s.node.TermAt(captured.index)
	if term == 0 { // a newer snapshot was received from the leader
		s.applier.snapshotPending.Store(false)
		return
	}
	membership, membershipIndex := s.node.MembershipAt(captured.index)
	snapshot := &pb.Snapshot{Index: captured.index, Term: term, Membership: membership, MembershipIndex: membershipIndex}
	s.snapshots.jobs <- snapshotJob{snapshot: snapshot, encode: captured.encode}
}

// finishSnapshot installs a durable snapshot and truncates the log before it, on
// disk first. If a newer snapshot was received from the leader in the meantime, the
// newer one is kept. It runs in the loop.
func (s *Server) finishSnapshot(result snapshotResult) error {
	if result.err != nil {
		return result.err
	}
	if err := s.wal.InstallSnapshot(result.file); err != nil {
		return err
	}
	s.applier.stateBytes.Store(int64(len(result.snapshot.GetData())))
	s.node.Compact(result.snapshot)
	s.snapshots.requestCleanup()
	s.applier.snapshotPending.Store(false)
	return nil
}
