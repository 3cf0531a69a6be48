package workspace

import (
	"math"
	"time"
)

// handleDue handles what is due by now: requests past their latest start, workspaces
// whose rate limit admits their next request, and idle workspaces past their retention.
func (a *Admission) handleDue(now time.Duration) {
	for e := a.deadlines.top(); e != nil && e.latestStart <= now; e = a.deadlines.top() {
		a.expire(now, e)
	}
	for s := a.timers.top(); s != nil && s.wakeAt <= now; s = a.timers.top() {
		if s.idle() {
			a.evictState(s)
			continue
		}
		a.updateHeaps(now, s)
	}
}

// expire refuses a queued request that has reached its latest start.
func (a *Admission) expire(now time.Duration, e *entry) {
	a.dequeue(now, e)
	a.refusals = append(a.refusals, Refusal{
		ID:        e.request.ID,
		Workspace: e.request.Workspace,
		Fault:     a.lateStartFault(now, e, a.estimateWait(now, e)),
	})
}

// activeState returns the state of a workspace and creates it on first use.
func (a *Admission) activeState(now time.Duration, name string) *workspaceState {
	if s, ok := a.active[name]; ok {
		return s
	}
	limits, ok := a.limits[name]
	if !ok {
		limits = a.config.Default
	}
	s := newWorkspaceState(name, limits)
	s.requestRate.setRate(now, limits.RequestsPerSecond)
	s.tokenRate.setRate(now, limits.TokensPerSecond)
	s.shareSlots = a.shareSlotsOf(limits)
	s.reserved = wholeSlots(s.shareSlots)
	s.virtualTime = a.minVirtualTime
	a.active[name] = s
	return s
}

// evictState drops the state of an idle workspace.
func (a *Admission) evictState(s *workspaceState) {
	a.timers.remove(s)
	delete(a.active, s.name)
}

// enqueue adds a request to the queue of its workspace.
func (a *Admission) enqueue(now time.Duration, e *entry) {
	s := e.workspace
	if s.idle() {
		a.activeWeight += s.limits.weight()
		a.activeShareSlots += s.shareSlots
		s.virtualTime = max(s.virtualTime, a.minVirtualTime)
	}
	a.sequence++
	e.sequence = a.sequence
	a.entries[e.request.ID] = e
	a.queued++
	a.countQueued(e.level, 1)
	s.queuedTokens += e.request.ExpectedTokens
	s.queue.put(e)
	a.deadlines.put(e)
	a.updateHeaps(now, s)
}

// removeFromQueue removes a request from its queue; the caller must update the heaps of
// its workspace.
func (a *Admission) removeFromQueue(e *entry) {
	a.queued--
	a.countQueued(e.level, -1)
	e.workspace.queuedTokens -= e.request.ExpectedTokens
	e.workspace.queue.remove(e)
	a.deadlines.remove(e)
}

// dequeue removes a queued request that will not start.
func (a *Admission) dequeue(now time.Duration, e *entry) {
	a.removeFromQueue(e)
	delete(a.entries, e.request.ID)
	a.updateSumsIfIdle(e.workspace)
	a.updateHeaps(now, e.workspace)
}

// schedule starts queued requests while slots are available to them.
func (a *Admission) schedule(now time.Duration) {
	for a.inFlight < a.slots {
		if e := a.owedRequest(); e != nil {
			a.grantSlot(now, e)
			continue
		}
		s := a.nextWorkspace(now)
		if s == nil {
			return
		}
		a.grantSlot(now, s.queue.top())
	}
}

// nextWorkspace returns the workspace whose request starts next, or nil. Where levels are on,
// it is one with a request of the highest-priority level. A workspace with reserved slots left goes
// first, then one below its weighted share of the rest, then the one with the least virtual time.
// The last two borrow slots and are chosen only if mayBorrow allows it.
func (a *Admission) nextWorkspace(now time.Duration) *workspaceState {
	candidate := a.byDeficit.top()
	if candidate == nil || candidate.belowReserved() {
		return candidate
	}
	if candidate.excess() > a.fairExcessPerWeight() {
		candidate = a.byVirtualTime.top()
	}
	if !a.mayBorrow(now, candidate) {
		return nil
	}
	return candidate
}

// fairExcessPerWeight returns the number of slots per unit of weight that remain after
// the guaranteed shares of the active workspaces.
func (a *Admission) fairExcessPerWeight() float64 {
	if a.activeWeight <= 0 {
		return math.Inf(1)
	}
	return (float64(a.slots) - a.activeShareSlots) / a.activeWeight
}

// mayBorrow reports whether s can take one slot beyond its reserved slots and still leave
// enough for the unused reserved slots of the others, counting free slots and lent slots
// that are expected back within ReclaimWithin.
func (a *Admission) mayBorrow(now time.Duration, s *workspaceState) bool {
	lent := a.inFlight - a.reservedInUse
	minLent := max(minLentFraction*float64(a.slots), 1)
	if s.belowReserved() || a.config.ReclaimWithin < 0 || a.config.Levels || float64(lent) < minLent {
		return true
	}
	a.refreshExpectedReturns(now, s)
	returned := a.totalExpectedReturns.minus(s.expectedReturns).plus(a.expectedReturnsOf(now, s, s.inFlight+1))
	free := float64(a.slots - a.inFlight - 1)
	unused := float64(a.reservedSlots - a.reservedInUse)
	return free+returned.lowerBound() >= unused-roundingSlack
}

