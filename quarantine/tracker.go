package quarantine

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lilackeel/lilackeel/call"
)

// Tracker holds what one entry knows of requests that were running when processes crashed. It is
// safe for concurrent use. Its registry's lock is the only one acquired while its own lock is held.
type Tracker struct {
	// trackedCount is the number of tracked requests. It is zero most of the time, and then lookups
	// need no lock.
	trackedCount atomic.Int64

	mu       sync.Mutex
	requests map[call.Fingerprint]*record
	// suspects holds the requests that each crashed run was running.
	suspects map[uint64]map[call.Fingerprint]bool
	// confirmedCauses are the requests with at least minCrashes uncleared crashes.
	confirmedCauses map[call.Fingerprint]*record
	// registry stores the reports that this entry publishes.
	registry  *Registry
	crashRate crashRate
	// exposure covers all attempts of this entry.
	exposure exposure
	// recurring are the requests with at least minRecurringCrashes crashes, whether they have
	// completed since or not.
	recurring map[call.Fingerprint]*record
	parts     *PartTracker
}

// record is what is known of one request.
type record struct {
	// crashes maps the runs that crashed while running the request to the times of the crashes.
	crashes map[uint64]time.Duration
	// clearedRuns are those whose crashes the request has been cleared of.
	clearedRuns map[uint64]bool
	// refutedRuns are those of clearedRuns whose process turned out not to have crashed.
	refutedRuns map[uint64]bool
	// exposure covers this entry's attempts at the request since its first crash, and
	// priorExposure is the time in flight of all of the entry's attempts until then, in seconds.
	exposure      exposure
	priorExposure float64
	// heldUntil is the end of the hold, zero if the request is not held.
	heldUntil time.Duration
}

// CrashResult is the state of a request after a recorded crash.
type CrashResult struct {
	// Crashes is the number of crashes that the request has not been cleared of.
	Crashes int
	// Hold is the time for which the request is held from now on, zero if it is not held.
	Hold time.Duration
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	registry := NewRegistry()
	return &Tracker{
		requests: map[call.Fingerprint]*record{}, suspects: map[uint64]map[call.Fingerprint]bool{}, confirmedCauses: map[call.Fingerprint]*record{},
		recurring: map[call.Fingerprint]*record{}, registry: registry, parts: newPartTracker(registry, rand.Uint64()),
	}
}

// Parts returns the tracker of the parts of prompts.
func (t *Tracker) Parts() *PartTracker { return t.parts }

// LocalReports returns the registry of the reports that this entry publishes.
func (t *Tracker) LocalReports() *Registry { return t.registry }

// HoldRemaining returns the time for which a request is still held, zero if it may run.
func (t *Tracker) HoldRemaining(now time.Duration, f call.Fingerprint) time.Duration {
	if t.trackedCount.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.requests[f]; r != nil {
		return max(r.heldUntil-now, 0)
	}
	return 0
}

// RecordCrash records that the process of a run crashed while running a request.
func (t *Tracker) RecordCrash(now time.Duration, f call.Fingerprint, run string) CrashResult {
	report := CrashReport{Request: f, Run: HashRun(run), At: now}
	t.registry.Add(report)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merge(now, report)
	r := t.requests[f]
	t.crashRate.observe(now, len(r.crashes) == 1)
	return CrashResult{Crashes: len(r.crashes) - len(r.clearedRuns), Hold: max(r.heldUntil-now, 0)}
}

// RecordCompletion records that a request, sent at the given time, has completed on a run. The
// crashes of other runs are then taken to have had another cause. It returns the number of crashes
// that the request is cleared of.
func (t *Tracker) RecordCompletion(now, sent time.Duration, f call.Fingerprint, run string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashRate.observe(now, false)
	if len(t.requests) == 0 {
		return 0
	}
	t.refuteCrash(now, sent, HashRun(run))
	r := t.requests[f]
	if r == nil {
		return 0
	}
	cleared := 0
	for crashedRun, at := range r.crashes {
		if t.clear(now, f, crashedRun, at) {
			cleared++
		}
	}
	return cleared
}

