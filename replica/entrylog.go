package replica

import (
	"google.golang.org/protobuf/proto"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
)

// position is the index and term of an entry.
type position struct {
	index uint64
	term  uint64
}

// atLeast reports whether a log that ends at p is at least as up to date as one
// that ends at other.
func (p position) atLeast(other position) bool {
	if p.term != other.term {
		return p.term > other.term
	}
	return p.index >= other.index
}

// entryLog holds the entries after base in memory.
type entryLog struct {
	base      position
	entries   []*pb.Entry
	bytes     int    // size of the entries
	persisted uint64 // entries up to this index are durable
	committed uint64
	delivered uint64 // entries up to this index were returned by Ready to be applied
}

func (l *entryLog) last() position {
	if len(l.entries) == 0 {
		return l.base
	}
	entry := l.entries[len(l.entries)-1]
	return position{entry.GetIndex(), entry.GetTerm()}
}

// term returns the term of the entry at index, or false if the log has no such
// entry or has compacted it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base.index {
		return l.base.term, true
	}
	if index < l.base.index || index > l.last().index {
		return 0, false
	}
	return l.at(index).GetTerm(), true
}

func (l *entryLog) at(index uint64) *pb.Entry {
	return l.entries[index-l.base.index-1]
}

// slice returns the entries from first to last, both of which must be in the log.
func (l *entryLog) slice(first, last uint64) []*pb.Entry {
	if first > last {
		return nil
	}
	return l.entries[first-l.base.index-1 : last-l.base.index : last-l.base.index]
}

// entriesFrom returns the entries from first on, up to limit bytes but at least
// one.
func (l *entryLog) entriesFrom(first uint64, limit int) []*pb.Entry {
	last := l.last().index
	size := 0
	for index := first; index <= last; index++ {
		size += proto.Size(l.at(index))
		if size > limit && index > first {
			return l.slice(first, index-1)
		}
	}
	return l.slice(first, last)
}

func (l *entryLog) append(entry *pb.Entry) {
	l.entries = append(l.entries, entry)
	l.bytes += proto.Size(entry)
}

// truncate removes the entries from index on. It copies the rest, because messages
// that are still being sent may share the old slice.
func (l *entryLog) truncate(index uint64) {
	keep := index - l.base.index - 1
	l.bytes -= totalSize(l.entries[keep:])
	l.entries = append([]*pb.Entry(nil), l.entries[:keep]...)
	l.persisted = min(l.persisted, index-1)
}

// beforeTrailing returns the index before the longest run of entries that ends at
// index and has at most count entries and limit bytes.
func (l *entryLog) beforeTrailing(index, count uint64, limit int) uint64 {
	size := 0
	for first := index; first > l.base.index; first-- {
		size += proto.Size(l.at(first))
		if size > limit || index-first >= count {
			return first
		}
	}
	return l.base.index
}

// compact removes the entries up to index.
func (l *entryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.base.index {
		return
	}
	l.bytes -= totalSize(l.entries[:index-l.base.index])
	l.entries = append([]*pb.Entry(nil), l.entries[index-l.base.index:]...)
	l.base = position{index, term}
}

// totalSize returns the size of entries in bytes.
func totalSize(entries []*pb.Entry) int {
	size := 0
	for _, entry := range entries {
		size += proto.Size(entry)
	}
	return size
}

// reset replaces the whole log by a snapshot at p.
func (l *entryLog) reset(p position) {
	*l = entryLog{base: p, persisted: p.index, committed: p.index, delivered: p.index}
}

// conflictHint returns the last index at or before index whose entry has at most
// this term, as the next one for the leader to try.
func (l *entryLog) conflictHint(index, term uint64) uint64 {
	index = min(index, l.last().index)
	for index > l.base.index {
		if found, ok := l.term(index); ok && found <= term {
			return index
		}
		index--
	}
	return index
}
