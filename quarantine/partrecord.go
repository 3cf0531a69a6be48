package quarantine

import (
	"slices"
	"time"

	"github.com/lilackeel/lilackeel/call"
)

const (
	// eventWindow is the time within which several processes that crash count as one event: the
	// engines of a lock-step group and the processes of a rack end together, whatever they run.
	eventWindow = 500 * time.Millisecond
	// minEvents is the number of crash events before a part is held, and minRepeatedEvents the
	// number that suffices if minCrashes processes have crashed.
	minEvents, minRepeatedEvents = 3, 2
	// minSimultaneousCrashes is the number of processes that suffice although they crashed in one
	// event. The part is then held for provisionalHold only, about as long as a group needs to
	// recover: a part that first came with that event may be harmless.
	minSimultaneousCrashes = maxRequiredCrashes
	provisionalHold        = 5 * time.Second
	// maxPartRuns bounds the crashed runs kept for a part.
	maxPartRuns = maxRuns
)

// partRecord is what is known of one part.
type partRecord struct {
	crashes map[uint64]partCrash
	// uncleared is the number of crashes that the part has not been cleared of, and lastCrash the
	// time of the last crash.
	uncleared int
	lastCrash time.Duration
	// id is the callers' name of the part, empty until a request with it has been seen here.
	id string
	// survived is the number of requests with the part that have run without a crash at this entry
	// since its first crash.
	survived int
	// suspect is true if the evidence suffices for a hold. events is the number of events that it
	// consists of, and heldUntil the end of the hold.
	suspect   bool
	events    int
	heldUntil time.Duration
	// companions are the suspects with the same crashes. Only requests with all of them are held,
	// since any of them may be harmless.
	companions []call.Fingerprint
	// credited is true if the part had credit for the last event, which began at creditedAt.
	credited   bool
	creditedAt time.Duration
	// probes is the number of requests that test, after the hold, whether the part still crashes
	// endpoints.
	probes int
	// loggedUntil is the end of the last hold that was reported as new.
	loggedUntil time.Duration
}

type partCrash struct {
	at      time.Duration
	cleared bool
}

// set stores a crash.
func (r *partRecord) set(run uint64, crash partCrash) {
	r.remove(run)
	r.crashes[run] = crash
	r.lastCrash = max(r.lastCrash, crash.at)
	if !crash.cleared {
		r.uncleared++
	}
}

// remove deletes a crash, if there is one of this run.
func (r *partRecord) remove(run uint64) {
	if r.isUnclearedOf(run) {
		r.uncleared--
	}
	delete(r.crashes, run)
}

// isUnclearedOf reports whether the part was on a crashed run and has not been cleared of the crash.
func (r *partRecord) isUnclearedOf(run uint64) bool {
	crash, found := r.crashes[run]
	return found && !crash.cleared
}

// sameCrashes reports whether two parts have the same uncleared crashes.
func (r *partRecord) sameCrashes(other *partRecord) bool {
	if r.uncleared != other.uncleared {
		return false
	}
	for run, crash := range r.crashes {
		if !crash.cleared && !other.isUnclearedOf(run) {
			return false
		}
	}
	return true
}

// oldestRun returns the run with the oldest crash.
func (r *partRecord) oldestRun() (oldest uint64) {
	found := false
	for run, crash := range r.crashes {
		if !found || crash.at < r.crashes[oldest].at {
			oldest, found = run, true
		}
	}
	return oldest
}

// judge sets whether the evidence suffices for a hold, and the end of the hold. times are those of
// the crashes that count.
func (r *partRecord) judge(times []time.Duration) {
	r.suspect, r.events, r.heldUntil = false, countEvents(times), 0
	hold := time.Duration(0)
	switch {
	case r.events >= minEvents:
		hold = holdDuration(r.events - minEvents)
	case r.events >= minRepeatedEvents && len(times) >= minCrashes:
		hold = initialHold
	case len(times) >= minSimultaneousCrashes:
		hold = provisionalHold
	default:
		return
	}
	r.suspect, r.heldUntil = true, slices.Max(times)+hold
}

// countEvents returns the number of events that crashes at these times consist of.
func countEvents(times []time.Duration) int {
	slices.Sort(times)
	events := 0
	for i, start := 0, time.Duration(0); i < len(times); i++ {
		if i == 0 || times[i]-start > eventWindow {
			events, start = events+1, times[i]
		}
	}
	return events
}

// stale reports whether the last crash is longer ago than both reportRetention and twice the hold.
func (r *partRecord) stale(now time.Duration) bool {
	return now-r.lastCrash > max(reportRetention, 2*(r.heldUntil-r.lastCrash))
}
