package quarantine

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lilackeel/lilackeel/call"
)

// Tracker is what one entry knows of requests under which processes have ended. It is safe for
// concurrent use. Its lock is held while that of its registry is taken, and no other.
type Tracker struct {
	// known is the number of tracked requests: most of the time there is none.
	known atomic.Int64

	mu       sync.Mutex
	requests map[call.Fingerprint]*record
	// runs holds the suspects of each run that has ended.
	runs map[uint64]map[call.Fingerprint]bool
	// confirmed are the suspects with enough crashes to be their cause.
	confirmed map[call.Fingerprint]*record
	// registry holds the reports of this entry.
	registry *Registry
	rate     rate
	// exposure is that of all attempts of this entry.
	exposure exposure
	// recurring are the requests with several ends, whether they have completed since or not.
	recurring map[call.Fingerprint]*record
}

// record is what is known of one request.
type record struct {
	// ends are the runs that have ended under the request, with their times.
	ends map[uint64]time.Duration
	// cleared are those of which it has been cleared.
	cleared map[uint64]bool
	// refuted are those of cleared in which the process has not ended.
	refuted map[uint64]bool
	// exposure is that of this entry's attempts at it since its first end, and exposedBefore the
	// attempt times of all its attempts until then.
	exposure      exposure
	exposedBefore float64
	// until is the end of its hold, zero if it is not held.
	until time.Duration
}

// Change is the effect of a crash report.
type CrashResult struct {
	// Ends is the number of processes that have ended under the request.
	Crashes int
	// Hold is for how long the request is held from now on; zero if it is not.
	Hold time.Duration
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{requests: map[call.Fingerprint]*record{}, runs: map[uint64]map[call.Fingerprint]bool{}, confirmed: map[call.Fingerprint]*record{}, recurring: map[call.Fingerprint]*record{}, registry: NewRegistry()}
}

// Published returns the reports of this entry, for others.
func (t *Tracker) LocalReports() *Registry { return t.registry }

// Held returns for how long a request is held, zero if it may run.
func (t *Tracker) HoldRemaining(now time.Duration, f call.Fingerprint) time.Duration {
	if t.known.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.requests[f]; r != nil {
		return max(r.until-now, 0)
	}
	return 0
}

// Ended notes that the process of a named run has ended under a request.
func (t *Tracker) RecordCrash(now time.Duration, f call.Fingerprint, run string) CrashResult {
	s := CrashReport{Request: f, Run: HashRun(run), At: now}
	t.registry.Add(s)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merge(now, s)
	r := t.requests[f]
	t.rate.note(now, len(r.ends) == 1)
	return CrashResult{Crashes: len(r.ends) - len(r.cleared), Hold: max(r.until-now, 0)}
}

// Completed notes that a request which was sent at a time has completed on a named run: what
// ended elsewhere ended for another reason. It returns the number of crashes of which the request
// is exonerated.
func (t *Tracker) RecordCompletion(now, sent time.Duration, f call.Fingerprint, run string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rate.note(now, false)
	if len(t.requests) == 0 {
		return 0
	}
	t.refuteCrash(now, sent, HashRun(run))
	r := t.requests[f]
	if r == nil {
		return 0
	}
	cleared := 0
	for ended, at := range r.ends {
		if t.clear(now, f, ended, at) {
			cleared++
		}
	}
	return cleared
}

// refuteCrash clears the suspects of a run that has answered what was sent to it later: it had
// not ended, only accepted no connection for a moment. The lock is held.
func (t *Tracker) refuteCrash(now, sent time.Duration, run uint64) {
	for f := range t.runs[run] {
		if at := t.requests[f].ends[run]; at < sent {
			t.requests[f].refuted[run] = true
			t.clear(now, f, run, at)
		}
	}
}

// clear exonerates a request of one crash, and reports whether it was not cleared before; the lock
// is held.
func (t *Tracker) clear(now time.Duration, f call.Fingerprint, run uint64, at time.Duration) bool {
	if t.requests[f].cleared[run] {
		return false
	}
	s := CrashReport{Request: f, Run: run, At: at, Cleared: true}
	t.registry.Add(s)
	t.merge(now, s)
	return true
}

// Merge merges the reports of others. It returns the requests that are held since.
func (t *Tracker) Merge(now time.Duration, reports []CrashReport) []call.Fingerprint {
	if len(reports) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var held []call.Fingerprint
	for _, s := range reports {
		before := t.requests[s.Request].heldAt(now)
		t.merge(now, s)
		if !before && t.requests[s.Request].heldAt(now) {
			held = append(held, s.Request)
		}
	}
	return held
}

