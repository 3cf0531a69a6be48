package call

import (
	"math/rand/v2"
	"net/http"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// Options describe one call to a machine.
type Options struct {
	// RequestID identifies the request.
	RequestID string
	// Deadline is when the caller must have the final answer.
	Deadline time.Duration
	// Stream is true when the caller asked for a stream. Whether the answer is
	// delivered as it comes or held until whole depends on what the endpoint
	// sends; this only sets how long its parts are waited for.
	Stream bool
	// Policy bounds what is tried.
	Policy *Policy
	// Budget bounds the retries of all calls together.
	Budget *Budget
	// Rand spreads the waits.
	Rand *rand.Rand
}

// Repeatable drives a call that may run more than once.
//
// Invariants: only the current attempt writes to the caller; the bytes written
// are one gapless answer; once bytes are written the call is only ever resumed
// at their end, by the stream that produced them, and never begun anew.
type Repeatable struct {
	progress
	// mayHaveRun is true once an endpoint may have run an attempt.
	mayHaveRun bool
}

// NewRepeatable returns the machine of one repeatable call.
func NewRepeatable(o Options) *Repeatable {
	return &Repeatable{progress: newProgress(o)}
}

// Start begins the call.
func (m *Repeatable) Start(now time.Duration) Action {
	m.options.Budget.Deposit()
	if now >= m.options.Deadline {
		return m.giveUp(now, errDeadline())
	}
	return Action{Kind: Pick}
}

// Picked reports the endpoint that was chosen.
func (m *Repeatable) Picked(now time.Duration, t Target) Action {
	if now >= m.options.Deadline {
		return m.giveUp(now, errDeadline())
	}
	m.target = t
	m.tried = append(m.tried, t.Endpoint)
	return m.dispatch(now, 0)
}

// PickFailed reports that no endpoint can take the call.
func (m *Repeatable) PickFailed(now time.Duration, f *fault.Error) Action {
	if action, ok := m.awaitOpening(now, f); ok {
		return action
	}
	if m.last == nil && m.limited != nil {
		return m.giveUp(now, m.limited)
	}
	if m.last == nil || len(m.tried) == 0 {
		return m.giveUp(now, f)
	}
	m.tried = nil
	return m.retryOrEnd(now, m.last)
}

// Response reports a message of the attempt.
func (m *Repeatable) Response(now time.Duration, r *agentv1.DispatchResponse) Action {
	if !m.answer.owns(r) {
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
		return m.Cut(now, errBroken(kind.Broken.GetMessage()), !kind.Broken.GetMayHaveRun())
	}
	return m.Cut(now, errBroken("the agent sent a message of an unknown kind"), false)
}

// Cut reports that the attempt ended without a whole answer. notRun is true
// only when it is proved that no endpoint was asked.
func (m *Repeatable) Cut(now time.Duration, f *fault.Error, notRun bool) Action {
	m.mayHaveRun = m.mayHaveRun || !notRun
	if m.started {
		return m.resume(now, f)
	}
	m.answer.reset()
	m.buffered.release()
	return m.retryOrEnd(now, f)
}

// GiveUp reports that the call must not be tried again.
func (m *Repeatable) GiveUp(now time.Duration, f *fault.Error) Action { return m.giveUp(now, f) }

// CallerGone reports that nobody waits for the answer any more.
func (m *Repeatable) CallerGone(now time.Duration) Action {
	f := fault.New(fault.Invalid, "the caller left before the answer was whole", "send the request again")
	return m.giveUp(now, f)
}

func (m *Repeatable) refused(now time.Duration, r *agentv1.Refused) Action {
	f := faultOf(r)
	if m.answer.opened {
		return m.Cut(now, f, false)
	}
	if m.started && f.Kind == fault.NotFound {
		return m.giveUp(now, errBroken("the engine no longer has the stream"))
	}
	if m.started {
		return m.resume(now, f)
	}
	if f.Kind == fault.RateLimited && now < m.options.Deadline {
		return m.passOver(f)
	}
	return m.retryOrEnd(now, f)
}

func (m *Repeatable) head(now time.Duration, head *agentv1.Head) Action {
	m.mayHaveRun = true
	first := m.answer.head == nil
	if !m.answer.open(head) {
		return m.giveUp(now, errBroken("the engine began another stream instead of resuming"))
	}
	if !first {
		return m.receive(now, nil)
	}
	if failsTransiently(head.GetStatus()) && m.mayRetry(now) {
		m.answer.reset()
		return m.retry(now, fault.Newf(fault.Unavailable, "ask again", "the endpoint answered with status %d", head.GetStatus()))
	}
	if !isEventStream(head) {
		return m.receive(now, nil)
	}
	m.started = true
	action := m.receive(now, nil)
	action.Head = head
	return action
}

func (m *Repeatable) chunk(now time.Duration, c *agentv1.Chunk) Action {
	fresh, ok := m.answer.take(c)
	if !ok {
		return m.Cut(now, errBroken("a part of the answer is missing"), false)
	}
	if m.started {
		return m.receive(now, fresh)
	}
	m.buffered.add(fresh)
	if m.buffered.bytes <= m.options.Policy.HoldBytes {
		return m.receive(now, nil)
	}
	m.started = true
	action := m.receive(now, nil)
	action.Head = m.answer.head
	action.Data = m.buffered.release()
	return action
}

func (m *Repeatable) end(now time.Duration, end *agentv1.End) Action {
	if !m.answer.whole(end) {
		return m.Cut(now, errBroken("the answer ended before it was whole"), false)
	}
	action := Action{Kind: Finish, Verdict: &Verdict{Outcome: Answered}}
	if !m.started {
		m.started = true
		action.Head = m.answer.head
		action.Data = m.buffered.release()
	}
	return action
}

// retryOrEnd tries the call anew on another endpoint, or gives it up.
func (m *Repeatable) retryOrEnd(now time.Duration, f *fault.Error) Action {
	if now >= m.options.Deadline {
		return m.giveUp(now, errDeadline())
	}
	if !m.mayRetry(now) {
		return m.giveUp(now, f)
	}
	return m.retry(now, f)
}

// retry starts an attempt that mayRetry has allowed.
func (m *Repeatable) retry(now time.Duration, f *fault.Error) Action {
	m.last = f
	delay := m.nextBackoff()
	if now+delay >= m.options.Deadline {
		return m.giveUp(now, f)
	}
	return Action{Kind: Pick, Delay: delay, Exclude: m.tried}
}

// resume continues a cut stream at its offset, on the engine that has it.
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

// Redirect notifies the machine that the agent of its endpoint has a new
// incarnation or address, before a stream is resumed there.
func (m *Repeatable) Redirect(t Target) Target {
	if t.Endpoint == m.target.Endpoint {
		m.target = t
		m.answer.incarnation = t.Incarnation
	}
	return m.target
}

// StreamID returns the engine's name of the stream, empty before its head.
func (m *Repeatable) StreamID() string { return m.answer.head.GetStreamId() }

func (m *Repeatable) dispatch(now, delay time.Duration) Action {
	m.answer.begin(m.target.Incarnation)
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

// receiveTimeout bounds the wait for the next response. An answer that comes in
// one piece may take half of the time left, so that another attempt has a chance.
func (m *Repeatable) receiveTimeout(now time.Duration) time.Duration {
	left := max(m.options.Deadline-now, 1)
	if !m.options.Stream {
		if m.lastAttempt() {
			return left
		}
		return max(left/2, 1)
	}
	if m.answer.opened {
		return min(m.options.Policy.IdleTimeout, left)
	}
	return min(m.options.Policy.FirstByteTimeout, left)
}

// giveUp ends the call without a whole answer.
func (m *Repeatable) giveUp(now time.Duration, f *fault.Error) Action {
	m.buffered.release()
	verdict := Refuse(f)
	if m.mayHaveRun {
		verdict = &Verdict{Outcome: Unknown, Fault: f}
	}
	if f.RetryAfter == 0 && isTransient(f.Kind) {
		verdict.Fault = f.RetryIn(m.options.Policy.RetryAfter)
	}
	return Action{Kind: Finish, Verdict: verdict}
}

// failsTransiently reports whether an endpoint's status says that another
// endpoint may do better.
func failsTransiently(status int32) bool {
	switch int(status) {
	case http.StatusTooManyRequests, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}
