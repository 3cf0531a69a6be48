package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/lilackeel/lilackeel/call"
)

const (
	// maxReports bounds the reports that a registry stores.
	maxReports = 1024
	// maxBatch bounds the reports returned by one read.
	maxBatch = 64
)

// Registry stores crash reports for readers, each of which reads from its own position. It is safe
// for concurrent use. No other lock is acquired while its lock is held.
type Registry struct {
	mu sync.Mutex
	// stored holds the newest reports by sequence number; nextSequence is that of the next report.
	stored       []storedReport
	nextSequence uint64
	// sequences maps the keys of the stored reports to their sequence numbers.
	sequences map[reportKey]uint64
	changed   chan struct{}
}

type storedReport struct {
	CrashReport
	sequence uint64
}

// reportKey identifies a report.
type reportKey struct {
	request call.Fingerprint
	run     uint64
	cleared bool
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{sequences: map[reportKey]uint64{}, nextSequence: 1, changed: make(chan struct{}, 1)}
}

// Add stores the reports that are new. A cleared report replaces the uncleared one of the same
// crash.
func (r *Registry) Add(reports ...CrashReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range reports {
		r.add(report)
	}
}

func (r *Registry) add(report CrashReport) {
	key := reportKey{report.Request, report.Run, report.Cleared}
	_, known := r.sequences[key]
	_, cleared := r.sequences[reportKey{report.Request, report.Run, true}]
	if known || cleared {
		return
	}
	if report.Cleared {
		r.remove(reportKey{report.Request, report.Run, false})
	}
	if len(r.stored) >= maxReports {
		r.remove(r.stored[0].key())
	}
	r.stored = append(r.stored, storedReport{report, r.nextSequence})
	r.sequences[key] = r.nextSequence
	r.nextSequence++
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

func (p *storedReport) key() reportKey { return reportKey{p.Request, p.Run, p.Cleared} }

func (r *Registry) remove(key reportKey) {
	sequence, found := r.sequences[key]
	if !found {
		return
	}
	delete(r.sequences, key)
	i, _ := slices.BinarySearchFunc(r.stored, sequence, func(p storedReport, n uint64) int {
		if p.sequence < n {
			return -1
		}
		return int(min(p.sequence-n, 1))
	})
	r.stored = slices.Delete(r.stored, i, i+1)
}

// Since returns up to maxBatch reports after a reader's position, zero for the beginning, and the
// reader's next position.
func (r *Registry) Since(position uint64) ([]CrashReport, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var reports []CrashReport
	for _, p := range r.stored {
		if p.sequence <= position {
			continue
		}
		if len(reports) == maxBatch {
			return reports, position
		}
		reports, position = append(reports, p.CrashReport), p.sequence
	}
	return reports, position
}

// Changed returns a channel that receives after reports have been stored. It notifies one receiver.
func (r *Registry) Changed() <-chan struct{} { return r.changed }

// EvictStale evicts the reports older than reportRetention.
func (r *Registry) EvictStale(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stored = slices.DeleteFunc(r.stored, func(p storedReport) bool {
		if now-p.At <= reportRetention {
			return false
		}
		delete(r.sequences, p.key())
		return true
	})
}
