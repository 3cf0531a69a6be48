package suspicion

import (
	"sync"
	"time"
)

const (
	// maxStored is the maximum number of reports in a log, maxRead that returned by one read.
	maxStored = 1024
	maxRead   = 128
)

// Log stores the latest reports of all entries at a host. Each reader keeps its own position. A Log is
// safe for concurrent use; no other lock is acquired while its lock is held. The zero value is ready
// for use.
type Log struct {
	mu     sync.Mutex
	stored []Report
	// first is the position of the oldest stored report.
	first uint64
}

// Add appends reports, and evicts the oldest ones if the log is full or they have expired.
func (l *Log) Add(now time.Duration, reports []Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stored = append(l.stored, reports...)
	drop := max(len(l.stored)-maxStored, 0)
	for drop < len(l.stored) && now-l.stored[drop].At > reportTTL {
		drop++
	}
	l.stored = append(l.stored[:0], l.stored[drop:]...)
	l.first += uint64(drop)
}

// Since returns up to maxRead reports from the given position on, zero for the beginning, and the
// position for the next read.
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
