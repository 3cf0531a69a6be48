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
	if !m.answer.owns(r) || r.GetIncarnation() != m.answer.incarnation {
		return Action{Kind: Receive}
	}
	switch kind := r.GetKind().(type) {
	case *agentv1.DispatchResponse_Refused:
		return m.refusedByAgent(now, faultOf(kind.Refused))
	case *agentv1.DispatchResponse_Head:
		return m.head(now, kind.Head)
	case *agentv1.DispatchResponse_Chunk:
		return m.chunk(now, kind.Chunk)
	case *agentv1.DispatchResponse_End:
		return m.end(now, kind.End)
	case *agentv1.DispatchResponse_Broken:
		return m.Interrupted(now, errBroken(kind.Broken.GetMessage()), false)
	}
	return m.Interrupted(now, errBroken("the agent sent a message of an unknown kind"), false)
}

// refusedByAgent follows a refusal. After the head it is no refusal at all.
func (m *AtMostOnce) refusedByAgent(now time.Duration, f *fault.Error) Action {
	if m.answer.opened || f.Kind == fault.Unknown {
		return m.Interrupted(now, f, false)
	}
	return m.notRun(now, f)
}

func (m *AtMostOnce) head(now time.Duration, head *agentv1.Head) Action {
	m.answer.open(head)
	if !isEventStream(m.answer.head) || m.started {
		return Action{Kind: Receive}
	}
	m.started = true
	return Action{Kind: Receive, Head: m.answer.head}
}

func (m *AtMostOnce) chunk(now time.Duration, c *agentv1.Chunk) Action {
	fresh, ok := m.answer.take(c)
	if !ok {
		return m.Interrupted(now, errBroken("a part of the answer is missing"), false)
	}
	action := Action{Kind: Receive}
	if m.buffered.bytes <= m.options.Policy.MaxBufferedBytes {
		m.buffered.add(fresh)
	}
	switch {
	case m.started && len(fresh) > 0:
		action.Data = [][]byte{fresh}
	case !m.started && m.buffered.bytes > m.options.Policy.MaxBufferedBytes:
		m.started = true
		action.Head = m.answer.head
		action.Data = m.buffered.parts
	}
	return action
}

// end takes the whole answer: the caller has it at once, then it is recorded.
func (m *AtMostOnce) end(now time.Duration, end *agentv1.End) Action {
	if !m.answer.whole(end) {
		return m.Interrupted(now, errBroken("the answer ended before it was whole"), false)
	}
	record := m.record()
	head, parts := m.answer.head, m.buffered.release()
	if m.started {
		head, parts = nil, nil
	}
	m.started = true
	m.verdict = &Verdict{Outcome: Answered}
	action := m.settle(now, m.claimID, controlv1.ClaimState_CLAIM_STATE_ANSWERED, record, nil)
	action.Head, action.Data = head, parts
	return action
}

// record returns the answer as it is recorded.
func (m *AtMostOnce) record() *controlv1.Answer {
	answer := &controlv1.Answer{Status: m.answer.head.GetStatus(), Headers: m.answer.head.GetHeaders()}
	if m.answer.received > uint64(m.options.Policy.MaxRecordedBodyBytes) {
		answer.Truncated = true
		return answer
	}
	answer.Body = bytes.Join(m.buffered.parts, nil)
	return answer
}

// Cut reports that the dispatch ended without a whole answer. notRun is true
// only when it is proved that the dispatch was not sent.
func (m *AtMostOnce) Interrupted(now time.Duration, f *fault.Error, notRun bool) Action {
	m.buffered.release()
	switch {
	case m.started:
		return m.unknown(f)
	case notRun:
		return m.notRun(now, f)
	case now >= m.options.Deadline:
		return m.unknown(errStillRunning())
	}
	m.last = f
	m.begin(revoking, now)
	return m.askAgent(0, m.claimID, m.target)
}

func (m *AtMostOnce) askAgent(delay time.Duration, claimID string, t Target) Action {
	return Action{Kind: Revoke, Delay: delay, ClaimID: claimID, Target: t}
}
