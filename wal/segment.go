package wal

import (
	pb "github.com/lilackeel/lilackeel/api/replica/v1"
)

// roll closes the current segment and starts the next one. The new segment starts
// with the hard state and the snapshot mark, so that older ones can be removed.
//
// The current segment must be synced. The new segment is given its name only
// after its initial records are durable, so that only the last segment can be
// torn, and never within its initial records.
func (l *Log) roll() error {
	next := segment{sequence: l.currentSegment().sequence + 1, lastIndex: l.lastIndex}
	if err := l.file.Close(); err != nil {
		return l.fail("closing a segment", err)
	}
	return l.startSegment(next)
}

// startSegment writes the initial records of a segment under a temporary name and
// renames the file into place.
func (l *Log) startSegment(next segment) error {
	name := segmentName(next.sequence)
	var file File
	err := l.withReserve(func() (err error) {
		file, err = l.options.FS.Create(l.path(name + temporarySuffix))
		return err
	})
	if err != nil {
		return l.fail("creating a segment", err)
	}
	l.file = file
	l.segments = append(l.segments, next)
	l.chain = 0
	l.syncCount = 0
	if err := l.writeHead(next); err != nil {
		return err
	}
	if err := l.options.FS.Rename(l.path(name+temporarySuffix), l.path(name)); err != nil {
		return l.fail("renaming a segment", err)
	}
	if err := l.options.FS.SyncDir(l.options.Dir); err != nil {
		return l.fail("syncing the directory", err)
	}
	return nil
}

// writeHead writes and syncs the initial records of a segment: its header, the
// hard state and the snapshot mark.
func (l *Log) writeHead(next segment) error {
	l.buffer = l.buffer[:0]
	header := &pb.SegmentHeader{Sequence: next.sequence, LastIndex: next.lastIndex}
	if err := l.appendRecord(recordHeader, header); err != nil {
		return err
	}
	if l.hardState != nil {
		if err := l.appendRecord(recordState, l.hardState); err != nil {
			return err
		}
	}
	if l.mark != nil {
		// The mark is repeated without its reset flag: replay has already
		// discarded the entries before the reset, and repeating it would discard
		// those written since.
		mark := &pb.SnapshotMark{Index: l.mark.GetIndex(), Term: l.mark.GetTerm()}
		if err := l.appendRecord(recordSnapshot, mark); err != nil {
			return err
		}
	}
	if err := l.flush(); err != nil {
		return err
	}
	return l.sync()
}

// markObsolete marks the segments and the snapshot that the current snapshot
// replaces as obsolete. RemoveObsolete removes their files.
func (l *Log) markObsolete(previousSnapshot uint64, reset bool) {
	dropped := 0
	for dropped < len(l.segments)-1 && (reset || l.segments[dropped].lastIndex <= l.snapshotIndex) {
		dropped++
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, old := range l.segments[:dropped] {
		l.obsolete = append(l.obsolete, segmentName(old.sequence))
	}
	if previousSnapshot != 0 && previousSnapshot != l.snapshotIndex {
		l.obsolete = append(l.obsolete, snapshotName(previousSnapshot))
	}
	l.segments = append([]segment(nil), l.segments[dropped:]...)
}

// RemoveObsolete removes the files that installed snapshots have replaced, and occupies the room that
// is kept free for the next snapshot. Since
// removing large files takes long, it may run concurrently with the other methods.
// Files that remain after a crash are removed at the next start or with the next
// snapshot.
func (l *Log) RemoveObsolete() error {
	l.removeMu.Lock()
	defer l.removeMu.Unlock()
	for {
		if err := l.Err(); err != nil {
			return err
		}
		name := l.nextObsolete()
		if name == "" {
			return l.occupyReserve()
		}
		if err := l.options.FS.Remove(l.path(name)); err != nil {
			return l.fail("removing "+name, err)
		}
		// Syncing after each removal keeps the order of removals across a crash:
		// there must be no gap in the remaining segments.
		if err := l.options.FS.SyncDir(l.options.Dir); err != nil {
			return l.fail("syncing the directory", err)
		}
	}
}

// nextObsolete dequeues the next file to remove; "" if there is none.
func (l *Log) nextObsolete() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.obsolete) == 0 {
		return ""
	}
	name := l.obsolete[0]
	l.obsolete = l.obsolete[1:]
	return name
}
