package quarantine

import (
	"time"

	"github.com/lilackeel/lilackeel/call"
)

// Forget drops the requests of which nothing has been sighted for long. It is to be called
// now and then.
func (b *Book) Forget(now time.Duration) {
	b.own.Forget(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	for f, r := range b.requests {
		if r.stale(now) {
			b.drop(f)
		}
	}
}

// stale reports whether nothing has been sighted of the request for long: for longer than it
// was held last, so that one which ends processes at long intervals is not begun with anew.
func (r *record) stale(now time.Duration) bool {
	newest := r.newest()
	hold := max(r.until-newest, 0)
	return now-newest > max(memory, 2*hold)
}

// makeRoom drops a request if there is no room for one more: the one with the fewest ends and,
// of these, the one sighted the longest ago. The lock is held.
func (b *Book) makeRoom() {
	if len(b.requests) < maxRequests {
		return
	}
	var least call.Fingerprint
	var worst *record
	for f, r := range b.requests {
		if worst == nil || less(r, worst) {
			least, worst = f, r
		}
	}
	b.drop(least)
}

func less(a, b *record) bool {
	if len(a.ends) != len(b.ends) {
		return len(a.ends) < len(b.ends)
	}
	return a.newest() < b.newest()
}

// drop forgets a request; the lock is held.
func (b *Book) drop(f call.Fingerprint) {
	for run := range b.requests[f].ends {
		b.forgetRun(f, run)
	}
	delete(b.requests, f)
	delete(b.proven, f)
	b.known.Store(int64(len(b.requests)))
}

// forgetRun forgets that a request was sighted at the end of a run; zero stands for none. The
// lock is held.
func (b *Book) forgetRun(f call.Fingerprint, run uint64) {
	if run == 0 {
		return
	}
	r := b.requests[f]
	delete(r.ends, run)
	delete(r.cleared, run)
	delete(b.runs[run], f)
	if len(b.runs[run]) == 0 {
		delete(b.runs, run)
	}
}
