package workspace

import (
	"math"
	"time"
)

// certainReturnProbability is the probability from which a slot counts as certain to be
// returned. With 0.95, all slots can be lent if the mean hold time is at most a third of
// ReclaimWithin.
const certainReturnProbability = 0.95

// minHoldTime keeps rates finite when hold times are close to zero, in seconds.
const minHoldTime = 1e-6

// minRate keeps estimates finite when no slot is being released, per second.
const minRate = 1e-3

// recordHoldTime adds the hold time of a request that ended to the estimates.
func (a *Admission) recordHoldTime(now time.Duration, e *entry) {
	a.holdTime.addSample(now - e.started)
	e.workspace.holdTime.addSample(now - e.started)
}

// holdTimeOf returns the estimate of a workspace, or that of all workspaces if the
// workspace has no samples yet.
func (a *Admission) holdTimeOf(s *workspaceState) holdTimeEstimate {
	if s.holdTime.samples > 0 {
		return s.holdTime
	}
	if a.holdTime.samples > 0 {
		return a.holdTime
	}
	initial := a.config.InitialHoldTime.Seconds()
	return holdTimeEstimate{mean: initial, deviation: initial / 2}
}

// expectedHoldTime returns the expected hold time of a request.
func (a *Admission) expectedHoldTime(e *entry) time.Duration {
	if e.request.ExpectedHoldTime > 0 {
		return e.request.ExpectedHoldTime
	}
	estimate := a.holdTimeOf(e.workspace)
	return seconds(estimate.mean)
}

// deadlineMargin is the number of mean deviations beyond the mean hold time that must
// remain until the deadline of a request that has to wait.
const deadlineMargin = 1

// requiredTime returns the time that a request needs between its start and its deadline.
// A request that starts at once is admitted if a fast run would meet the deadline; one
// that waits for a slot that others could use must leave room for a slow run.
func (a *Admission) requiredTime(e *entry, atOnce bool) time.Duration {
	if e.request.ExpectedHoldTime > 0 {
		return e.request.ExpectedHoldTime
	}
	estimate := a.holdTimeOf(e.workspace)
	if atOnce {
		return seconds(estimate.optimistic())
	}
	return seconds(estimate.mean + deadlineMargin*estimate.deviation)
}

// latestStart returns the time by which the request must start to meet its deadline, at
// most its maximum wait after its arrival.
func (a *Admission) latestStart(e *entry, atOnce bool) time.Duration {
	latest := e.arrived + a.maxWait(e)
	if e.request.Deadline == 0 {
		return latest
	}
	return min(latest, e.request.Deadline-a.requiredTime(e, atOnce))
}

// maxWait returns the maximum wait of a request.
func (a *Admission) maxWait(e *entry) time.Duration {
	if e.request.MaxWait > 0 {
		return min(e.request.MaxWait, a.config.MaxWait)
	}
	return a.config.MaxWait
}

// shareSlotsOf returns the guaranteed share in slots, scaled down if the shares of all
// workspaces add up to more than 1.
func (a *Admission) shareSlotsOf(limits Limits) float64 {
	return max(limits.GuaranteedShare, 0) * float64(a.slots) / max(a.guaranteedSum, 1)
}

// wholeSlots returns the part of a guaranteed share that is reserved for its workspace.
// It tolerates the rounding error of shares such as 0.1.
func wholeSlots(base float64) int { return int(base + roundingSlack) }

// expectedReturnsOf estimates how many of the slots that s would have borrowed with
// inFlight requests are returned within ReclaimWithin. Hold times are taken as
// exponentially distributed, with the measured mean or the mean age of the requests in
// flight, whichever is longer: requests much longer than earlier ones are thus noticed
// before they end.
func (a *Admission) expectedReturnsOf(now time.Duration, s *workspaceState, inFlight int) slotEstimate {
	borrowed := float64(inFlight - s.reserved)
	if borrowed <= 0 {
		return slotEstimate{}
	}
	mean := max(a.holdTimeOf(s).mean, minHoldTime)
	if s.inFlight > 0 {
		mean = max(mean, meanAge(now, s.inFlight, s.startTimeSum))
	}
	returnProbability := 1 - math.Exp(-a.config.ReclaimWithin.Seconds()/mean)
	if returnProbability >= certainReturnProbability {
		return slotEstimate{mean: borrowed}
	}
	expected := float64(inFlight) * returnProbability
	return slotEstimate{mean: min(borrowed, expected), variance: expected * (1 - returnProbability)}
}

// refreshExpectedReturns updates the contribution of s to the expected returns.
func (a *Admission) refreshExpectedReturns(now time.Duration, s *workspaceState) {
	a.totalExpectedReturns = a.totalExpectedReturns.minus(s.expectedReturns)
	s.expectedReturns = a.expectedReturnsOf(now, s, s.inFlight)
	a.totalExpectedReturns = a.totalExpectedReturns.plus(s.expectedReturns)
}

