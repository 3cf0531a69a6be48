package quarantine

import (
	"math"
	"time"

	"github.com/lilackeel/lilackeel/call"
)

const (
	// minRecurringCrashes is the number of crashes from which a request is examined although it
	// has also completed.
	minRecurringCrashes = 3
	// significanceLevel is the probability at or below which a number of crashes is not taken for
	// coincidence.
	significanceLevel = 3e-3
	// priorAttempts is the number of attempts assumed in addition to the observed ones, since a
	// request that this entry seldom sends may be sent by others.
	priorAttempts = 0.5
	// minCrashShare is the share of all crashes since a request's first one that must have hit the
	// request: where processes crash for other reasons, many requests are hit by some crashes.
	minCrashShare = 0.6
	// minCrashRatio is the share of a request's own attempts that must have ended in a crash.
	minCrashRatio = 0.05
)

// exposure sums up the time for which attempts are in flight.
type exposure struct {
	inFlight int
	// starts is the number of attempts.
	starts int
	// seconds is the sum of the attempts' times in flight up to updatedAt.
	seconds   float64
	updatedAt time.Duration
}

// add records that attempts have started, or ended if delta is negative.
func (e *exposure) add(now time.Duration, delta int) {
	e.seconds, e.updatedAt = e.total(now), max(e.updatedAt, now)
	e.inFlight = max(e.inFlight+delta, 0)
	e.starts += max(delta, 0)
}

// mean returns the mean time in flight of an attempt, in seconds.
func (e *exposure) mean(now time.Duration) float64 { return e.total(now) / float64(max(e.starts, 1)) }

// total returns the sum of the attempts' times in flight up to now, in seconds.
func (e *exposure) total(now time.Duration) float64 {
	return e.seconds + float64(e.inFlight)*max(now-e.updatedAt, 0).Seconds()
}

// AttemptStarted records the start of an attempt at a request. AttemptEnded must follow.
func (t *Tracker) AttemptStarted(now time.Duration, f call.Fingerprint) { t.updateExposure(now, f, 1) }

// AttemptEnded records that an attempt at a request has ended, whatever its result.
func (t *Tracker) AttemptEnded(now time.Duration, f call.Fingerprint) { t.updateExposure(now, f, -1) }

func (t *Tracker) updateExposure(now time.Duration, f call.Fingerprint, delta int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.exposure.add(now, delta)
	r := t.requests[f]
	if r == nil {
		return
	}
	r.exposure.add(now, delta)
}

// exposureShare returns a request's share of the time in flight of all attempts of this entry since
// the request's first crash. The caller must hold the lock.
func (t *Tracker) exposureShare(now time.Duration, r *record) float64 {
	prior := priorAttempts * t.exposure.mean(now)
	total := t.exposure.total(now) - r.priorExposure
	if total <= 0 {
		return 1
	}
	return min((r.exposure.total(now)+prior)/(total+prior), 1)
}

// exceedsChance reports whether processes crash far more often while running a request than its
// share of the requests in flight explains. This finds requests that also complete, because they
// crash a process at random or under some condition only. The caller must hold the lock.
func (t *Tracker) exceedsChance(now time.Duration, r *record, crashes int) bool {
	if crashes < minRecurringCrashes || float64(crashes) < minCrashRatio*float64(r.exposure.starts) {
		return false
	}
	suspectCounts := t.suspectCountsSince(r.firstCrash())
	if float64(crashes) < minCrashShare*float64(len(suspectCounts)) {
		return false
	}
	// A crashed run with n suspects includes the request by coincidence with probability
	// 1-(1-share)^n.
	logOthers := math.Log1p(-t.exposureShare(now, r))
	expected := 0.0
	for _, count := range suspectCounts {
		expected += -math.Expm1(float64(count) * logOthers)
	}
	return poissonTail(crashes, expected) <= significanceLevel
}

// suspectCountsSince returns, for each run that has crashed since a time, the number of requests
// that it was running. The caller must hold the lock.
func (t *Tracker) suspectCountsSince(since time.Duration) []int {
	var counts []int
	for run, suspectsOfRun := range t.suspects {
		if t.crashTime(run) >= since {
			counts = append(counts, len(suspectsOfRun))
		}
	}
	return counts
}

// crashTime returns when a run crashed. The caller must hold the lock.
func (t *Tracker) crashTime(run uint64) time.Duration {
	for f := range t.suspects[run] {
		return t.requests[f].crashes[run]
	}
	return 0
}

// poissonTail returns the probability of at least this many events in a Poisson distribution with
// the given mean.
func poissonTail(events int, mean float64) float64 {
	term, below := math.Exp(-mean), 0.0
	for i := range events {
		below += term
		term *= mean / float64(i+1)
	}
	return max(1-below, 0)
}
