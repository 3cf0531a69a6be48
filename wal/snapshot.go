package wal

import (
	"errors"
	"io/fs"

	"google.golang.org/protobuf/proto"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
)

// syncChunkSize is the number of bytes of a file that are written between two
// syncs. It limits how much unsynced data a concurrent sync of the log may have to
// wait for.
const syncChunkSize = 4 << 20

// SnapshotFile is a durable snapshot file. The log does not refer to it until it
// is installed.
type SnapshotFile struct {
	index, term uint64
	size        int
}

// Size returns the size of the file in bytes.
func (f *SnapshotFile) Size() int { return f.size }

// SaveSnapshot writes a snapshot, installs it and removes obsolete files. With
// reset, for a snapshot received from the leader, all entries stored so far are
// discarded. Without reset, the entries after the snapshot are kept.
func (l *Log) SaveSnapshot(snapshot *pb.Snapshot, reset bool) error {
	file, err := l.WriteSnapshot(snapshot)
	if err != nil {
		return err
	}
	if err := l.install(file, reset); err != nil {
		return err
	}
	return l.RemoveObsolete()
}

// WriteSnapshot writes a durable snapshot file and does not change the log: until
// the file is installed, a restart uses the previous snapshot and its entries. One
// call at a time may run concurrently with the other methods. A failure closes
// the log permanently.
func (l *Log) WriteSnapshot(snapshot *pb.Snapshot) (*SnapshotFile, error) {
	if err := l.Err(); err != nil {
		return nil, err
	}
	size, err := l.replaceFile(snapshotName(snapshot.GetIndex()), recordSnapshot, snapshot)
	if err != nil {
		return nil, l.fail("writing a snapshot", err)
	}
	return &SnapshotFile{index: snapshot.GetIndex(), term: snapshot.GetTerm(), size: size}, nil
}

// InstallSnapshot makes the log start at a written snapshot. The entries after it
// are kept; segments that contain only older entries become obsolete. If a newer
// snapshot from the leader has been installed meanwhile, the written one becomes
// obsolete instead. The caller should call RemoveObsolete afterwards.
func (l *Log) InstallSnapshot(file *SnapshotFile) error {
	switch {
	case file.index > l.snapshotIndex:
		return l.install(file, false)
	case file.index < l.snapshotIndex:
		l.mu.Lock()
		l.obsolete = append(l.obsolete, snapshotName(file.index))
		l.mu.Unlock()
	}
	return l.Err()
}

// install syncs a mark that refers to a written snapshot, and only then marks the
// files that the snapshot replaces as obsolete.
func (l *Log) install(file *SnapshotFile, reset bool) error {
	if err := l.Err(); err != nil {
		return err
	}
	previousSnapshot := l.snapshotIndex
	l.mark = &pb.SnapshotMark{Index: file.index, Term: file.term, Reset_: reset}
	l.buffer = l.buffer[:0]
	if err := l.appendRecord(recordSnapshot, l.mark); err != nil {
		return err
	}
	if err := l.flush(); err != nil {
		return err
	}
	if err := l.sync(); err != nil {
		return err
	}
	if reset {
		l.lastIndex = file.index
	}
	l.snapshotIndex = file.index
	l.mu.Lock()
	l.reserve.snapshotSize = int64(file.size)
	l.mu.Unlock()
	if err := l.roll(); err != nil {
		return err
	}
	l.markObsolete(previousSnapshot, reset)
	return nil
}

// replaceFile atomically replaces a file that holds one frame: it writes and syncs
// a temporary file, renames it and syncs the directory. A crash leaves either the
// old or the new file.
func (l *Log) replaceFile(name string, kind recordKind, message proto.Message) (size int, err error) {
	data, _, err := appendFrame(nil, 0, 0, kind, message)
	if err != nil {
		return 0, err
	}
	if err := l.withReserve(func() error { return l.replaceFileWith(name, data) }); err != nil {
		return 0, err
	}
	return len(data), nil
}

func (l *Log) replaceFileWith(name string, data []byte) error {
	temporary := l.path(name + temporarySuffix)
	file, err := l.options.FS.Create(temporary)
	if err != nil {
		return err
	}
	if err := writeSynced(file, data); err != nil {
		return err
	}
	if err := l.options.FS.Rename(temporary, l.path(name)); err != nil {
		return err
	}
	return l.options.FS.SyncDir(l.options.Dir)
}

// writeSynced writes data in chunks, syncs after each and closes the file.
func writeSynced(file File, data []byte) error {
	var err error
	for start := 0; err == nil && start < len(data); start += syncChunkSize {
		_, err = file.Write(data[start:min(start+syncChunkSize, len(data))])
		if err == nil {
			err = file.Sync()
		}
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// readSnapshot reads the snapshot file of the given index.
func (l *Log) readSnapshot(index uint64) (*pb.Snapshot, error) {
	snapshot := &pb.Snapshot{}
	err := l.readSingle(snapshotName(index), snapshot)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, corruptError(l.path(snapshotName(index)), 0, "the snapshot that the log refers to is missing")
	}
	if err != nil {
		return nil, err
	}
	if snapshot.GetIndex() != index {
		return nil, corruptError(l.path(snapshotName(index)), 0, "the snapshot in the file has another index")
	}
	return snapshot, nil
}

// readSingle reads a file that holds one frame.
func (l *Log) readSingle(name string, message proto.Message) error {
	data, err := l.options.FS.ReadFile(l.path(name))
	if err != nil {
		return err
	}
	f, status := readFrame(data, 0, 0, 0)
	if status != frameValid {
		return corruptError(l.path(name), 0, "checksum mismatch")
	}
	if f.size != len(data) {
		return corruptError(l.path(name), f.size, "unexpected data after the record")
	}
	if err := proto.Unmarshal(f.payload, message); err != nil {
		return corruptError(l.path(name), frameHeaderSize, err.Error())
	}
	return nil
}

// loadLabel increments the incarnation of the label and writes it durably.
//
// A directory without a log gets a new identity even if it has a label: either
// nothing was ever acknowledged under the old identity, or the log was lost and
// the disk must not count as intact.
func (l *Log) loadLabel(isNew bool) (*pb.DiskLabel, error) {
	label := &pb.DiskLabel{}
	if isNew {
		label.Identity, label.Founder = l.options.NewIdentity(), l.options.Founder
	} else if err := l.readLabel(label); err != nil {
		return nil, err
	}
	label.Incarnation++
	if _, err := l.replaceFile(labelName, recordHeader, label); err != nil {
		return nil, ioError("writing the label", err)
	}
	return label, nil
}

func (l *Log) readLabel(label *pb.DiskLabel) error {
	err := l.readSingle(labelName, label)
	if errors.Is(err, fs.ErrNotExist) {
		return corruptError(l.path(labelName), 0, "the log exists but the label of the disk is missing")
	}
	return err
}
