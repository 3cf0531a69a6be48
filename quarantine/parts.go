package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilackeel/lilackeel/call"
)

const (
	// maxTrackedParts bounds the parts with recorded crashes.
	maxTrackedParts = 1024
	// trialSpacing separates the first trials that different entries make after a hold, so that most
	// learn from the first one.
	trialSpacing = 500 * time.Millisecond
	// trialRetry is the delay before a retry that callers are told during a trial.
	trialRetry = time.Second
)

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
	// seed distinguishes the trial delays of entries.
	seed uint64
}

// PartState is what is known of a part, for logs.
type PartState struct {
	Part Part
	// Crashes and Events are the crashes that the part has not been cleared of, and the events that
	// they consist of. Runs are the hashes of the crashed runs.
	Crashes, Events int
	Runs            []uint64
	// Cleared is the number of crashes that it has been cleared of, and Survived the number of
	// requests that have run without a crash at this entry since the first crash.
	Cleared, Survived int
	// Companions is the number of other parts with the same crashes.
	Companions int
	// Hold is the remaining time of the hold.
	Hold time.Duration
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

// State returns what is known of a part.
func (t *PartTracker) State(now time.Duration, f call.Fingerprint) PartState {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.parts[f]; r != nil {
		return r.state(now, f)
	}
	return PartState{Part: Part{Fingerprint: f}}
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

// evaluate judges the candidates by the evidence. The caller must hold the lock.
func (t *PartTracker) evaluate() {
	suspects := int64(0)
	for f, r := range t.candidates {
		r.judge(t.evidence(f, r))
	}
	for f, r := range t.candidates {
		r.companions = nil
		if !r.suspect {
			continue
		}
		suspects++
		for other, otherRecord := range t.candidates {
			if other != f && otherRecord.suspect && r.sameCrashes(otherRecord) {
				r.companions = append(r.companions, other)
			}
		}
	}
	t.suspectCount.Store(suspects)
}

// evidence returns the times of the crashes that count against a part: those that it has not been
// cleared of and that no other candidate with more crashes explains.
func (t *PartTracker) evidence(f call.Fingerprint, r *partRecord) []time.Duration {
	var times []time.Duration
	own := r.uncleared
	for run, crash := range r.crashes {
		if !crash.cleared && !t.explained(f, run, own) {
			times = append(times, crash.at)
		}
	}
	return times
}

// explained reports whether another candidate with more than the given number of uncleared crashes
// was on the same run.
func (t *PartTracker) explained(f call.Fingerprint, run uint64, crashes int) bool {
	for other, r := range t.candidates {
		if other != f && r.isUnclearedOf(run) && r.uncleared > crashes {
			return true
		}
	}
	return false
}

// newlyHeld returns those of the parts whose hold has begun or been extended since it was last
// reported. The caller must hold the lock.
func (t *PartTracker) newlyHeld(now time.Duration, parts Parts) []PartState {
	var held []PartState
	for _, part := range parts {
		if r := t.candidates[part.Fingerprint]; r != nil && r.suspect && r.heldUntil > max(now, r.loggedUntil) {
			r.loggedUntil = r.heldUntil
			held = append(held, r.state(now, part.Fingerprint))
		}
	}
	return held
}

// Refusal returns the error for a request with a part that is held, nil if it may run.
func (t *PartTracker) Refusal(now time.Duration, parts Parts) *PartRefusal {
	if t.suspectCount.Load() == 0 || len(parts) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refusal(now, parts)
}

// refusal is Refusal; the caller must hold the lock.
func (t *PartTracker) refusal(now time.Duration, parts Parts) *PartRefusal {
	for _, part := range parts {
		r := t.implicated(part.Fingerprint, parts)
		if r == nil {
			continue
		}
		r.id = part.ID
		if hold := r.heldUntil + t.trialDelay(part.Fingerprint) - now; hold > 0 {
			return newPartRefusal(part, hold)
		}
		if r.trials > 0 {
			return newPartRefusal(part, trialRetry)
		}
	}
	return nil
}

// implicated returns the record of a part if it is a suspect and the request has all its companions.
func (t *PartTracker) implicated(f call.Fingerprint, parts Parts) *partRecord {
	r := t.candidates[f]
	if r == nil || !r.suspect {
		return nil
	}
	for _, companion := range r.companions {
		if !parts.has(companion) {
			return nil
		}
	}
	return r
}

// trialDelay returns how long after the end of a hold this entry makes its first trial.
func (t *PartTracker) trialDelay(f call.Fingerprint) time.Duration {
	spread := uint64(trialSpacing) * uint64(max(t.entries.Load()-1, 0))
	if spread == 0 {
		return 0
	}
	return time.Duration((xxhash.Sum64(f[:]) ^ t.seed) % spread)
}

// BeginAttempt checks a request again at the moment at which it is sent. A suspect whose hold has
// ended is tested by one request at a time. Unless the request is refused, end must be called when
// the attempt has ended.
func (t *PartTracker) BeginAttempt(now time.Duration, parts Parts) (end func(), refusal *PartRefusal) {
	if t.suspectCount.Load() == 0 || len(parts) == 0 {
		return func() {}, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if refusal := t.refusal(now, parts); refusal != nil {
		return func() {}, refusal
	}
	var tested []*partRecord
	for _, part := range parts {
		if r := t.implicated(part.Fingerprint, parts); r != nil {
			r.trials++
			tested = append(tested, r)
		}
	}
	return func() { t.endTrials(tested) }, nil
}

func (t *PartTracker) endTrials(tested []*partRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range tested {
		r.trials--
	}
}

// Proven reports whether requests with each of the parts but the last, which belongs to the request
// or its session, have recently run without a crash.
func (t *PartTracker) Proven(parts Parts) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range len(parts) - 1 {
		if t.credits.get(parts[i].Fingerprint) < 1 {
			return false
		}
	}
	return true
}

// Held returns the parts that are held now.
func (t *PartTracker) Held(now time.Duration) []PartState {
	t.mu.Lock()
	defer t.mu.Unlock()
	var held []PartState
	for f, r := range t.candidates {
		if r.suspect && r.heldUntil > now {
			held = append(held, r.state(now, f))
		}
	}
	return held
}

// Counts returns the number of parts with recorded crashes and the number of held ones.
func (t *PartTracker) Counts(now time.Duration) (known, held int) {
	held = len(t.Held(now))
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.parts), held
}

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

// state returns what is known of a part, for logs.
func (r *partRecord) state(now time.Duration, f call.Fingerprint) PartState {
	s := PartState{Part: Part{Fingerprint: f, ID: r.id}, Events: r.events, Survived: r.survived, Companions: len(r.companions), Hold: max(r.heldUntil-now, 0)}
	for run, crash := range r.crashes {
		if crash.cleared {
			s.Cleared++
			continue
		}
		s.Crashes++
		s.Runs = append(s.Runs, run)
	}
	return s
}
