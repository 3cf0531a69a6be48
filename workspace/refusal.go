package workspace

import (
	"time"

	"github.com/lilackeel/lilackeel/fault"
)

// checkArrival returns the fault of a request that can be neither started nor queued, or
// nil. To make room for the request, it may evict one of a workspace with a longer
// weighted queue.
func (a *Admission) checkArrival(now time.Duration, e *entry) *fault.Error {
	s := e.workspace
	if wait := a.estimateWait(now, e); now+wait > e.latestStart {
		return a.lateStartFault(now, e, wait)
	}
	if s.queue.len() >= orDefault(s.limits.MaxQueue, a.config.DefaultQueue) {
		return a.makeRoomInQueue(now, e)
	}
	if a.queued < a.config.MaxQueued {
		return nil
	}
	if a.config.Levels {
		return a.makeRoomByLevel(now, e)
	}
	longest := a.byQueueLength.top()
	if float64(s.queue.len()+1)/s.limits.weight() >= longest.weightedQueueLength() {
		return a.overloadedFault(now, s, "the limit on queued requests over all workspaces is reached")
	}
	a.evict(now, longest)
	return nil
}

// makeRoomInQueue evicts a request from the full queue of the workspace of e if e has a
// higher-priority level, or a higher priority within its level, than some request in it;
// otherwise it returns the fault for e.
func (a *Admission) makeRoomInQueue(now time.Duration, e *entry) *fault.Error {
	for _, other := range e.workspace.queue.items {
		if e.level < other.level || e.level == other.level && other.request.Priority < e.request.Priority {
			a.evict(now, e.workspace)
			return nil
		}
	}
	return a.overloadedFault(now, e.workspace, "its queue is full")
}

// evict refuses the queued request of s that would have started last.
func (a *Admission) evict(now time.Duration, s *workspaceState) {
	last := s.queue.top()
	for _, e := range s.queue.items {
		if last.before(e) {
			last = e
		}
	}
	refusal := a.overloadedFault(now, s, "a request with precedence took its place in the queue")
	a.dequeue(now, last)
	a.refusals = append(a.refusals, Refusal{ID: last.request.ID, Workspace: s.name, Fault: refusal})
}

// lateStartFault returns the fault of a request that would start too late. Its
// Retry-After is the time until the queue is short enough for a request like it.
func (a *Admission) lateStartFault(now time.Duration, e *entry, wait time.Duration) *fault.Error {
	name := e.workspace.name
	timeAllowed := e.request.Deadline - e.arrived
	if e.request.Deadline != 0 && timeAllowed < a.requiredTime(e, true) {
		return fault.Newf(fault.DeadlineTooShort, "use a longer deadline",
			"not run: the deadline is %v away, and requests of workspace %s take about %v",
			roundToMilliseconds(timeAllowed), name, roundToMilliseconds(a.expectedHoldTime(e)))
	}
	if e.latestStart < e.arrived+a.maxWait(e) {
		maxQueueTime := max(timeAllowed-a.requiredTime(e, false), 0)
		return fault.Newf(fault.DeadlineTooShort, "retry after the given time, or use a longer deadline",
			"not run: workspace %s would wait about %v, too long for the deadline",
			name, roundToMilliseconds(wait)).RetryIn(a.retryAfter(now, e.workspace, wait-maxQueueTime))
	}
	return fault.Newf(fault.Overloaded, "retry after the given time",
		"not run: workspace %s would wait about %v, longer than the limit of %v",
		name, roundToMilliseconds(wait), a.maxWait(e)).RetryIn(a.retryAfter(now, e.workspace, wait-a.maxWait(e)))
}

// roundToMilliseconds rounds a duration for a message.
func roundToMilliseconds(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// overloadedFault returns the fault of a request for which no queue has room.
func (a *Admission) overloadedFault(now time.Duration, s *workspaceState, reason string) *fault.Error {
	return fault.Newf(fault.Overloaded, "retry after the given time",
		"not run: workspace %s: %s", s.name, reason).RetryIn(a.retryAfter(now, s, 0))
}

// retryFraction is the fraction of the measured drain rate that is reserved for the
// retries of refused callers; the rest is left for first attempts.
const retryFraction = 0.4

// retryAfter returns the Retry-After of a refusal: the time in which the queue drains by
// shortfall, and at least one step after the time given to the previously refused caller.
// The spacing keeps retries from arriving all at once.
func (a *Admission) retryAfter(now time.Duration, s *workspaceState, shortfall time.Duration) time.Duration {
	step := seconds(1 / (retryFraction * a.drainRate(now, s)))
	at := max(now+shortfall, s.lastRetryAt, now) + step
	s.lastRetryAt = min(at, now+a.config.MaxRetryAfter)
	return s.lastRetryAt - now
}
