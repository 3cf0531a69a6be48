package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/lilackeel/lilackeel/call"
)

const (
	// maxReports bounds the reports that a registry holds.
	maxReports = 1024
	// maxRead bounds the reports that are read at once.
	maxRead = 64
)

// Registry holds crash reports for readers, each of which reads from its own position. It is safe
// for concurrent use; its lock is a leaf.
type Registry struct {
	mu sync.Mutex
	// stored are the newest, in order; next numbers the one after the last.
	stored []storedReport
	next   uint64
	// present finds the number of what is stored.
	present map[reportKey]uint64
	changed chan struct{}
}

type storedReport struct {
	CrashReport
	number uint64
}

// reportKey identifies a report.
type reportKey struct {
	request call.Fingerprint
	run     uint64
	cleared bool
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{present: map[reportKey]uint64{}, next: 1, changed: make(chan struct{}, 1)}
}

// Add stores reports that are new. A cleared report replaces the one that it clears.
func (r *Registry) Add(reports ...CrashReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range reports {
		r.add(s)
	}
}

func (r *Registry) add(s CrashReport) {
	key := reportKey{s.Request, s.Run, s.Cleared}
	_, same := r.present[key]
	_, cleared := r.present[reportKey{s.Request, s.Run, true}]
	if same || cleared {
		return
	}
	if s.Cleared {
		r.remove(reportKey{s.Request, s.Run, false})
	}
	if len(r.stored) >= maxReports {
		r.remove(r.stored[0].key())
	}
	r.stored = append(r.stored, storedReport{s, r.next})
	r.present[key] = r.next
	r.next++
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

func (p *storedReport) key() reportKey { return reportKey{p.Request, p.Run, p.Cleared} }

func (r *Registry) remove(key reportKey) {
	number, there := r.present[key]
	if !there {
		return
	}
	delete(r.present, key)
	i, _ := slices.BinarySearchFunc(r.stored, number, func(p storedReport, n uint64) int {
		if p.number < n {
			return -1
		}
		return int(min(p.number-n, 1))
	})
	r.stored = slices.Delete(r.stored, i, i+1)
}

// Since returns the reports after a position that a reader has read to, zero for the
// beginning, and the next position. Of many it returns a part.
func (r *Registry) Since(position uint64) ([]CrashReport, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []CrashReport
	for _, p := range r.stored {
		if p.number <= position {
			continue
		}
		if len(found) == maxRead {
			return found, position
		}
		found, position = append(found, p.CrashReport), p.number
	}
	return found, position
}

// Changed receives after reports were stored. One receiver is notified.
func (r *Registry) Changed() <-chan struct{} { return r.changed }

// Forget evicts reports older than memory.
func (r *Registry) EvictStale(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stored = slices.DeleteFunc(r.stored, func(p storedReport) bool {
		if now-p.At <= memory {
			return false
		}
		delete(r.present, p.key())
		return true
	})
}
