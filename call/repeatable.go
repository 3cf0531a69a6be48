package call

import (
	"math/rand/v2"
	"net/http"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// Options describes one call.
type Options struct {
	// RequestID identifies the request.
	RequestID string
	// Deadline is when the caller must have the final answer.
	Deadline time.Duration
	// Stream is true if the caller requested a stream. It only determines how long each
	// part of the answer is waited for; whether the answer is forwarded as it arrives or
	// buffered until complete depends on what the endpoint sends.
	Stream bool
	// Policy bounds the attempts, waits and buffers of the call.
	Policy *Policy
	// Budget bounds the retries of all calls together.
	Budget *Budget
	// Rand provides the jitter of delays.
	Rand *rand.Rand
}

// Repeatable drives a call that may run more than once.
//
// Invariants: only the current attempt writes to the caller; the bytes written form one
// answer without gaps; once bytes are written, the call is only ever resumed after them,
// on the stream that produced them, and never restarted.
type Repeatable struct {
	callState
	// mayHaveRun is true once an endpoint may have run an attempt.
	mayHaveRun bool
}

// NewRepeatable returns the state machine of one repeatable call.
func NewRepeatable(o Options) *Repeatable {
	return &Repeatable{callState: newCallState(o)}
}

// Start starts the call.
func (m *Repeatable) Start(now time.Duration) Action {
	m.options.Budget.Deposit()
	if now >= m.options.Deadline {
		return m.giveUp(now, errDeadlinePassed())
	}
	return Action{Kind: Pick}
}

// Picked reports the chosen endpoint.
func (m *Repeatable) Picked(now time.Duration, t Target) Action {
	if now >= m.options.Deadline {
		return m.giveUp(now, errDeadlinePassed())
	}
	m.target = t
	m.tried = append(m.tried, t.Endpoint)
	return m.dispatch(now, 0)
}

// PickFailed reports that no endpoint can take the call.
func (m *Repeatable) PickFailed(now time.Duration, f *fault.Error) Action {
	if action, ok := m.waitForRateLimit(now, f); ok {
		return action
	}
	if m.lastFault == nil && m.rateLimited != nil {
		return m.giveUp(now, m.rateLimited)
	}
	if m.lastFault == nil || len(m.tried) == 0 {
		return m.giveUp(now, f)
	}
	m.tried = nil
	return m.retryOrGiveUp(now, m.lastFault)
}

// Response reports a message of the attempt.
func (m *Repeatable) Response(now time.Duration, r *agentv1.DispatchResponse) Action {
	if !m.answer.isCurrent(r) {
		return m.receive(now, nil)
	}
	switch kind := r.GetKind().(type) {
	case *agentv1.DispatchResponse_Refused:
		return m.refused(now, kind.Refused)
	case *agentv1.DispatchResponse_Head:
		return m.head(now, kind.Head)
	case *agentv1.DispatchResponse_Chunk:
		return m.chunk(now, kind.Chunk)
	case *agentv1.DispatchResponse_End:
		return m.end(now, kind.End)
	case *agentv1.DispatchResponse_Broken:
		return m.Interrupted(now, errIncomplete(kind.Broken.GetMessage()), !kind.Broken.GetMayHaveRun())
	}
	return m.Interrupted(now, errIncomplete("the agent sent a message of an unknown kind"), false)
}

// Interrupted reports that the attempt ended without a complete answer. notRun is true
// only if it is proved that no endpoint received the call.
func (m *Repeatable) Interrupted(now time.Duration, f *fault.Error, notRun bool) Action {
	m.mayHaveRun = m.mayHaveRun || !notRun
	if m.headSent {
		return m.resume(now, f)
	}
	m.answer.reset()
	m.buffer.drain()
	return m.retryOrGiveUp(now, f)
}

// GiveUp ends the call because it must not be retried.
func (m *Repeatable) GiveUp(now time.Duration, f *fault.Error) Action { return m.giveUp(now, f) }

// Abandon ends the call of a caller that disconnected.
func (m *Repeatable) Abandon(now time.Duration) Action {
	f := fault.New(fault.Invalid, "the caller disconnected before the response was complete", "retry the request")
	return m.giveUp(now, f)
}

func (m *Repeatable) refused(now time.Duration, r *agentv1.Refused) Action {
	f := faultFromRefusal(r)
	if m.answer.headReceived {
		return m.Interrupted(now, f, false)
	}
	if m.headSent && f.Kind == fault.NotFound {
		return m.giveUp(now, errIncomplete("the engine no longer has the stream"))
	}
	if m.headSent {
		return m.resume(now, f)
	}
	if f.Kind == fault.RateLimited && now < m.options.Deadline {
		return m.pickAnother(f)
	}
	return m.retryOrGiveUp(now, f)
}

func (m *Repeatable) head(now time.Duration, head *agentv1.Head) Action {
	m.mayHaveRun = true
	first := m.answer.head == nil
	if !m.answer.open(head) {
		return m.giveUp(now, errIncomplete("the engine started another stream instead of resuming"))
	}
	if !first {
		return m.receive(now, nil)
	}
	if isTransientStatus(head.GetStatus()) && m.mayRetry(now) {
		m.answer.reset()
		return m.retry(now, fault.Newf(fault.Unavailable, "retry the request", "the endpoint answered with status %d", head.GetStatus()))
	}
	if !isEventStream(head) {
		return m.receive(now, nil)
	}
	m.headSent = true
	action := m.receive(now, nil)
	action.Head = head
	return action
}

func (m *Repeatable) chunk(now time.Duration, c *agentv1.Chunk) Action {
	fresh, ok := m.answer.take(c)
	if !ok {
		return m.Interrupted(now, errIncomplete("part of the body is missing"), false)
	}
	if m.headSent {
		return m.receive(now, fresh)
	}
	m.buffer.add(fresh)
	if m.buffer.bytes <= m.options.Policy.MaxBufferedBytes {
		return m.receive(now, nil)
	}
	m.headSent = true
	action := m.receive(now, nil)
	action.Head = m.answer.head
	action.Data = m.buffer.drain()
	return action
}

func (m *Repeatable) end(now time.Duration, end *agentv1.End) Action {
	if !m.answer.isComplete(end) {
		return m.Interrupted(now, errIncomplete("it ended before its full length"), false)
	}
	action := Action{Kind: Finish, Verdict: &Verdict{Outcome: Answered}}
	if !m.headSent {
		m.headSent = true
		action.Head = m.answer.head
		action.Data = m.buffer.drain()
	}
	return action
}

// retryOrGiveUp retries the call on another endpoint, or ends it without an answer.
func (m *Repeatable) retryOrGiveUp(now time.Duration, f *fault.Error) Action {
	if now >= m.options.Deadline {
		return m.giveUp(now, errDeadlinePassed())
	}
	if !m.mayRetry(now) {
		return m.giveUp(now, f)
	}
	return m.retry(now, f)
}

// retry starts an attempt that mayRetry has allowed.
func (m *Repeatable) retry(now time.Duration, f *fault.Error) Action {
	m.lastFault = f
	delay := m.nextBackoff()
	if now+delay >= m.options.Deadline {
		return m.giveUp(now, f)
	}
	return Action{Kind: Pick, Delay: delay, Exclude: m.tried}
}

// resume continues an interrupted stream at its offset, on the engine that has it.
func (m *Repeatable) resume(now time.Duration, f *fault.Error) Action {
	policy := m.options.Policy
	delay := policy.Backoff.Delay(m.options.Rand, m.answer.counts.Resumes)
	if f.Kind == fault.RateLimited {
		delay = max(delay, f.RetryAfter)
	}
	resumable := m.answer.head.GetStreamId() != ""
	inTime := now+delay < m.options.Deadline
	if !resumable || !inTime || m.answer.counts.Resumes >= policy.MaxResumes || !m.options.Budget.Withdraw(now) {
		return m.giveUp(now, f)
	}
	m.answer.counts.Resumes++
	return m.dispatch(now, delay)
}

// UpdateTarget tells the machine the current incarnation and address of the agent of its
// endpoint before a stream is resumed there, and returns the target.
func (m *Repeatable) UpdateTarget(t Target) Target {
	if t.Endpoint == m.target.Endpoint {
		m.target = t
		m.answer.incarnation = t.Incarnation
	}
	return m.target
}

// StreamID returns the engine's id of the stream, empty before the head has been
// received.
func (m *Repeatable) StreamID() string { return m.answer.head.GetStreamId() }

func (m *Repeatable) dispatch(now, delay time.Duration) Action {
	m.answer.beginAttempt(m.target.Incarnation)
	return Action{
		Kind:           Dispatch,
		Delay:          delay,
		Attempt:        m.answer.attempt,
		Target:         m.target,
		Offset:         m.answer.received,
		ReceiveTimeout: m.receiveTimeout(now),
	}
}

func (m *Repeatable) receive(now time.Duration, data []byte) Action {
	action := Action{Kind: Receive, ReceiveTimeout: m.receiveTimeout(now)}
	if len(data) > 0 {
		action.Data = [][]byte{data}
	}
	return action
}

// receiveTimeout returns the timeout for the next response. An answer that is not
// streamed may take half of the remaining time, so that there is time for another
// attempt.
func (m *Repeatable) receiveTimeout(now time.Duration) time.Duration {
	left := max(m.options.Deadline-now, 1)
	if !m.options.Stream {
		if m.isLastAttempt() {
			return left
		}
		return max(left/2, 1)
	}
	if m.answer.headReceived {
		return min(m.options.Policy.IdleTimeout, left)
	}
	return min(m.options.Policy.FirstByteTimeout, left)
}

// giveUp ends the call without a complete answer.
func (m *Repeatable) giveUp(now time.Duration, f *fault.Error) Action {
	m.buffer.drain()
	verdict := Refuse(f)
	if m.mayHaveRun {
		verdict = &Verdict{Outcome: Unknown, Fault: f}
	}
	if f.RetryAfter == 0 && isTransient(f.Kind) {
		verdict.Fault = f.RetryIn(m.options.Policy.RetryAfter)
	}
	return Action{Kind: Finish, Verdict: verdict}
}

// isTransientStatus reports whether another endpoint may succeed after an endpoint has
// answered with this status.
func isTransientStatus(status int32) bool {
	switch int(status) {
	case http.StatusTooManyRequests, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}
