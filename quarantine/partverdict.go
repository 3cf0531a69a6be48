package quarantine

import (
	"time"

	"github.com/lilackeel/lilackeel/call"
)

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
