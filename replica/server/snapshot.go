package server

import (
	"time"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/wal"
)

// Capturer is a StateMachine whose snapshots hold its commands up only shortly.
type Capturer interface {
	// Capture notes the whole state between two commands and returns what encodes
	// it, as Snapshot would have then. The encoder is called at most once, beside
	// later commands.
	Capture() func() ([]byte, error)
}

// capture is the state at an index, not yet encoded.
type capture struct {
	index  uint64
	encode func() ([]byte, error)
}

// captureState notes the state of the machine, which must stand still meanwhile.
func captureState(sm StateMachine) func() ([]byte, error) {
	if capturer, ok := sm.(Capturer); ok {
		return capturer.Capture()
	}
	data, err := sm.Snapshot()
	return func() ([]byte, error) { return data, err }
}

// snapshotWriter encodes and writes snapshots beside the loop, one at a time, and
// removes the files that they have replaced.
type snapshotWriter struct {
	wal      *wal.Log
	jobs     chan snapshotJob
	cleanups chan struct{}
	written  chan writtenSnapshot
	stopping chan struct{}
	stopped  chan struct{}
}

// snapshotJob is a snapshot that lacks its data only.
type snapshotJob struct {
	snapshot *pb.Snapshot
	encode   func() ([]byte, error)
}

// writtenSnapshot is the end of a job.
type writtenSnapshot struct {
	snapshot *pb.Snapshot
	file     *wal.SnapshotFile
	err      error
}

func newSnapshotWriter(log *wal.Log) *snapshotWriter {
	return &snapshotWriter{
		wal: log, jobs: make(chan snapshotJob, 1), cleanups: make(chan struct{}, 1), written: make(chan writtenSnapshot, 1),
		stopping: make(chan struct{}), stopped: make(chan struct{}),
	}
}

func (w *snapshotWriter) run() {
	defer close(w.stopped)
	for {
		select {
		case <-w.stopping:
			return
		case job := <-w.jobs:
			w.report(w.write(job))
		case <-w.cleanups:
			if err := w.wal.RemoveObsolete(); err != nil {
				w.report(writtenSnapshot{err: err})
			}
		}
	}
}

// report tells the loop, unless that has ended.
func (w *snapshotWriter) report(written writtenSnapshot) {
	select {
	case w.written <- written:
	case <-w.stopping:
	}
}

// clean has obsolete files removed soon.
func (w *snapshotWriter) clean() {
	select {
	case w.cleanups <- struct{}{}:
	default: // the one that is due removes all
	}
}

// write makes a snapshot durable, unless the replica is stopping.
func (w *snapshotWriter) write(job snapshotJob) writtenSnapshot {
	started := time.Now()
	data, err := job.encode()
	if err != nil {
		return writtenSnapshot{err: fault.New(fault.Internal, "the state machine made no snapshot", "see the cause").WithCause(err)}
	}
	select {
	case <-w.stopping:
		return writtenSnapshot{}
	default:
	}
	job.snapshot.Data = data
	file, err := w.wal.WriteSnapshot(job.snapshot)
	if err != nil {
		return writtenSnapshot{err: err}
	}
	snapshotSeconds.UpdateDuration(started)
	snapshotBytes.Set(float64(file.Size()))
	return writtenSnapshot{snapshot: job.snapshot, file: file}
}

// stop waits for the write under way, since the data folder must not be released
// before.
func (w *snapshotWriter) stop() {
	close(w.stopping)
	<-w.stopped
}

// startSnapshot hands a captured state to the writer. It runs in the loop, which
// knows the term and the membership of its index.
func (s *Server) startSnapshot(captured capture) {
	term := s.node.TermAt(captured.index)
	if term == 0 { // a newer snapshot came from the leader
		s.applier.snapshotting.Store(false)
		return
	}
	membership, placed := s.node.MembershipAt(captured.index)
	snapshot := &pb.Snapshot{Index: captured.index, Term: term, Membership: membership, MembershipIndex: placed}
	s.snapshots.jobs <- snapshotJob{snapshot: snapshot, encode: captured.encode}
}

// finishSnapshot truncates the log below a durable snapshot, on the disk first.
// If a newer one came from the leader meanwhile, that one stays. It runs in the
// loop.
func (s *Server) finishSnapshot(written writtenSnapshot) error {
	if written.err != nil {
		return written.err
	}
	if err := s.wal.InstallSnapshot(written.file); err != nil {
		return err
	}
	s.node.Compact(written.snapshot)
	s.snapshots.clean()
	s.applier.snapshotting.Store(false)
	return nil
}
