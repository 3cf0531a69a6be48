package quarantine

import (
	"time"

	"github.com/lilackeel/lilackeel/call"
)

// Forget evicts the requests without a recent crash. It is to be called now and then.
func (t *Tracker) EvictStale(now time.Duration) {
	t.registry.EvictStale(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, r := range t.requests {
		if r.stale(now) {
			t.drop(f)
		}
	}
}

// stale reports whether the request has had no crash for longer than memory and twice its last
// hold, so that one which ends processes at long intervals stays known.
func (r *record) stale(now time.Duration) bool {
	newest := r.newest()
	hold := max(r.until-newest, 0)
	return now-newest > max(memory, 2*hold)
}

// makeRoom drops a request if there is no room for one more: the one with the fewest ends and,
// of these, the one with the oldest crash. The lock is held.
func (t *Tracker) makeRoom() {
	if len(t.requests) < maxRequests {
		return
	}
	var least call.Fingerprint
	var worst *record
	for f, r := range t.requests {
		if worst == nil || less(r, worst) {
			least, worst = f, r
		}
	}
	t.drop(least)
}

func less(a, b *record) bool {
	if len(a.ends) != len(b.ends) {
		return len(a.ends) < len(b.ends)
	}
	return a.newest() < b.newest()
}

// drop forgets a request; the lock is held.
func (t *Tracker) drop(f call.Fingerprint) {
	for run := range t.requests[f].ends {
		t.forgetRun(f, run)
	}
	delete(t.requests, f)
	delete(t.confirmed, f)
	delete(t.recurring, f)
	t.known.Store(int64(len(t.requests)))
}

// forgetRun forgets the crash of a run under a request; zero stands for none. The lock is held.
func (t *Tracker) forgetRun(f call.Fingerprint, run uint64) {
	if run == 0 {
		return
	}
	r := t.requests[f]
	delete(r.ends, run)
	delete(r.cleared, run)
	delete(r.refuted, run)
	delete(t.runs[run], f)
	if len(t.runs[run]) == 0 {
		delete(t.runs, run)
	}
}
