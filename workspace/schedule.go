package workspace

import (
	"math"
	"time"
)

// advance handles what became due by now: requests past their latest start,
// rate limits that opened, and idle workspaces to forget.
func (a *Admission) advance(now time.Duration) {
	for e := a.deadlines.top(); e != nil && e.latestStart <= now; e = a.deadlines.top() {
		a.expire(now, e)
	}
	for s := a.timers.top(); s != nil && s.wakeAt <= now; s = a.timers.top() {
		if s.idle() {
			a.forget(s)
			continue
		}
		a.update(now, s)
	}
}

// expire refuses a waiting request that can no longer be answered in time.
func (a *Admission) expire(now time.Duration, e *entry) {
	a.dequeue(now, e)
	a.refusals = append(a.refusals, Refusal{
		ID:        e.request.ID,
		Workspace: e.request.Workspace,
		Fault:     a.lateFault(now, e, a.wait(now, e)),
	})
}

// activate returns the state of a workspace, made on first use.
func (a *Admission) activate(now time.Duration, name string) *state {
	if s, ok := a.active[name]; ok {
		return s
	}
	limits, ok := a.known[name]
	if !ok {
		limits = a.config.Default
	}
	s := newState(name, limits)
	s.requests.setRate(now, limits.RequestsPerSecond)
	s.tokens.setRate(now, limits.TokensPerSecond)
	s.base = a.baseOf(limits)
	s.whole = wholeSlots(s.base)
	s.virtual = a.virtualNow
	a.active[name] = s
	return s
}

// forget drops the state of an idle workspace.
func (a *Admission) forget(s *state) {
	a.timers.remove(s)
	delete(a.active, s.name)
}

// enqueue adds a request to the queue of its workspace.
func (a *Admission) enqueue(now time.Duration, e *entry) {
	s := e.owner
	if s.idle() {
		a.activeWeight += s.limits.weight()
		a.activeBase += s.base
		s.virtual = max(s.virtual, a.virtualNow)
	}
	a.sequence++
	e.sequence = a.sequence
	a.entries[e.request.ID] = e
	a.queued++
	s.queuedCost += e.request.ExpectedTokens
	s.queue.put(e)
	a.deadlines.put(e)
	a.update(now, s)
}

// leaveQueue takes a request out of the queue; the caller updates its owner.
func (a *Admission) leaveQueue(e *entry) {
	a.queued--
	e.owner.queuedCost -= e.request.ExpectedTokens
	e.owner.queue.remove(e)
	a.deadlines.remove(e)
}

// dequeue ends a waiting request.
func (a *Admission) dequeue(now time.Duration, e *entry) {
	a.leaveQueue(e)
	delete(a.entries, e.request.ID)
	a.removeIfIdle(e.owner)
	a.update(now, e.owner)
}

// schedule starts waiting requests while there are slots for them.
func (a *Admission) schedule(now time.Duration) {
	for a.inFlight < a.slots {
		s := a.next(now)
		if s == nil {
			return
		}
		a.start(now, s.queue.top())
	}
}

// next returns the workspace whose request starts next, or nil: one below its
// guaranteed share, else one below its weighted share of the rest, else the one
// with the least virtual time. The last two borrow, if lending allows it.
func (a *Admission) next(now time.Duration) *state {
	candidate := a.deficits.top()
	if candidate == nil || candidate.guaranteed() {
		return candidate
	}
	if candidate.excess() > a.fairExcess() {
		candidate = a.virtuals.top()
	}
	if !a.mayLend(now, candidate) {
		return nil
	}
	return candidate
}

// fairExcess is the weighted share, per unit of importance, of the slots that
// are not guaranteed to active workspaces.
func (a *Admission) fairExcess() float64 {
	if a.activeWeight <= 0 {
		return math.Inf(1)
	}
	return (float64(a.slots) - a.activeBase) / a.activeWeight
}

// mayLend reports whether s can take one slot beyond its guaranteed share and
// leave enough for the unused guaranteed slots of the others: free slots and lent
// slots that are expected back within ReclaimWithin.
func (a *Admission) mayLend(now time.Duration, s *state) bool {
	lent := a.inFlight - a.heldSum
	always := max(lendingFloor*float64(a.slots), 1)
	if s.guaranteed() || a.config.ReclaimWithin < 0 || float64(lent) < always {
		return true
	}
	a.refreshReturns(now, s)
	back := a.returnsSum.minus(s.returns).plus(a.returnsOf(now, s, s.inFlight+1))
	free := float64(a.slots - a.inFlight - 1)
	unused := float64(a.guaranteedSlots - a.heldSum)
	return free+back.safe() >= unused-roundingSlack
}

