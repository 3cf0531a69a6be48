package suspicion

import (
	"sync"
	"time"
)

const (
	// maxStored bounds the reports that a log holds, maxRead those that are read at once.
	maxStored = 1024
	maxRead   = 128
)

// Log holds the latest reports of all entries at a host, for readers, each of which reads from its
// own position. It is safe for concurrent use; its lock is a leaf. The zero value is ready.
type Log struct {
	mu     sync.Mutex
	stored []Report
	// first is the number of the oldest stored report.
	first uint64
}

// Add stores reports, and evicts the oldest ones.
func (l *Log) Add(now time.Duration, reports []Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stored = append(l.stored, reports...)
	drop := max(len(l.stored)-maxStored, 0)
	for drop < len(l.stored) && now-l.stored[drop].At > memory {
		drop++
	}
	l.stored = append(l.stored[:0], l.stored[drop:]...)
	l.first += uint64(drop)
}

// Since returns the reports after a position that a reader has read to, zero for the beginning, and
// the next position. Of many it returns a part.
func (l *Log) Since(position uint64) ([]Report, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := int(max(position, l.first) - l.first)
	if from >= len(l.stored) {
		return nil, max(position, l.first)
	}
	to := min(from+maxRead, len(l.stored))
	found := append([]Report(nil), l.stored[from:to]...)
	return found, l.first + uint64(to)
}