// minLentFraction is the fraction of all slots that may always be lent, so that
// workspaces without a guaranteed share are served even if the guaranteed shares cover
// all slots. It amounts to at least one slot.
const minLentFraction = 0.05

// roundingSlack tolerates the rounding errors of sums of shares, in slots.
const roundingSlack = 1e-6

// grantSlot starts a queued request.
func (a *Admission) grantSlot(now time.Duration, e *entry) {
	s := e.workspace
	a.advanceMinVirtualTime()
	a.creditLevels(now, e)
	e.chargedTime = a.expectedHoldTime(e)
	e.chargeRate = 1 / max(a.entitlement(s), minEntitlement)
	s.virtualTime += e.chargedTime.Seconds() * e.chargeRate
	a.removeFromQueue(e)
	s.requestRate.take(now, 1)
	s.tokenRate.take(now, float64(e.request.ExpectedTokens))
	a.sequence++
	s.lastGrant = a.sequence
	e.running = true
	e.started = now
	s.startTimeSum += now
	a.startTimeSum += now
	a.changeInFlight(now, s, 1)
	a.grants = append(a.grants, Grant{ID: e.request.ID, Workspace: s.name, Waited: now - e.arrived})
}

// releaseSlot releases the slot of a request in flight.
func (a *Admission) releaseSlot(now time.Duration, e *entry) {
	s := e.workspace
	s.virtualTime += (now - e.started - e.chargedTime).Seconds() * e.chargeRate
	delete(a.entries, e.request.ID)
	s.startTimeSum -= e.started
	a.startTimeSum -= e.started
	a.changeInFlight(now, s, -1)
}

// changeInFlight adds change to the requests in flight of s and updates the sums.
func (a *Admission) changeInFlight(now time.Duration, s *workspaceState, change int) {
	a.reservedInUse -= s.reservedInUse()
	s.inFlight += change
	a.reservedInUse += s.reservedInUse()
	a.inFlight += change
	a.refreshExpectedReturns(now, s)
	a.updateSumsIfIdle(s)
	a.updateHeaps(now, s)
}

// updateSumsIfIdle removes a workspace that has become idle from the sums. Once no
// requests are left at all, the sums restart from zero, which discards accumulated
// rounding errors.
func (a *Admission) updateSumsIfIdle(s *workspaceState) {
	if s.idle() {
		a.activeWeight -= s.limits.weight()
		a.activeShareSlots -= s.shareSlots
	}
	if a.inFlight == 0 && a.queued == 0 {
		a.activeWeight, a.activeShareSlots, a.reservedInUse, a.totalExpectedReturns = 0, 0, 0, slotEstimate{}
	}
}

// updateHeaps adds s to the heaps that it belongs to and removes it from the others.
func (a *Admission) updateHeaps(now time.Duration, s *workspaceState) {
	waiting := s.queue.len() > 0
	ready := waiting && !s.atConcurrencyLimit()
	delay := time.Duration(0)
	if ready {
		delay = s.rateLimitDelay(now, s.queue.top().request.ExpectedTokens)
	}
	if ready && delay == 0 {
		a.byDeficit.put(s)
		a.byVirtualTime.put(s)
	} else {
		a.byDeficit.remove(s)
		a.byVirtualTime.remove(s)
	}
	if waiting {
		a.byQueueLength.put(s)
	} else {
		a.byQueueLength.remove(s)
	}
	switch {
	case delay > 0:
		a.setTimer(s, now+delay)
	case s.idle():
		a.setTimer(s, now+s.retention(now))
	default:
		a.timers.remove(s)
	}
}

func (a *Admission) setTimer(s *workspaceState, at time.Duration) {
	s.wakeAt = at
	a.timers.put(s)
}

// setLimits changes the limits of an active workspace; recompute must follow.
func (a *Admission) setLimits(now time.Duration, s *workspaceState, limits Limits) {
	s.limits = limits
	s.requestRate.setRate(now, limits.RequestsPerSecond)
	s.tokenRate.setRate(now, limits.TokensPerSecond)
}

// sumReservedSlots must run after limits or the number of slots have changed.
func (a *Admission) sumReservedSlots() {
	a.reservedSlots = 0
	for _, g := range a.guaranteed {
		a.reservedSlots += wholeSlots(a.shareSlotsOf(g.limits))
	}
}

// recompute recalculates everything that depends on the number of slots or on the limits
// of the active workspaces.
func (a *Admission) recompute(now time.Duration) {
	a.sumReservedSlots()
	a.activeWeight, a.activeShareSlots, a.reservedInUse, a.totalExpectedReturns = 0, 0, 0, slotEstimate{}
	for _, s := range a.active {
		s.shareSlots = a.shareSlotsOf(s.limits)
		s.reserved = wholeSlots(s.shareSlots)
		s.expectedReturns = a.expectedReturnsOf(now, s, s.inFlight)
		a.reservedInUse += s.reservedInUse()
		a.totalExpectedReturns = a.totalExpectedReturns.plus(s.expectedReturns)
		if !s.idle() {
			a.activeWeight += s.limits.weight()
			a.activeShareSlots += s.shareSlots
		}
	}
	a.byDeficit.rebuild()
	a.byVirtualTime.rebuild()
	a.byQueueLength.rebuild()
	for _, s := range a.active {
		a.updateHeaps(now, s)
	}
	a.schedule(now)
}
