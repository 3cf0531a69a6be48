package quarantine

import (
	"time"

	"github.com/lilackeel/lilackeel/call"
)

// EvictStale evicts the requests without a recent crash. It must be called periodically.
func (t *Tracker) EvictStale(now time.Duration) {
	t.registry.EvictStale(now)
	t.parts.evictStale(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, r := range t.requests {
		if r.stale(now) {
			t.remove(f)
		}
	}
}

// stale reports whether the last crash is longer ago than both reportRetention and twice the last
// hold, so that a request that crashes processes at long intervals stays tracked.
func (r *record) stale(now time.Duration) bool {
	last := r.lastCrash()
	hold := max(r.heldUntil-last, 0)
	return now-last > max(reportRetention, 2*hold)
}

// evictIfFull evicts a request if there is no room for one more: the one with the fewest crashes
// and, among these, the one whose last crash is the oldest. The caller must hold the lock.
func (t *Tracker) evictIfFull() {
	if len(t.requests) < maxRequests {
		return
	}
	var victim call.Fingerprint
	var victimRecord *record
	for f, r := range t.requests {
		if victimRecord == nil || evictedBefore(r, victimRecord) {
			victim, victimRecord = f, r
		}
	}
	t.remove(victim)
}

// evictedBefore reports whether a is evicted in preference to b.
func evictedBefore(a, b *record) bool {
	if len(a.crashes) != len(b.crashes) {
		return len(a.crashes) < len(b.crashes)
	}
	return a.lastCrash() < b.lastCrash()
}

// remove deletes a request. The caller must hold the lock.
func (t *Tracker) remove(f call.Fingerprint) {
	for run := range t.requests[f].crashes {
		t.removeRun(f, run)
	}
	delete(t.requests, f)
	delete(t.confirmedCauses, f)
	delete(t.recurring, f)
	t.trackedCount.Store(int64(len(t.requests)))
}

// removeRun deletes the crash of a run from a request; a run of zero means none. The caller must
// hold the lock.
func (t *Tracker) removeRun(f call.Fingerprint, run uint64) {
	if run == 0 {
		return
	}
	r := t.requests[f]
	delete(r.crashes, run)
	delete(r.clearedRuns, run)
	delete(r.refutedRuns, run)
	delete(t.suspects[run], f)
	if len(t.suspects[run]) == 0 {
		delete(t.suspects, run)
	}
}