// releaseRate returns the number of slots released per second, from the measured hold
// times. It falls when the requests in flight become much older than earlier ones, as
// when endpoints stall.
func (a *Admission) releaseRate(now time.Duration) float64 {
	if a.inFlight == 0 {
		return 0
	}
	mean := a.config.InitialHoldTime.Seconds()
	if a.holdTime.samples > 0 {
		mean = a.holdTime.mean
	}
	age := meanAge(now, a.inFlight, a.startTimeSum)
	return float64(min(a.inFlight, a.slots)) / max(mean, age/2, minHoldTime)
}

// meanAge returns the mean time since the starts that add up to startSum, in seconds. The
// sum of the starts may overflow, but the sum of the ages is still correct because
// integers wrap around.
func meanAge(now time.Duration, inFlight int, startSum time.Duration) float64 {
	ages := now*time.Duration(inFlight) - startSum
	return ages.Seconds() / float64(inFlight)
}

// estimateWait estimates how long a request waits until it starts.
func (a *Admission) estimateWait(now time.Duration, e *entry) time.Duration {
	s := e.workspace
	if a.startsAtOnce(now, e) {
		return 0
	}
	aheadInLevel, ahead := 0, 0 // of the same workspace
	for _, other := range s.queue.items {
		switch {
		case other.level < e.level:
			ahead++
		case other != e && other.level == e.level && other.request.Priority >= e.request.Priority:
			aheadInLevel++
			ahead++
		}
	}
	return max(a.slotWait(now, e, aheadInLevel+1), a.rateWait(now, s, ahead+1, e.request.ExpectedTokens))
}

// startsAtOnce reports whether a new request would start now.
func (a *Admission) startsAtOnce(now time.Duration, e *entry) bool {
	s := e.workspace
	if a.inFlight >= a.slots || s.queue.len() > 0 || s.atConcurrencyLimit() {
		return false
	}
	if s.rateLimitDelay(now, e.request.ExpectedTokens) > 0 {
		return false
	}
	return s.belowReserved() || (a.byDeficit.len() == 0 && a.mayBorrow(now, s))
}

// slotWait estimates when the workspace of e gets its needed-th slot for the level of e: slots
// that it is entitled to come from the free slots and all releases, after those of the queued
// requests of higher-priority levels, the others at the drain rate of the workspace.
func (a *Admission) slotWait(now time.Duration, e *entry, needed int) time.Duration {
	s := e.workspace
	entitled := s.shareSlots
	if a.mayBorrow(now, s) {
		entitled = a.entitlement(s)
	}
	if s.limits.MaxConcurrent > 0 {
		entitled = min(entitled, float64(s.limits.MaxConcurrent))
	}
	entitledNow := min(max(entitled-float64(s.inFlight), 0), float64(needed))
	free := float64(max(a.slots-a.inFlight, 0))
	wait := max(float64(a.queuedBefore(e.level))+entitledNow-free, 0) / max(a.releaseRate(now), minRate)
	if rest := float64(needed) - entitledNow; rest > 0 {
		wait += rest / a.drainRate(now, s)
	}
	return seconds(min(wait, a.sharedWait(now, e), a.owedWait(now, e)))
}

// sharedWait returns the time until all queued requests up to the level of e, and one more,
// have a slot. It is an upper bound of the wait of e even if the share of its workspace is
// used up, because slots that others do not request are lent. It is infinite where the
// workspace may not borrow.
func (a *Admission) sharedWait(now time.Duration, e *entry) float64 {
	s := e.workspace
	if s.atConcurrencyLimit() || !a.mayBorrow(now, s) {
		return math.Inf(1)
	}
	return float64(a.queuedUpTo(e.level)+1) / max(a.releaseRate(now), minRate)
}

// drainRate returns the number of slots per second that s gets under contention: its
// entitled part of all releases or, if that is more, the slots that s releases itself.
func (a *Admission) drainRate(now time.Duration, s *workspaceState) float64 {
	rate := a.releaseRate(now) * a.entitlement(s) / float64(max(a.slots, 1))
	mean := max(a.holdTimeOf(s).mean, minHoldTime)
	own := float64(s.inFlight) / mean
	rate = max(rate, min(own, a.releaseRate(now)))
	if s.limits.MaxConcurrent > 0 {
		rate = min(rate, float64(s.limits.MaxConcurrent)/mean)
	}
	if s.limits.RequestsPerSecond > 0 {
		rate = min(rate, s.limits.RequestsPerSecond)
	}
	return max(rate, minRate)
}

// minEntitlement keeps virtual times finite, in slots.
const minEntitlement = 1e-6

// entitlement returns the guaranteed share of s plus its weighted share of the rest, in
// slots, as if s were active.
func (a *Admission) entitlement(s *workspaceState) float64 {
	weight, base := a.activeWeight, a.activeShareSlots
	if s.idle() {
		weight += s.limits.weight()
		base += s.shareSlots
	}
	rest := max(float64(a.slots)-base, 0)
	return s.shareSlots + rest*s.limits.weight()/max(weight, s.limits.weight())
}

// rateWait returns how long the rate limits delay the needed-th request of s, whose
// tokens are added to those of the requests ahead of it.
func (a *Admission) rateWait(now time.Duration, s *workspaceState, needed, cost int) time.Duration {
	tokens := float64(s.queuedTokens) + min(float64(cost), s.tokenRate.capacity())
	return max(s.requestRate.until(now, float64(needed)), s.tokenRate.until(now, tokens))
}