// refuteCrash clears the suspects of a run that has responded to a request sent after its reported
// crash: the process had not crashed but only refused connections for a moment. The caller must
// hold the lock.
func (t *Tracker) refuteCrash(now, sent time.Duration, run uint64) {
	for f := range t.suspects[run] {
		if at := t.requests[f].crashes[run]; at < sent {
			t.requests[f].refutedRuns[run] = true
			t.clear(now, f, run, at)
		}
	}
}

// clear clears a request of one crash and reports whether it had not been cleared of it before. The
// caller must hold the lock.
func (t *Tracker) clear(now time.Duration, f call.Fingerprint, run uint64, at time.Duration) bool {
	if t.requests[f].clearedRuns[run] {
		return false
	}
	report := CrashReport{Request: f, Run: run, At: at, Cleared: true}
	t.registry.Add(report)
	t.merge(now, report)
	return true
}

// Merge merges the reports of other entries. It returns the requests and the parts of prompts that
// are newly held.
func (t *Tracker) Merge(now time.Duration, reports []CrashReport) []call.Fingerprint {
	if len(reports) == 0 {
		return nil
	}
	requests, parts := splitReports(reports)
	return append(t.mergeRequests(now, requests), t.parts.Merge(now, parts)...)
}

// splitReports separates the reports on requests from those on parts of prompts.
func splitReports(reports []CrashReport) (requests, parts []CrashReport) {
	for _, report := range reports {
		if report.Request.IsPart() {
			parts = append(parts, report)
		} else {
			requests = append(requests, report)
		}
	}
	return requests, parts
}

func (t *Tracker) mergeRequests(now time.Duration, reports []CrashReport) []call.Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var held []call.Fingerprint
	for _, report := range reports {
		wasHeld := t.requests[report.Request].isHeld(now)
		t.merge(now, report)
		if !wasHeld && t.requests[report.Request].isHeld(now) {
			held = append(held, report.Request)
		}
	}
	return held
}

// Snapshot returns at most limit reports, on requests and parts of prompts with several crashes, for
// a host that may have lost them. Those on parts are half of them at most.
func (t *Tracker) Snapshot(limit int) []CrashReport {
	reports := t.parts.snapshot(limit / 2)
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, r := range t.requests {
		if len(r.crashes) < 2 || len(reports)+len(r.crashes) > limit {
			continue
		}
		for run, at := range r.crashes {
			reports = append(reports, CrashReport{Request: f, Run: run, At: at, Cleared: r.clearedRuns[run]})
		}
	}
	return reports
}

// Counts returns the number of tracked requests and the number of held ones.
func (t *Tracker) Counts(now time.Duration) (requests, held int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.requests {
		if r.isHeld(now) {
			held++
		}
	}
	return len(t.requests), held
}

// merge merges one report. The caller must hold the lock.
func (t *Tracker) merge(now time.Duration, report CrashReport) {
	r := t.requests[report.Request]
	if r == nil {
		t.evictIfFull()
		r = &record{
			crashes: map[uint64]time.Duration{}, clearedRuns: map[uint64]bool{}, refutedRuns: map[uint64]bool{},
			priorExposure: t.exposure.total(now), exposure: exposure{updatedAt: now},
		}
		t.requests[report.Request] = r
		t.trackedCount.Store(int64(len(t.requests)))
	}
	if _, seen := r.crashes[report.Run]; !seen {
		t.removeRun(report.Request, r.oldestRunIfFull(maxRuns))
		r.crashes[report.Run] = report.At
		if t.suspects[report.Run] == nil {
			t.suspects[report.Run] = map[call.Fingerprint]bool{}
		}
		t.suspects[report.Run][report.Request] = true
	}
	if report.Cleared {
		r.clearedRuns[report.Run] = true
	}
	t.updateHold(now, report.Request)
	t.attribute(now, report.Request)
	t.updateRecurringHolds(now)
}

