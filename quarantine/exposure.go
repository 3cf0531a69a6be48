package quarantine

import (
	"math"
	"time"

	"github.com/lilackeel/lilackeel/call"
)

const (
	// recurring is how many processes must have ended under a request before it is looked at
	// although it has also completed.
	recurring = 3
	// chanceBar is the chance at or below which as many ends under a request are not an accident.
	chanceBar = 3e-3
	// assumedAttempts is how many attempts at a request are assumed besides those that there were:
	// one that is seldom sent by this entry may be sent by others.
	assumedAttempts = 0.5
	// leastShare is the part of the ends since its first one that a request must have been at:
	// where processes end for other reasons, many requests meet some of the ends.
	leastShare = 0.6
	// leastEnding is the part of its own runs that must have ended.
	leastEnding = 0.05
)

// exposure adds up for how long attempts are in flight.
type exposure struct {
	inFlight int
	// begun counts the attempts.
	begun int
	// seconds are the attempts' times until at.
	seconds float64
	at      time.Duration
}

// change notes that attempts have begun, or ended if by is negative.
func (e *exposure) change(now time.Duration, by int) {
	e.seconds, e.at = e.until(now), max(e.at, now)
	e.inFlight = max(e.inFlight+by, 0)
	e.begun += max(by, 0)
}

// mean is how long an attempt is in flight in the mean, in seconds.
func (e *exposure) mean(now time.Duration) float64 { return e.until(now) / float64(max(e.begun, 1)) }

// until returns the attempts' times, in seconds.
func (e *exposure) until(now time.Duration) float64 {
	return e.seconds + float64(e.inFlight)*max(now-e.at, 0).Seconds()
}

// Sent notes that an attempt at a request begins. Left has to follow.
func (t *Tracker) AttemptStarted(now time.Duration, f call.Fingerprint) { t.expose(now, f, 1) }

// Left notes that an attempt at a request has ended, in whatever way.
func (t *Tracker) AttemptEnded(now time.Duration, f call.Fingerprint) { t.expose(now, f, -1) }

func (t *Tracker) expose(now time.Duration, f call.Fingerprint, by int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.exposure.change(now, by)
	r := t.requests[f]
	if r == nil {
		return
	}
	r.exposure.change(now, by)
}

// part is the part of what this entry has in flight that is attempts at a request, since the
// request's first end. The lock is held.
func (t *Tracker) part(now time.Duration, r *record) float64 {
	assumed := assumedAttempts * t.exposure.mean(now)
	all := t.exposure.until(now) - r.exposedBefore
	if all <= 0 {
		return 1
	}
	return min((r.exposure.until(now)+assumed)/(all+assumed), 1)
}

// incriminated reports whether processes end under a request far more often than under others,
// although it also completes: it may end them by chance, or under some condition only. The lock
// is held.
func (t *Tracker) incriminated(now time.Duration, r *record, ends int) bool {
	if ends < recurring || float64(ends) < leastEnding*float64(r.exposure.begun) {
		return false
	}
	met := t.metSince(r.oldest())
	if float64(ends) < leastShare*float64(len(met)) {
		return false
	}
	elsewhere := math.Log1p(-t.part(now, r))
	expected := 0.0
	for _, suspects := range met {
		expected += -math.Expm1(float64(suspects) * elsewhere)
	}
	return atLeast(ends, expected) <= chanceBar
}

// metSince returns, for each process that has ended since a time, how many requests it was
// running; the lock is held.
func (t *Tracker) metSince(first time.Duration) []int {
	var met []int
	for run, suspects := range t.runs {
		if t.endOf(run) >= first {
			met = append(met, len(suspects))
		}
	}
	return met
}

// endOf returns when a run has ended; the lock is held.
func (t *Tracker) endOf(run uint64) time.Duration {
	for f := range t.runs[run] {
		return t.requests[f].ends[run]
	}
	return 0
}

// atLeast is the chance of so many events or more where mean are expected, by Poisson's law.
func atLeast(events int, mean float64) float64 {
	term, fewer := math.Exp(-mean), 0.0
	for i := range events {
		fewer += term
		term *= mean / float64(i+1)
	}
	return max(1-fewer, 0)
}
