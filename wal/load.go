package wal

import (
	"fmt"
	"strconv"
	"strings"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
)

// load reads the stored state and opens the last segment for appending.
func (l *Log) load() (State, error) {
	if err := l.finishDiscard(); err != nil {
		return State{}, err
	}
	sequences, snapshots, err := l.listFiles()
	if err != nil {
		return State{}, err
	}
	isNew := len(sequences) == 0
	replayed := replay{}
	for i, sequence := range sequences {
		last := i == len(sequences)-1
		if err := l.replaySegment(&replayed, sequence, last); err != nil {
			return State{}, err
		}
	}
	state, err := l.buildState(&replayed)
	if err != nil {
		return State{}, err
	}
	l.snapshotIndex = replayed.mark.GetIndex()
	l.loadReserve(isNew)
	if state.Label, err = l.loadLabel(isNew); err != nil {
		return State{}, err
	}
	if err := l.openLastSegment(isNew, &replayed); err != nil {
		return State{}, err
	}
	return state, l.removeUnreferencedSnapshots(snapshots)
}

// listFiles returns the sequence numbers of the segments and the indexes of the
// snapshots, and removes the temporary files that a crash left behind.
func (l *Log) listFiles() (sequences, snapshots []uint64, err error) {
	names, err := l.options.FS.List(l.options.Dir)
	if err != nil {
		return nil, nil, ioError("listing the directory", err)
	}
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, temporarySuffix):
			if err := l.options.FS.Remove(l.path(name)); err != nil {
				return nil, nil, ioError("removing "+name, err)
			}
		case strings.HasSuffix(name, segmentSuffix):
			sequences, err = appendNumber(sequences, name, segmentSuffix)
		case strings.HasSuffix(name, snapshotSuffix):
			snapshots, err = appendNumber(snapshots, name, snapshotSuffix)
		}
		if err != nil {
			return nil, nil, corruptError(l.path(name), 0, "the file name is not a hexadecimal number")
		}
	}
	return sequences, snapshots, nil
}

// appendNumber parses the hexadecimal number in a file name and appends it.
func appendNumber(numbers []uint64, name, suffix string) ([]uint64, error) {
	number, err := strconv.ParseUint(strings.TrimSuffix(name, suffix), 16, 64)
	return append(numbers, number), err
}

// replay accumulates the records of all segments. chain, syncCount and size are
// those at the end of the segment read last.
type replay struct {
	lastSequence uint64 // of the segment read last
	hardState    *pb.HardState
	mark         *pb.SnapshotMark
	entries      []*pb.Entry
	lastIndex    uint64 // index of the last entry, even if a snapshot replaced it
	chain        uint32
	syncCount    uint32
	size         int
}

// replaySegment reads one segment. Only the last one may have a torn tail.
func (l *Log) replaySegment(r *replay, sequence uint64, last bool) error {
	path := l.path(segmentName(sequence))
	if r.lastSequence != 0 && sequence != r.lastSequence+1 {
		return corruptError(path, 0, fmt.Sprintf("the preceding segment %d is missing", r.lastSequence+1))
	}
	r.lastSequence = sequence
	segmentFrames, err := l.openFrames(path)
	if err != nil {
		return ioError("reading "+path, err)
	}
	defer segmentFrames.close()
	r.chain, r.syncCount = 0, 0
	offset := 0
	for {
		f, status, err := segmentFrames.next(offset, r.chain, r.syncCount)
		if err != nil {
			return ioError("reading "+path, err)
		}
		torn := status == frameTorn && last && offset > 0
		if status == frameEnd && offset > 0 || torn {
			break
		}
		if status != frameValid {
			return corruptError(path, offset, "checksum mismatch or truncated record")
		}
		if reason := r.apply(f, offset, sequence); reason != "" {
			return corruptError(path, offset, reason)
		}
		r.chain, r.syncCount = f.chain, f.syncCount
		offset += f.size
	}
	r.size = offset
	l.segments = append(l.segments, segment{sequence: sequence, lastIndex: r.lastIndex, size: int64(offset)})
	return nil
}

