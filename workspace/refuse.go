package workspace

import (
	"time"

	"github.com/lilackeel/lilackeel/fault"
)

// refuse returns the fault of a request that must not even wait, or nil. To make
// room for it, it may refuse a request of a more crowded workspace.
func (a *Admission) refuse(now time.Duration, e *entry) *fault.Error {
	s := e.owner
	if wait := a.wait(now, e); now+wait > e.latestStart {
		return a.lateFault(now, e, wait)
	}
	if s.queue.len() >= orDefault(s.limits.MaxQueue, a.config.DefaultQueue) {
		return a.refuseInQueue(now, e)
	}
	if a.queued < a.config.MaxQueued {
		return nil
	}
	crowded := a.crowds.top()
	if float64(s.queue.len()+1)/s.limits.weight() >= crowded.crowding() {
		return a.overloaded(now, s, "the queues are full")
	}
	a.evict(now, crowded)
	return nil
}

// refuseInQueue makes room in the full queue of the workspace itself if the
// request has a higher priority than the last one in it.
func (a *Admission) refuseInQueue(now time.Duration, e *entry) *fault.Error {
	for _, other := range e.owner.queue.items {
		if other.request.Priority < e.request.Priority {
			a.evict(now, e.owner)
			return nil
		}
	}
	return a.overloaded(now, e.owner, "the queue of the workspace is full")
}

// evict refuses the waiting request of s that would have started last.
func (a *Admission) evict(now time.Duration, s *state) {
	last := s.queue.top()
	for _, e := range s.queue.items {
		if last.before(e) {
			last = e
		}
	}
	refusal := a.overloaded(now, s, "more important work took its place in the queue")
	a.dequeue(now, last)
	a.refusals = append(a.refusals, Refusal{ID: last.request.ID, Workspace: s.name, Fault: refusal})
}

// lateFault is the fault of a request that would start too late. Its Retry-After
// is when the queue will have become short enough for a request like it.
func (a *Admission) lateFault(now time.Duration, e *entry, wait time.Duration) *fault.Error {
	name := e.owner.name
	timeAllowed := e.request.Deadline - e.arrived
	if e.request.Deadline != 0 && timeAllowed < a.runTime(e, true) {
		return fault.Newf(fault.DeadlineTooShort, "allow more time",
			"not run: the deadline is %v away, and requests of workspace %s take about %v",
			inMilliseconds(timeAllowed), name, inMilliseconds(a.expectedHold(e)))
	}
	if e.latestStart < e.arrived+a.maxWait(e) {
		room := max(timeAllowed-a.runTime(e, false), 0)
		return fault.Newf(fault.DeadlineTooShort, "ask again after the given time, or allow more time",
			"not run: workspace %s would wait about %v, too long for the deadline",
			name, inMilliseconds(wait)).RetryIn(a.retryAfter(now, e.owner, wait-room))
	}
	return fault.Newf(fault.Overloaded, "ask again after the given time",
		"not run: workspace %s would wait about %v, longer than the limit of %v",
		name, inMilliseconds(wait), a.maxWait(e)).RetryIn(a.retryAfter(now, e.owner, wait-a.maxWait(e)))
}

// inMilliseconds rounds a duration for a message.
func inMilliseconds(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// overloaded is the fault of a request for which there is no place in a queue.
func (a *Admission) overloaded(now time.Duration, s *state, reason string) *fault.Error {
	return fault.Newf(fault.Overloaded, "ask again after the given time",
		"not run: workspace %s: %s", s.name, reason).RetryIn(a.retryAfter(now, s, 0))
}

// retryShare is the part of the measured service rate that is reserved for the
// retries of refused callers; the rest is left for first attempts.
const retryShare = 0.4

// retryAfter returns the Retry-After of a refusal: the time in which the queue
// drains by shortfall, and at least one step after the Retry-After given to the
// caller refused before. The spacing keeps retries from arriving all at once.
func (a *Admission) retryAfter(now time.Duration, s *state, shortfall time.Duration) time.Duration {
	step := seconds(1 / (retryShare * a.drain(now, s)))
	at := max(now+shortfall, s.retryAt, now) + step
	s.retryAt = min(at, now+a.config.MaxRetryAfter)
	return s.retryAt - now
}
