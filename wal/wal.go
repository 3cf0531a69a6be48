package wal

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"syscall"

	"google.golang.org/protobuf/proto"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
)

const (
	lockName          = "LOCK"
	labelName         = "label"
	temporarySuffix   = ".tmp"
	segmentSuffix     = ".wal"
	snapshotSuffix    = ".snap"
	defaultSegmentMax = 64 << 20
)

// Options are the settings of a Log.
type Options struct {
	// Dir is the data directory; it is created if it does not exist.
	Dir string
	// FS is the file system; OS if nil.
	FS FS
	// SegmentMax is the size in bytes above which a segment is closed and the
	// next one started; 64 MiB if zero.
	SegmentMax int64
	// Reserve is how many bytes of the disk are kept free for the next snapshot, in addition to twice
	// the size of the last one; none are if it is zero.
	Reserve int64
	// Founder is stored in the label of a new disk; see DiskLabel.
	Founder bool
	// NewIdentity returns a random non-zero number that identifies a new disk.
	NewIdentity func() uint64
}

// State is the stored state that Open has read.
type State struct {
	// Label identifies the disk. Its incarnation is that of the current start.
	Label *pb.DiskLabel
	// HardState is the last saved hard state; nil if there is none.
	HardState *pb.HardState
	// Snapshot is the last installed snapshot; nil if there is none.
	Snapshot *pb.Snapshot
	// Entries are those after the snapshot, without a gap.
	Entries []*pb.Entry
}

// Log is an open write-ahead log. Its methods must be called by one goroutine
// at a time, except that WriteSnapshot and RemoveObsolete may run concurrently
// with all others but Close.
//
// Lock order: removeMu, then mu.
type Log struct {
	options       Options
	lock          io.Closer
	file          File      // the current segment
	segments      []segment // oldest first; the last one is current
	chain         uint32    // payload checksum of the last frame, which the next one continues
	syncCount     uint32    // syncs in the segment before the next frame
	unsynced      bool
	savesBatch    bool             // the buffer is part of a batch
	lastIndex     uint64           // index of the last entry written
	hardState     *pb.HardState    // the last saved hard state
	mark          *pb.SnapshotMark // refers to the installed snapshot; nil if there is none
	snapshotIndex uint64           // index of the installed snapshot; zero if there is none
	buffer        []byte           // frames to be written; reused

	removeMu sync.Mutex // held while files are removed, so that they are removed in order
	mu       sync.Mutex // guards the fields below
	failure  error
	obsolete []string // names of files to be removed, in this order
	reserve  reserve
}

// segment is one file of the log.
type segment struct {
	sequence uint64
	// lastIndex is the index of the last entry in or before the file.
	lastIndex uint64
	size      int64
}

// Open locks the data directory, reads the stored state and increments the
// incarnation of the label. The label is durable when Open returns.
func Open(options Options) (*Log, State, error) {
	if options.FS == nil {
		options.FS = OS{}
	}
	if options.SegmentMax == 0 {
		options.SegmentMax = defaultSegmentMax
	}
	log := &Log{options: options}
	if err := options.FS.MkdirAll(options.Dir); err != nil {
		return nil, State{}, ioError("creating "+options.Dir, err)
	}
	lock, err := options.FS.Lock(log.path(lockName))
	if err != nil {
		return nil, State{}, err
	}
	log.lock = lock
	state, err := log.load()
	if err != nil {
		lock.Close()
		return nil, State{}, err
	}
	return log, state, nil
}

// Batch is the data that one Save writes.
type Batch struct {
	// HardState replaces the previous hard state; nil keeps it.
	HardState *pb.HardState
	// Entries are appended. The first one overwrites the log from its index on.
	Entries []*pb.Entry
	// Sync makes this batch and everything before it durable before Save returns.
	Sync bool
}

// Save writes a batch. If it returns an error, no part of the batch may be
// acknowledged, and the log accepts no more writes.
func (l *Log) Save(batch Batch) error {
	if err := l.Err(); err != nil {
		return err
	}
	l.savesBatch = true
	defer func() { l.savesBatch = false }()
	l.buffer = l.buffer[:0]
	if batch.HardState != nil {
		l.hardState = batch.HardState
		if err := l.appendRecord(recordState, batch.HardState); err != nil {
			return err
		}
	}
	for _, entry := range batch.Entries {
		if err := l.appendRecord(recordEntry, entry); err != nil {
			return err
		}
		l.lastIndex = entry.GetIndex()
	}
	if err := l.flush(); err != nil {
		if errors.Is(err, syscall.ENOSPC) {
			l.releaseReserve() // for the snapshot that the next start has to save
		}
		return err
	}
	if !batch.Sync {
		return nil
	}
	if err := l.sync(); err != nil {
		return err
	}
	if l.currentSegment().size >= l.options.SegmentMax {
		return l.roll()
	}
	return nil
}

// Close closes the files and releases the lock on the directory. It does not
// sync. Calls of WriteSnapshot and RemoveObsolete must have returned before.
func (l *Log) Close() error {
	_ = l.fail("using a closed log", io.ErrClosedPipe)
	err := l.file.Close()
	if closeErr := l.lock.Close(); err == nil {
		err = closeErr
	}
	return err
}

// Err returns the failure that closed the log, or nil.
func (l *Log) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failure
}

func (l *Log) path(name string) string { return filepath.Join(l.options.Dir, name) }

func (l *Log) currentSegment() *segment { return &l.segments[len(l.segments)-1] }

// fail closes the log permanently and returns the first failure.
func (l *Log) fail(operation string, cause error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure == nil {
		l.failure = ioError(operation, cause)
	}
	return l.failure
}

// appendRecord appends one record to the buffer.
func (l *Log) appendRecord(kind recordKind, message proto.Message) error {
	buffer, chain, err := appendFrame(l.buffer, l.chain, l.syncCount, kind, message)
	if err != nil {
		return l.fail("encoding a record", err)
	}
	l.buffer, l.chain = buffer, chain
	return nil
}

// flush writes the buffer to the file without syncing it.
func (l *Log) flush() error {
	if len(l.buffer) == 0 {
		return nil
	}
	l.unsynced = true
	if err := l.writeBuffer(); err != nil {
		return l.fail("writing the log", err)
	}
	l.currentSegment().size += int64(len(l.buffer))
	l.currentSegment().lastIndex = l.lastIndex
	return nil
}

// writeBuffer writes the buffer to the file. What belongs to a snapshot may use the reserve;
// commands may not.
func (l *Log) writeBuffer() error {
	rest := l.buffer
	write := func() error {
		count, err := l.file.Write(rest)
		rest = rest[count:]
		if err == nil && len(rest) > 0 {
			err = io.ErrShortWrite
		}
		return err
	}
	if l.savesBatch {
		return write()
	}
	return l.withReserve(write)
}

// sync makes everything written durable.
func (l *Log) sync() error {
	if !l.unsynced {
		return nil
	}
	if err := l.file.Sync(); err != nil {
		return l.fail("syncing the log", err)
	}
	l.unsynced = false
	l.syncCount++
	return nil
}

func segmentName(sequence uint64) string {
	return fmt.Sprintf("%016x%s", sequence, segmentSuffix)
}

func snapshotName(index uint64) string {
	return fmt.Sprintf("%016x%s", index, snapshotSuffix)
}