// apply applies one record. It returns what is wrong with the record, or "".
func (r *replay) apply(f frame, offset int, sequence uint64) string {
	message, err := decodeRecord(f)
	if err != nil {
		return err.Error()
	}
	header, isHeader := message.(*pb.SegmentHeader)
	if isHeader != (offset == 0) {
		return "a segment header is missing or in the wrong place"
	}
	switch record := message.(type) {
	case *pb.SegmentHeader:
		if header.GetSequence() != sequence {
			return fmt.Sprintf("the header is that of segment %d", header.GetSequence())
		}
		if r.size > 0 && header.GetLastIndex() != r.lastIndex {
			return fmt.Sprintf("the preceding segment ends with entry %d instead of %d", r.lastIndex, header.GetLastIndex())
		}
		r.lastIndex = header.GetLastIndex()
	case *pb.HardState:
		r.hardState = record
	case *pb.SnapshotMark:
		r.mark = record
		if record.GetReset_() {
			r.entries = nil
			r.lastIndex = record.GetIndex()
		}
		r.dropCovered(record.GetIndex())
	case *pb.Entry:
		return r.applyEntry(record)
	}
	return ""
}

// dropCovered releases the entries that a snapshot at index covers.
func (r *replay) dropCovered(index uint64) {
	covered := 0
	for covered < len(r.entries) && r.entries[covered].GetIndex() <= index {
		covered++
	}
	r.entries = append([]*pb.Entry(nil), r.entries[covered:]...)
}

// applyEntry appends an entry after discarding any entries from its index on. It
// returns what is wrong with the entry, or "".
func (r *replay) applyEntry(entry *pb.Entry) string {
	last := r.lastIndex
	r.lastIndex = entry.GetIndex()
	if len(r.entries) == 0 {
		r.entries = append(r.entries, entry)
		return ""
	}
	first := r.entries[0].GetIndex()
	if entry.GetIndex() < first {
		r.entries = append(r.entries[:0], entry)
		return ""
	}
	keep := entry.GetIndex() - first
	if keep > uint64(len(r.entries)) {
		return fmt.Sprintf("entry %d follows entry %d", entry.GetIndex(), last)
	}
	r.entries = append(r.entries[:keep:keep], entry)
	return ""
}

// buildState returns the replayed state: the snapshot and the entries after it.
func (l *Log) buildState(r *replay) (State, error) {
	state := State{HardState: r.hardState}
	base := uint64(0)
	if r.mark != nil {
		snapshot, err := l.readSnapshot(r.mark.GetIndex())
		if err != nil {
			return State{}, err
		}
		state.Snapshot = snapshot
		base = snapshot.GetIndex()
	}
	for i, entry := range r.entries {
		if entry.GetIndex() > base {
			state.Entries = r.entries[i:]
			break
		}
	}
	if len(state.Entries) > 0 && state.Entries[0].GetIndex() != base+1 {
		path := l.path(segmentName(l.segments[0].sequence))
		return State{}, corruptError(path, 0, fmt.Sprintf("the entries after index %d are missing", base))
	}
	return state, nil
}

// openLastSegment truncates the torn tail of the last segment, if any, and opens
// the segment for appending. A new log starts with segment 1.
func (l *Log) openLastSegment(isNew bool, r *replay) error {
	l.hardState, l.mark, l.snapshotIndex = r.hardState, r.mark, r.mark.GetIndex()
	l.lastIndex = r.lastIndex
	if isNew {
		return l.startSegment(segment{sequence: 1})
	}
	file, err := l.options.FS.Append(l.path(segmentName(r.lastSequence)), int64(r.size))
	if err != nil {
		return ioError("opening the last segment", err)
	}
	l.file, l.chain = file, r.chain
	// The frames from here on follow the sync below.
	l.syncCount = r.syncCount + 1
	if err := file.Sync(); err != nil {
		return l.fail("syncing the last segment", err)
	}
	return nil
}

// removeUnreferencedSnapshots removes the snapshots other than the one that the
// log refers to.
func (l *Log) removeUnreferencedSnapshots(snapshots []uint64) error {
	for _, index := range snapshots {
		if index == l.snapshotIndex {
			continue
		}
		if err := l.options.FS.Remove(l.path(snapshotName(index))); err != nil {
			return ioError("removing a snapshot", err)
		}
	}
	return nil
}