// Snapshot returns the reports on requests with several crashes, at most so many, for a host that
// may have lost them.
func (t *Tracker) Snapshot(most int) []CrashReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var known []CrashReport
	for f, r := range t.requests {
		if len(r.ends) < 2 || len(known)+len(r.ends) > most {
			continue
		}
		for run, at := range r.ends {
			known = append(known, CrashReport{Request: f, Run: run, At: at, Cleared: r.cleared[run]})
		}
	}
	return known
}

// Len returns the number of requests that are remembered, and of those that are held.
func (t *Tracker) Len(now time.Duration) (requests, held int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.requests {
		if r.heldAt(now) {
			held++
		}
	}
	return len(t.requests), held
}

// merge merges one report; the lock is held.
func (t *Tracker) merge(now time.Duration, s CrashReport) {
	r := t.requests[s.Request]
	if r == nil {
		t.makeRoom()
		r = &record{
			ends: map[uint64]time.Duration{}, cleared: map[uint64]bool{}, refuted: map[uint64]bool{},
			exposedBefore: t.exposure.until(now), exposure: exposure{at: now},
		}
		t.requests[s.Request] = r
		t.known.Store(int64(len(t.requests)))
	}
	if _, seen := r.ends[s.Run]; !seen {
		t.forgetRun(s.Request, r.oldestOf(maxRuns))
		r.ends[s.Run] = s.At
		if t.runs[s.Run] == nil {
			t.runs[s.Run] = map[call.Fingerprint]bool{}
		}
		t.runs[s.Run][s.Request] = true
	}
	if s.Cleared {
		r.cleared[s.Run] = true
	}
	t.judge(now, s.Request)
	t.attribute(now, s.Request)
	t.judgeRecurring(now)
}

// judgeRecurring decides anew about the requests with several ends: a further end under others
// speaks for them. The lock is held.
func (t *Tracker) judgeRecurring(now time.Duration) {
	for f := range t.recurring {
		t.judge(now, f)
	}
}

// attribute attributes the crashes of a request to it alone, if it is confirmed or was; the lock
// is held.
func (t *Tracker) attribute(now time.Duration, f call.Fingerprint) {
	r, was := t.requests[f], t.confirmed[f] != nil
	if r.open() >= fewestEnds {
		t.confirmed[f] = r
	} else {
		delete(t.confirmed, f)
	}
	if !was && t.confirmed[f] == nil {
		return
	}
	for run := range r.ends {
		for other := range t.runs[run] {
			if other != f {
				t.judge(now, other)
			}
		}
	}
}

// judge decides anew whether a request is held; the lock is held.
func (t *Tracker) judge(now time.Duration, f call.Fingerprint) {
	r := t.requests[f]
	open, all, newest := 0, 0, time.Duration(0)
	for run, at := range r.ends {
		if r.refuted[run] || t.explained(run, f, r) {
			continue
		}
		all++
		newest = max(newest, at)
		if !r.cleared[run] {
			open++
		}
	}
	if all >= recurring {
		t.recurring[f] = r
	} else {
		delete(t.recurring, f)
	}
	r.until = 0
	if needed := t.rate.needed(now); open >= needed {
		r.until = newest + holdFor(open-needed)
	} else if t.incriminated(now, r, all) {
		r.until = newest + holdFor(all-recurring)
	}
}

// explained reports whether the end of a run is attributed to another request: one that is
// confirmed and has more crashes than this one.
func (t *Tracker) explained(run uint64, f call.Fingerprint, r *record) bool {
	own := r.open()
	for other, theirs := range t.confirmed {
		_, there := theirs.ends[run]
		if other != f && there && !theirs.cleared[run] && theirs.open() > own {
			return true
		}
	}
	return false
}

// holdFor is how long a request is held after so many ends more than were needed.
func holdFor(further int) time.Duration {
	hold := firstHold
	for range further {
		hold = min(hold*holdGrowth, longestHold)
	}
	return hold
}

// heldAt reports whether the request is held; a request that is not known is not.
func (r *record) heldAt(now time.Duration) bool { return r != nil && r.until > now }

// open is the number of ends that the request has not been cleared of.
func (r *record) open() int { return len(r.ends) - len(r.cleared) }

// newest is when a process last ended under the request.
func (r *record) newest() time.Duration {
	var newest time.Duration
	for _, at := range r.ends {
		newest = max(newest, at)
	}
	return newest
}

// oldest is when a process first ended under the request.
func (r *record) oldest() time.Duration {
	oldest := time.Duration(math.MaxInt64)
	for _, at := range r.ends {
		oldest = min(oldest, at)
	}
	return oldest
}

// oldestOf returns the oldest run if there are as many as most, zero otherwise.
func (r *record) oldestOf(most int) uint64 {
	if len(r.ends) < most {
		return 0
	}
	var oldest uint64
	for run, at := range r.ends {
		if oldest == 0 || at < r.ends[oldest] {
			oldest = run
		}
	}
	return oldest
}
