package call

import (
	"bytes"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// Response reports a message of the dispatch.
func (m *AtMostOnce) Response(now time.Duration, r *agentv1.DispatchResponse) Action {
	if !m.answer.isCurrent(r) || r.GetIncarnation() != m.answer.incarnation {
		return Action{Kind: Receive}
	}
	switch kind := r.GetKind().(type) {
	case *agentv1.DispatchResponse_Refused:
		return m.refusedByAgent(now, faultFromRefusal(kind.Refused))
	case *agentv1.DispatchResponse_Head:
		return m.head(now, kind.Head)
	case *agentv1.DispatchResponse_Chunk:
		return m.chunk(now, kind.Chunk)
	case *agentv1.DispatchResponse_End:
		return m.end(now, kind.End)
	case *agentv1.DispatchResponse_Broken:
		return m.Interrupted(now, errIncomplete(kind.Broken.GetMessage()), false)
	}
	return m.Interrupted(now, errIncomplete("the agent sent a message of an unknown kind"), false)
}

// refusedByAgent handles a refusal. One that comes after the head, or whose outcome is
// unknown, does not prove that the call was not run.
func (m *AtMostOnce) refusedByAgent(now time.Duration, f *fault.Error) Action {
	if m.answer.headReceived || f.Kind == fault.Unknown {
		return m.Interrupted(now, f, false)
	}
	return m.retryNotRun(now, f)
}

func (m *AtMostOnce) head(now time.Duration, head *agentv1.Head) Action {
	m.answer.open(head)
	if !isEventStream(m.answer.head) || m.headSent {
		return Action{Kind: Receive}
	}
	m.headSent = true
	return Action{Kind: Receive, Head: m.answer.head}
}

func (m *AtMostOnce) chunk(now time.Duration, c *agentv1.Chunk) Action {
	fresh, ok := m.answer.take(c)
	if !ok {
		return m.Interrupted(now, errIncomplete("part of the body is missing"), false)
	}
	action := Action{Kind: Receive}
	if m.buffer.bytes <= m.options.Policy.MaxBufferedBytes {
		m.buffer.add(fresh)
	}
	switch {
	case m.headSent && len(fresh) > 0:
		action.Data = [][]byte{fresh}
	case !m.headSent && m.buffer.bytes > m.options.Policy.MaxBufferedBytes:
		m.headSent = true
		action.Head = m.answer.head
		action.Data = m.buffer.parts
	}
	return action
}

// end handles the end of the answer: it is delivered to the caller at once and then
// recorded.
func (m *AtMostOnce) end(now time.Duration, end *agentv1.End) Action {
	if !m.answer.isComplete(end) {
		return m.Interrupted(now, errIncomplete("it ended before its full length"), false)
	}
	record := m.answerRecord()
	head, parts := m.answer.head, m.buffer.drain()
	if m.headSent {
		head, parts = nil, nil
	}
	m.headSent = true
	m.verdict = &Verdict{Outcome: Answered}
	action := m.settle(now, m.claimID, controlv1.ClaimState_CLAIM_STATE_ANSWERED, record, nil)
	action.Head, action.Data = head, parts
	return action
}

// answerRecord returns the answer in the form in which it is recorded.
func (m *AtMostOnce) answerRecord() *controlv1.Answer {
	answer := &controlv1.Answer{Status: m.answer.head.GetStatus(), Headers: m.answer.head.GetHeaders()}
	if m.answer.received > uint64(m.options.Policy.MaxRecordedBodyBytes) {
		answer.Truncated = true
		return answer
	}
	answer.Body = bytes.Join(m.buffer.parts, nil)
	return answer
}

// Interrupted reports that the dispatch ended without a complete answer. notRun is true
// only if it is proved that the dispatch was not sent.
func (m *AtMostOnce) Interrupted(now time.Duration, f *fault.Error, notRun bool) Action {
	m.buffer.drain()
	switch {
	case m.headSent:
		return m.finishUnknown(f)
	case notRun:
		return m.retryNotRun(now, f)
	case now >= m.options.Deadline:
		return m.finishUnknown(errStillRunning())
	}
	m.lastFault = f
	m.enterPhase(revoking, now)
	return m.askRevoke(0, m.claimID, m.target)
}

func (m *AtMostOnce) askRevoke(delay time.Duration, claimID string, t Target) Action {
	return Action{Kind: Revoke, Delay: delay, ClaimID: claimID, Target: t}
}
