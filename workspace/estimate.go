package workspace

import (
	"math"
	"time"
)

// surelyEnding is a probability that counts as certainty. With it everything can
// be lent if the mean run time is no more than a third of ReclaimWithin.
const surelyEnding = 0.95

// leastHold keeps rates finite when run times are nearly zero, in seconds.
const leastHold = 1e-6

// leastRate keeps estimates finite when nothing drains, per second.
const leastRate = 1e-3

// learn takes in the run time of a request that ended.
func (a *Admission) learn(now time.Duration, e *entry) {
	a.measured.add(now - e.started)
	e.owner.measured.add(now - e.started)
}

// holdOf returns the estimate for a workspace, or that of all workspaces if it
// has none yet.
func (a *Admission) holdOf(s *state) hold {
	if s.measured.samples > 0 {
		return s.measured
	}
	if a.measured.samples > 0 {
		return a.measured
	}
	initial := a.config.InitialHoldTime.Seconds()
	return hold{mean: initial, deviation: initial / 2}
}

// expectedHold is the run time that is expected of a request.
func (a *Admission) expectedHold(e *entry) time.Duration {
	if e.request.ExpectedHoldTime > 0 {
		return e.request.ExpectedHoldTime
	}
	estimate := a.holdOf(e.owner)
	return seconds(estimate.mean)
}

// deadlineMargin is how many mean deviations beyond the mean run time a request
// that must wait has to leave before its deadline.
const deadlineMargin = 1

// runTime is the time that a request must have from its start to its deadline. A
// request that starts at once is given a chance if a quick run would do; one that
// waits for a slot that others could use must leave room for a slow run.
func (a *Admission) runTime(e *entry, atOnce bool) time.Duration {
	if e.request.ExpectedHoldTime > 0 {
		return e.request.ExpectedHoldTime
	}
	estimate := a.holdOf(e.owner)
	if atOnce {
		return seconds(estimate.quick())
	}
	return seconds(estimate.mean + deadlineMargin*estimate.deviation)
}

// latestStart is when the request must start to meet its deadline, and no later
// than MaxWait from its arrival.
func (a *Admission) latestStart(e *entry, atOnce bool) time.Duration {
	latest := e.arrived + a.maxWait(e)
	if e.request.Deadline == 0 {
		return latest
	}
	return min(latest, e.request.Deadline-a.runTime(e, atOnce))
}

// maxWait is how long a request waits at most.
func (a *Admission) maxWait(e *entry) time.Duration {
	if e.request.MaxWait > 0 {
		return min(e.request.MaxWait, a.config.MaxWait)
	}
	return a.config.MaxWait
}

// baseOf is the guaranteed share in slots, scaled down if the shares of all
// workspaces add up to more than 1.
func (a *Admission) baseOf(limits Limits) float64 {
	return max(limits.GuaranteedShare, 0) * float64(a.slots) / max(a.guaranteedSum, 1)
}

// wholeSlots is the part of a guaranteed share that is held ready for its
// workspace; it forgives the rounding of shares such as a tenth.
func wholeSlots(base float64) int { return int(base + roundingSlack) }

// returnsOf is how many of the slots that s would have borrowed with inFlight
// requests are expected back within ReclaimWithin. Run times count as
// exponential, with the mean measured or the mean age in flight, if that is
// longer: requests much longer than those before are noticed before they end.
func (a *Admission) returnsOf(now time.Duration, s *state, inFlight int) returns {
	borrowed := float64(inFlight - s.whole)
	if borrowed <= 0 {
		return returns{}
	}
	mean := max(a.holdOf(s).mean, leastHold)
	if s.inFlight > 0 {
		mean = max(mean, meanAge(now, s.inFlight, s.startSum))
	}
	ending := 1 - math.Exp(-a.config.ReclaimWithin.Seconds()/mean)
	if ending >= surelyEnding {
		return returns{mean: borrowed}
	}
	expected := float64(inFlight) * ending
	return returns{mean: min(borrowed, expected), variance: expected * (1 - ending)}
}

// refreshReturns brings the part of s in returnsSum to now.
func (a *Admission) refreshReturns(now time.Duration, s *state) {
	a.returnsSum = a.returnsSum.minus(s.returns)
	s.returns = a.returnsOf(now, s, s.inFlight)
	a.returnsSum = a.returnsSum.plus(s.returns)
}