// updateRecurringHolds reevaluates the requests with several crashes, since a further crash that
// hits only other requests counts in their favour. The caller must hold the lock.
func (t *Tracker) updateRecurringHolds(now time.Duration) {
	for f := range t.recurring {
		t.updateHold(now, f)
	}
}

// attribute updates whether a request is a confirmed cause. If it is or was one, the other suspects
// of its crashes are reevaluated. The caller must hold the lock.
func (t *Tracker) attribute(now time.Duration, f call.Fingerprint) {
	r, wasConfirmed := t.requests[f], t.confirmedCauses[f] != nil
	if r.uncleared() >= minCrashes {
		t.confirmedCauses[f] = r
	} else {
		delete(t.confirmedCauses, f)
	}
	if !wasConfirmed && t.confirmedCauses[f] == nil {
		return
	}
	for run := range r.crashes {
		for other := range t.suspects[run] {
			if other != f {
				t.updateHold(now, other)
			}
		}
	}
}

// updateHold reevaluates whether a request is held. The caller must hold the lock.
func (t *Tracker) updateHold(now time.Duration, f call.Fingerprint) {
	r := t.requests[f]
	uncleared, total, last := 0, 0, time.Duration(0)
	for run, at := range r.crashes {
		if r.refutedRuns[run] || t.attributedToOther(run, f, r) {
			continue
		}
		total++
		last = max(last, at)
		if !r.clearedRuns[run] {
			uncleared++
		}
	}
	if total >= minRecurringCrashes {
		t.recurring[f] = r
	} else {
		delete(t.recurring, f)
	}
	r.heldUntil = 0
	if required := t.crashRate.requiredCrashes(now); uncleared >= required {
		r.heldUntil = last + holdDuration(uncleared-required)
	} else if t.exceedsChance(now, r, total) {
		r.heldUntil = last + holdDuration(total-minRecurringCrashes)
	}
}

// attributedToOther reports whether the crash of a run is attributed to another request: a
// confirmed cause with more uncleared crashes than this one. The caller must hold the lock.
func (t *Tracker) attributedToOther(run uint64, f call.Fingerprint, r *record) bool {
	own := r.uncleared()
	for other, otherRecord := range t.confirmedCauses {
		_, crashed := otherRecord.crashes[run]
		if other != f && crashed && !otherRecord.clearedRuns[run] && otherRecord.uncleared() > own {
			return true
		}
	}
	return false
}

// holdDuration returns the length of a hold after this many crashes more than required.
func holdDuration(extra int) time.Duration {
	hold := initialHold
	for range extra {
		hold = min(hold*holdMultiplier, maxHold)
	}
	return hold
}

// isHeld reports whether the request is held. A nil record is not.
func (r *record) isHeld(now time.Duration) bool { return r != nil && r.heldUntil > now }

// uncleared returns the number of crashes that the request has not been cleared of.
func (r *record) uncleared() int { return len(r.crashes) - len(r.clearedRuns) }

// lastCrash returns the time of the request's last crash.
func (r *record) lastCrash() time.Duration {
	var last time.Duration
	for _, at := range r.crashes {
		last = max(last, at)
	}
	return last
}

// firstCrash returns the time of the request's first crash.
func (r *record) firstCrash() time.Duration {
	first := time.Duration(math.MaxInt64)
	for _, at := range r.crashes {
		first = min(first, at)
	}
	return first
}

// oldestRunIfFull returns the run with the oldest crash if there are at least limit runs, zero
// otherwise.
func (r *record) oldestRunIfFull(limit int) uint64 {
	if len(r.crashes) < limit {
		return 0
	}
	var oldest uint64
	for run, at := range r.crashes {
		if oldest == 0 || at < r.crashes[oldest] {
			oldest = run
		}
	}
	return oldest
}
