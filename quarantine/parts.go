package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lilackeel/lilackeel/call"
)

// maxTrackedParts bounds the parts with recorded crashes.
const maxTrackedParts = 1024

// PartTracker holds what one entry knows of the parts of prompts whose requests were running when
// processes crashed. It is safe for concurrent use. Its registry's lock is the only one acquired
// while its own lock is held.
type PartTracker struct {
	// suspectCount is the number of suspects. It is zero most of the time, and then lookups need no
	// lock.
	suspectCount atomic.Int64
	// entries is the number of entries of the fleet.
	entries atomic.Int64

	mu    sync.Mutex
	parts map[call.Fingerprint]*partRecord
	// candidates are the parts with at least minCrashes uncleared crashes.
	candidates map[call.Fingerprint]*partRecord
	// runs counts the parts that were on a crashed run.
	runs     map[uint64]int
	credits  credits
	registry *Registry
	// seed distinguishes the probe delays of entries.
	seed uint64
}

func newPartTracker(registry *Registry, seed uint64) *PartTracker {
	return &PartTracker{parts: map[call.Fingerprint]*partRecord{}, candidates: map[call.Fingerprint]*partRecord{}, runs: map[uint64]int{}, credits: newCredits(), registry: registry, seed: seed}
}

// SetEntries sets the number of entries of the fleet.
func (t *PartTracker) SetEntries(count int) { t.entries.Store(int64(count)) }

// RecordCrash records that the process of a run crashed while running a request with these parts. It
// returns the parts that are newly held.
func (t *PartTracker) RecordCrash(now time.Duration, parts Parts, run string) []PartState {
	if len(parts) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		t.add(CrashReport{Request: part.Fingerprint, Run: HashRun(run), At: now}, true)
		t.parts[part.Fingerprint].id = part.ID
	}
	t.evaluate()
	return t.newlyHeld(now, parts)
}

// Merge merges the reports of other entries and returns the parts that are newly held.
func (t *PartTracker) Merge(now time.Duration, reports []CrashReport) []call.Fingerprint {
	if len(reports) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	parts := make(Parts, 0, len(reports))
	for _, report := range reports {
		t.add(report, false)
		parts = append(parts, Part{Fingerprint: report.Request})
	}
	t.evaluate()
	var held []call.Fingerprint
	for _, state := range t.newlyHeld(now, parts) {
		held = append(held, state.Part.Fingerprint)
	}
	return held
}

// add adds one report, which is published if it is this entry's own. A part with credit is cleared
// of the crash at once, for all entries. The caller must hold the lock and call evaluate.
func (t *PartTracker) add(report CrashReport, own bool) {
	r := t.record(report.Request)
	crash, known := r.crashes[report.Run]
	if !known {
		crash.at = report.At
		t.addRun(r, report.Run)
		if !report.Cleared && t.spendCredit(report.Request, r, report.At) {
			report.Cleared, own = true, true
		}
	}
	if own {
		t.registry.Add(report)
	}
	crash.cleared = crash.cleared || report.Cleared
	r.set(report.Run, crash)
	t.updateCandidate(report.Request, r)
}

// spendCredit reports whether a part has credit for a crash. It spends it once for all crashes of one
// event. The caller must hold the lock.
func (t *PartTracker) spendCredit(f call.Fingerprint, r *partRecord, at time.Duration) bool {
	if r.credited && (at-r.creditedAt).Abs() <= eventWindow {
		return true
	}
	r.credited = t.credits.spend(f)
	r.creditedAt = at
	return r.credited
}

// record returns the record of a part, a new one if there is none. The caller must hold the lock.
func (t *PartTracker) record(f call.Fingerprint) *partRecord {
	r := t.parts[f]
	if r == nil {
		t.evictIfFull()
		r = &partRecord{crashes: map[uint64]partCrash{}}
		t.parts[f] = r
	}
	return r
}

func (t *PartTracker) addRun(r *partRecord, run uint64) {
	if len(r.crashes) >= maxPartRuns {
		oldest := r.oldestRun()
		r.remove(oldest)
		t.releaseRun(oldest)
	}
	t.runs[run]++
}

func (t *PartTracker) releaseRun(run uint64) {
	if t.runs[run]--; t.runs[run] <= 0 {
		delete(t.runs, run)
	}
}

func (t *PartTracker) updateCandidate(f call.Fingerprint, r *partRecord) {
	if r.uncleared >= minCrashes {
		t.candidates[f] = r
	} else {
		delete(t.candidates, f)
		r.suspect, r.heldUntil, r.companions = false, 0, nil
	}
}

// RecordSurvival records that a request with these parts, sent at the given time, ran on a process
// that did not crash. The parts are then taken not to have caused any crash so far. It returns those
// that were held until now.
func (t *PartTracker) RecordSurvival(now, sent time.Duration, parts Parts, run string) []PartState {
	if len(parts) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var released []PartState
	for _, part := range parts {
		t.credits.add(part.Fingerprint)
		r := t.parts[part.Fingerprint]
		if r == nil {
			continue
		}
		r.survived++
		wasSuspect := r.suspect
		for crashed := range r.crashes {
			t.clear(part.Fingerprint, r, crashed)
		}
		if wasSuspect {
			released = append(released, r.state(now, part.Fingerprint))
		}
	}
	t.refuteCrash(now, sent, HashRun(run))
	t.evaluate()
	return released
}

// refuteCrash clears the parts on a run that has answered a request sent after its reported crash:
// the process had not crashed. The caller must hold the lock and call evaluate.
func (t *PartTracker) refuteCrash(now, sent time.Duration, run uint64) {
	if t.runs[run] == 0 {
		return
	}
	for f, r := range t.parts {
		if crash, found := r.crashes[run]; found && crash.at < sent {
			t.clear(f, r, run)
		}
	}
}

// clear clears a part of one crash, for all entries. The caller must hold the lock and call evaluate.
func (t *PartTracker) clear(f call.Fingerprint, r *partRecord, run uint64) {
	crash := r.crashes[run]
	if crash.cleared {
		return
	}
	t.add(CrashReport{Request: f, Run: run, At: crash.at, Cleared: true}, true)
}
