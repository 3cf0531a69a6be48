package quarantine

import (
	"time"

	"github.com/lilackeel/lilackeel/call"
)

// snapshot returns at most limit reports on parts with several crashes, those of suspects first.
func (t *PartTracker) snapshot(limit int) []CrashReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []CrashReport
	add := func(f call.Fingerprint, r *partRecord) {
		if len(reports)+len(r.crashes) > limit {
			return
		}
		for run, crash := range r.crashes {
			reports = append(reports, CrashReport{Request: f, Run: run, At: crash.at, Cleared: crash.cleared})
		}
	}
	for f, r := range t.candidates {
		add(f, r)
	}
	for f, r := range t.parts {
		if t.candidates[f] == nil && len(r.crashes) > 1 {
			add(f, r)
		}
	}
	return reports
}

// evictStale evicts the parts without a recent crash.
func (t *PartTracker) evictStale(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, r := range t.parts {
		if r.stale(now) {
			t.remove(f)
		}
	}
	t.evaluate()
}

// evictIfFull evicts the part with the fewest uncleared crashes, and among these the one whose last
// crash is the oldest, if there is no room for one more. The caller must hold the lock.
func (t *PartTracker) evictIfFull() {
	if len(t.parts) < maxTrackedParts {
		return
	}
	var victim call.Fingerprint
	var victimRecord *partRecord
	for f, r := range t.parts {
		if victimRecord == nil || r.evictedBefore(victimRecord) {
			victim, victimRecord = f, r
		}
	}
	t.remove(victim)
}

func (r *partRecord) evictedBefore(other *partRecord) bool {
	if own, others := r.uncleared, other.uncleared; own != others {
		return own < others
	}
	return r.lastCrash < other.lastCrash
}

// remove deletes a part. The caller must hold the lock.
func (t *PartTracker) remove(f call.Fingerprint) {
	for run := range t.parts[f].crashes {
		t.releaseRun(run)
	}
	delete(t.parts, f)
	delete(t.candidates, f)
}
