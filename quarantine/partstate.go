package quarantine

import (
	"time"

	"github.com/lilackeel/lilackeel/call"
)

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

// State returns what is known of a part.
func (t *PartTracker) State(now time.Duration, f call.Fingerprint) PartState {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.parts[f]; r != nil {
		return r.state(now, f)
	}
	return PartState{Part: Part{Fingerprint: f}}
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