// lendingFloor is the part of all slots that is lent in any case, so that
// workspaces without a guaranteed share are served even if the guaranteed shares
// take up everything. At least one slot is.
const lendingFloor = 0.05

// roundingSlack absorbs the rounding of sums of shares, in slots.
const roundingSlack = 1e-6

// start gives a slot to a waiting request.
func (a *Admission) start(now time.Duration, e *entry) {
	s := e.owner
	if top := a.virtuals.top(); top != nil {
		a.virtualNow = max(a.virtualNow, top.virtual)
	}
	e.charged = a.expectedHold(e)
	e.chargeRate = 1 / max(a.entitlement(s), leastEntitlement)
	s.virtual += e.charged.Seconds() * e.chargeRate
	a.leaveQueue(e)
	s.requests.take(now, 1)
	s.tokens.take(now, float64(e.request.ExpectedTokens))
	a.sequence++
	s.lastGrant = a.sequence
	e.running = true
	e.started = now
	s.startSum += now
	a.startSum += now
	a.changeInFlight(now, s, 1)
	a.grants = append(a.grants, Grant{ID: e.request.ID, Workspace: s.name, Waited: now - e.arrived})
}

// release frees the slot of a request in flight.
func (a *Admission) release(now time.Duration, e *entry) {
	s := e.owner
	s.virtual += (now - e.started - e.charged).Seconds() * e.chargeRate
	delete(a.entries, e.request.ID)
	s.startSum -= e.started
	a.startSum -= e.started
	a.changeInFlight(now, s, -1)
}

// changeInFlight adds change to the requests in flight of s and keeps the sums.
func (a *Admission) changeInFlight(now time.Duration, s *state, change int) {
	a.heldSum -= s.held()
	s.inFlight += change
	a.heldSum += s.held()
	a.inFlight += change
	a.refreshReturns(now, s)
	a.removeIfIdle(s)
	a.update(now, s)
}

// removeIfIdle takes a workspace that has become idle out of the sums. With no requests
// left, the sums start from zero again, which ends the drift of their rounding.
func (a *Admission) removeIfIdle(s *state) {
	if s.idle() {
		a.activeWeight -= s.limits.weight()
		a.activeBase -= s.base
	}
	if a.inFlight == 0 && a.queued == 0 {
		a.activeWeight, a.activeBase, a.heldSum, a.returnsSum = 0, 0, 0, returns{}
	}
}

// update puts s in the heaps that it belongs to.
func (a *Admission) update(now time.Duration, s *state) {
	waiting := s.queue.len() > 0
	ready := waiting && !s.atConcurrencyLimit()
	pause := time.Duration(0)
	if ready {
		pause = s.untilRate(now, s.queue.top().request.ExpectedTokens)
	}
	if ready && pause == 0 {
		a.deficits.put(s)
		a.virtuals.put(s)
	} else {
		a.deficits.remove(s)
		a.virtuals.remove(s)
	}
	if waiting {
		a.crowds.put(s)
	} else {
		a.crowds.remove(s)
	}
	switch {
	case pause > 0:
		a.setTimer(s, now+pause)
	case s.idle():
		a.setTimer(s, now+s.untilForgotten(now))
	default:
		a.timers.remove(s)
	}
}

func (a *Admission) setTimer(s *state, at time.Duration) {
	s.wakeAt = at
	a.timers.put(s)
}

// setLimits changes the limits of an active workspace; reshape must follow.
func (a *Admission) setLimits(now time.Duration, s *state, limits Limits) {
	s.limits = limits
	s.requests.setRate(now, limits.RequestsPerSecond)
	s.tokens.setRate(now, limits.TokensPerSecond)
}

// sumWholeSlots runs when limits or the number of slots change.
func (a *Admission) sumWholeSlots() {
	a.guaranteedSlots = 0
	for _, one := range a.guaranteed {
		a.guaranteedSlots += wholeSlots(a.baseOf(one.limits))
	}
}

// reshape computes all that depends on the capacity or the limits of the active
// workspaces anew.
func (a *Admission) reshape(now time.Duration) {
	a.sumWholeSlots()
	a.activeWeight, a.activeBase, a.heldSum, a.returnsSum = 0, 0, 0, returns{}
	for _, s := range a.active {
		s.base = a.baseOf(s.limits)
		s.whole = wholeSlots(s.base)
		s.returns = a.returnsOf(now, s, s.inFlight)
		a.heldSum += s.held()
		a.returnsSum = a.returnsSum.plus(s.returns)
		if !s.idle() {
			a.activeWeight += s.limits.weight()
			a.activeBase += s.base
		}
	}
	a.deficits.rebuild()
	a.virtuals.rebuild()
	a.crowds.rebuild()
	for _, s := range a.active {
		a.update(now, s)
	}
	a.schedule(now)
}