// releaseRate is how many slots become free per second, from the run times
// measured. It falls when the requests in flight grow much older than those
// before them, as when endpoints stall.
func (a *Admission) releaseRate(now time.Duration) float64 {
	if a.inFlight == 0 {
		return 0
	}
	mean := a.config.InitialHoldTime.Seconds()
	if a.measured.samples > 0 {
		mean = a.measured.mean
	}
	age := meanAge(now, a.inFlight, a.startSum)
	return float64(min(a.inFlight, a.slots)) / max(mean, age/2, leastHold)
}

// meanAge is the mean time since the starts that add up to startSum, in seconds.
// The sum of the starts may overflow, but the sum of the ages is right again,
// because integers wrap around.
func meanAge(now time.Duration, inFlight int, startSum time.Duration) float64 {
	ages := now*time.Duration(inFlight) - startSum
	return ages.Seconds() / float64(inFlight)
}

// wait estimates how long a request will wait until it starts.
func (a *Admission) wait(now time.Duration, e *entry) time.Duration {
	s := e.owner
	if a.startsAtOnce(now, e) {
		return 0
	}
	ahead := 0
	for _, other := range s.queue.items {
		if other != e && other.request.Priority >= e.request.Priority {
			ahead++
		}
	}
	return max(a.slotWait(now, s, ahead+1), a.rateWait(now, s, ahead+1, e.request.ExpectedTokens))
}

// startsAtOnce reports whether a new request would start now.
func (a *Admission) startsAtOnce(now time.Duration, e *entry) bool {
	s := e.owner
	if a.inFlight >= a.slots || s.queue.len() > 0 || s.atConcurrencyLimit() {
		return false
	}
	if s.untilRate(now, e.request.ExpectedTokens) > 0 {
		return false
	}
	return s.guaranteed() || (a.deficits.len() == 0 && a.mayLend(now, s))
}

// slotWait estimates when s gets its needed-th slot from now: those that it is
// entitled to from the free slots and all releases, the others at its own drain.
func (a *Admission) slotWait(now time.Duration, s *state, needed int) time.Duration {
	entitled := s.base
	if a.mayLend(now, s) {
		entitled = a.entitlement(s)
	}
	if s.limits.MaxConcurrent > 0 {
		entitled = min(entitled, float64(s.limits.MaxConcurrent))
	}
	prompt := min(max(entitled-float64(s.inFlight), 0), float64(needed))
	free := float64(max(a.slots-a.inFlight, 0))
	wait := max(prompt-free, 0) / max(a.releaseRate(now), leastRate)
	if rest := float64(needed) - prompt; rest > 0 {
		wait += rest / a.drain(now, s)
	}
	return seconds(min(wait, a.sharedWait(now, s)))
}

// sharedWait is how long it takes until all that wait now, and one more, have a
// slot: s waits no longer than that even if its own share is used up, as slots
// that others do not ask for are lent. It is without bound where they are not.
func (a *Admission) sharedWait(now time.Duration, s *state) float64 {
	if s.atConcurrencyLimit() || !a.mayLend(now, s) {
		return math.Inf(1)
	}
	return float64(a.queued+1) / max(a.releaseRate(now), leastRate)
}

// drain is how many slots per second s gets while others want theirs too: its
// entitled part of all releases or, if that is more, what it releases itself.
func (a *Admission) drain(now time.Duration, s *state) float64 {
	rate := a.releaseRate(now) * a.entitlement(s) / float64(max(a.slots, 1))
	mean := max(a.holdOf(s).mean, leastHold)
	own := float64(s.inFlight) / mean
	rate = max(rate, min(own, a.releaseRate(now)))
	if s.limits.MaxConcurrent > 0 {
		rate = min(rate, float64(s.limits.MaxConcurrent)/mean)
	}
	if s.limits.RequestsPerSecond > 0 {
		rate = min(rate, s.limits.RequestsPerSecond)
	}
	return max(rate, leastRate)
}

// leastEntitlement keeps virtual times finite, in slots.
const leastEntitlement = 1e-6

// entitlement is the guaranteed share of s and its weighted share of the rest,
// in slots, as if it were active.
func (a *Admission) entitlement(s *state) float64 {
	weight, base := a.activeWeight, a.activeBase
	if s.idle() {
		weight += s.limits.weight()
		base += s.base
	}
	rest := max(float64(a.slots)-base, 0)
	return s.base + rest*s.limits.weight()/max(weight, s.limits.weight())
}

// rateWait is how long the rate limits hold back the needed-th request of s,
// whose cost comes on top of the costs of those ahead.
func (a *Admission) rateWait(now time.Duration, s *state, needed, cost int) time.Duration {
	tokens := float64(s.queuedCost) + min(float64(cost), s.tokens.capacity())
	return max(s.requests.until(now, float64(needed)), s.tokens.until(now, tokens))
}
