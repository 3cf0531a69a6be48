package call

import (
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// followHolder continues according to the claim of another request that holds the key.
func (m *AtMostOnce) followHolder(now time.Duration, c *controlv1.Claim) Action {
	if string(c.GetDigest()) != string(m.claimOptions.Digest) {
		return m.finishNotRun(fault.New(fault.KeyReused, "the idempotency key belongs to a request with another method, path or body",
			"use a new idempotency key for a new request"))
	}
	switch c.GetState() {
	case controlv1.ClaimState_CLAIM_STATE_ANSWERED:
		return m.replayAnswer(c.GetAnswer())
	case controlv1.ClaimState_CLAIM_STATE_UNKNOWN:
		return m.finishUnknown(errAnswerLost())
	case controlv1.ClaimState_CLAIM_STATE_NOT_RUN:
		if m.claims >= m.maxClaims() {
			return m.finishNotRun(errKeyContended())
		}
		return m.claimAgain(now)
	}
	return m.awaitHolder(now, c)
}

// awaitHolder polls until the holder has ended, and after RevokeAfter asks the agent of
// the holder.
func (m *AtMostOnce) awaitHolder(now time.Duration, c *controlv1.Claim) Action {
	if now >= m.options.Deadline {
		return m.finishUnknown(errStillRunning())
	}
	if m.holder.GetClaimId() != c.GetClaimId() {
		m.holder = c
		m.awaitingRecord = false
		m.pollingSince = now
		m.polls = 0
	}
	if now-m.pollingSince < m.options.Policy.RevokeAfter {
		return m.requestClaim(m.pollDelay(now))
	}
	if c.GetAgentAddr() == "" {
		// A claim without an agent is only a lookup of the key; nothing can run it.
		return m.settle(now, c.GetClaimId(), controlv1.ClaimState_CLAIM_STATE_NOT_RUN, nil, m.claimAgain)
	}
	m.enterPhase(revokingHolder, now)
	return m.askRevoke(0, c.GetClaimId(), holderTarget(c))
}

func holderTarget(c *controlv1.Claim) Target {
	return Target{
		Endpoint:    c.GetEndpoint(),
		Agent:       c.GetAgent(),
		AgentAddr:   c.GetAgentAddr(),
		Incarnation: c.GetIncarnation(),
	}
}

// claimAgain requests the key again. If the call is only being looked up, no endpoint is
// needed.
func (m *AtMostOnce) claimAgain(now time.Duration) Action {
	m.holder = nil
	if m.refusal != nil {
		return m.claim(now)
	}
	return m.pickAgain(now)
}

// Revoked reports the response of an agent to a Revoke; f is set instead if there is
// none.
func (m *AtMostOnce) Revoked(now time.Duration, r *agentv1.RevokeResponse, f *fault.Error) Action {
	if f != nil {
		return m.revokeFailed(now)
	}
	if m.phase == revokingHolder {
		return m.holderRevoked(now, r)
	}
	switch r.GetState() {
	case agentv1.RevokeState_REVOKE_STATE_NOT_RUN:
		return m.retryNotRun(now, m.lastFault)
	case agentv1.RevokeState_REVOKE_STATE_ANSWERED:
		return m.deliverKeptAnswer(now, m.claimID, r.GetAnswer())
	case agentv1.RevokeState_REVOKE_STATE_RUNNING:
		if now >= m.options.Deadline {
			return m.finishUnknown(errStillRunning())
		}
		m.pollingSince = now
		return m.askRevoke(m.pollDelay(now), m.claimID, m.target)
	}
	return m.recordUnknown(now, m.claimID)
}

// holderRevoked continues after the agent of the holder has responded.
func (m *AtMostOnce) holderRevoked(now time.Duration, r *agentv1.RevokeResponse) Action {
	id := m.holder.GetClaimId()
	switch r.GetState() {
	case agentv1.RevokeState_REVOKE_STATE_NOT_RUN:
		return m.settle(now, id, controlv1.ClaimState_CLAIM_STATE_NOT_RUN, nil, m.claimAgain)
	case agentv1.RevokeState_REVOKE_STATE_ANSWERED:
		if r.GetAnswer() == nil || r.GetAnswer().GetTruncated() {
			return m.waitForRecord(now, id, r.GetAnswer())
		}
		return m.deliverKeptAnswer(now, id, r.GetAnswer())
	case agentv1.RevokeState_REVOKE_STATE_RUNNING:
		m.enterPhase(claiming, now)
		return m.requestClaim(m.pollDelay(now))
	}
	return m.recordUnknown(now, id)
}

// waitForRecord gives the holder time to record an answer that its agent has not kept.
func (m *AtMostOnce) waitForRecord(now time.Duration, id string, a *controlv1.Answer) Action {
	if m.awaitingRecord {
		return m.deliverKeptAnswer(now, id, a)
	}
	m.awaitingRecord = true
	m.enterPhase(claiming, now)
	return m.requestClaim(m.pollDelay(now))
}

// revokeFailed asks the agent again. Once the deadline or RevokeTimeout has passed, it ends
// the call as Unknown without a record, so that a later request under the key can still ask
// the agent.
func (m *AtMostOnce) revokeFailed(now time.Duration) Action {
	if !m.mayPoll(now, m.options.Policy.RevokeTimeout) {
		return m.finishUnknown(errAgentUnreachable())
	}
	if m.phase == revokingHolder {
		return m.askRevoke(m.pollDelay(now), m.holder.GetClaimId(), holderTarget(m.holder))
	}
	return m.askRevoke(m.pollDelay(now), m.claimID, m.target)
}

// deliverKeptAnswer delivers and records the answer that an agent has kept.
func (m *AtMostOnce) deliverKeptAnswer(now time.Duration, id string, a *controlv1.Answer) Action {
	delivery := m.replayAnswer(a)
	if a == nil {
		a = &controlv1.Answer{Truncated: true}
	}
	action := m.settle(now, id, controlv1.ClaimState_CLAIM_STATE_ANSWERED, a, nil)
	action.Head, action.Data = delivery.Head, delivery.Data
	return action
}

// recordUnknown ends the call as Unknown and records that it can no longer be determined
// whether the claim ran.
func (m *AtMostOnce) recordUnknown(now time.Duration, id string) Action {
	m.finishUnknown(errAnswerLost())
	return m.settle(now, id, controlv1.ClaimState_CLAIM_STATE_UNKNOWN, nil, nil)
}

// replayAnswer delivers a recorded answer.
func (m *AtMostOnce) replayAnswer(a *controlv1.Answer) Action {
	if a == nil || a.GetTruncated() {
		return m.finishUnknown(fault.Newf(fault.Unknown, "query the service for the result; do not send the request under a new key",
			"the call ran and was answered with status %d, but the response was too large to be kept", a.GetStatus()))
	}
	m.verdict = &Verdict{Outcome: Answered, Replayed: true}
	m.headSent = true
	action := Action{Kind: Finish, Verdict: m.verdict, Head: &agentv1.Head{Status: a.GetStatus(), Headers: a.GetHeaders()}}
	if len(a.GetBody()) > 0 {
		action.Data = [][]byte{a.GetBody()}
	}
	return action
}

// settle records how a claim ended. If there is a verdict, the caller gets it before the
// record is written. next returns the action after the record; if it is nil, the call
// finishes.
func (m *AtMostOnce) settle(now time.Duration, id string, state controlv1.ClaimState, a *controlv1.Answer, next func(time.Duration) Action) Action {
	m.enterPhase(settling, now)
	m.settlement = settlement{claimID: id, state: state, answer: a, next: next}
	return m.writeRecord(0)
}

func (m *AtMostOnce) writeRecord(delay time.Duration) Action {
	return Action{
		Kind:    Settle,
		Delay:   delay,
		Verdict: m.verdict,
		ClaimID: m.settlement.claimID,
		State:   m.settlement.state,
		Answer:  m.settlement.answer,
	}
}

// settleNotRun ends the call as not run and releases the key.
func (m *AtMostOnce) settleNotRun(now time.Duration, f *fault.Error) Action {
	m.finishNotRun(f)
	return m.settle(now, m.claimID, controlv1.ClaimState_CLAIM_STATE_NOT_RUN, nil, nil)
}

// Settled reports that a record was written; f is set if it was not.
func (m *AtMostOnce) Settled(now time.Duration, f *fault.Error) Action {
	if f != nil && f.Kind == fault.NotFound {
		// The claim was never granted, or has been evicted.
		f = nil
	}
	retry := f != nil && isTransient(f.Kind) && now-m.pollingSince < m.options.Policy.SettleTimeout
	if m.settlement.next == nil {
		if retry {
			return m.writeRecord(m.pollDelay(now))
		}
		return Action{Kind: Finish, Verdict: m.verdict}
	}
	if f == nil {
		return m.settlement.next(now)
	}
	if retry && now < m.options.Deadline {
		return m.writeRecord(m.pollDelay(now))
	}
	if m.holder != nil {
		return m.finishUnknown(errStillRunning())
	}
	return m.finishNotRun(fault.New(fault.NoQuorum, "the call was refused and not run, and its claim could not be released",
		"retry with the same idempotency key").WithCause(f))
}

// finishNotRun ends the call as not run.
func (m *AtMostOnce) finishNotRun(f *fault.Error) Action {
	if f.RetryAfter == 0 && isTransient(f.Kind) {
		f = f.RetryIn(m.options.Policy.RetryAfter)
	}
	if m.claimOptions.CallerKey && f.Kind != fault.KeyReused {
		f = WithKeepKeyAdvice(f)
	}
	m.verdict = Refuse(f)
	return Action{Kind: Finish, Verdict: m.verdict}
}

// finishUnknown ends the call as one that may have run.
func (m *AtMostOnce) finishUnknown(f *fault.Error) Action {
	m.verdict = &Verdict{Outcome: Unknown, Fault: f}
	return Action{Kind: Finish, Verdict: m.verdict}
}

func errAnswerLost() *fault.Error {
	return fault.New(fault.Unknown, "the call may have run, and its response is lost; it will not be run again",
		"query the service for the result before sending the request under a new key")
}

func errStillRunning() *fault.Error {
	return fault.New(fault.Unknown, "the deadline passed while the call may still be running",
		"retry with the same idempotency key to get its response").RetryIn(DefaultRetryAfter)
}

func errAgentUnreachable() *fault.Error {
	return fault.New(fault.Unknown, "the call may have run, and the agent that knows its result is unreachable",
		"retry with the same idempotency key to get its response").RetryIn(DefaultRetryAfter)
}

func errKeyContended() *fault.Error {
	return fault.New(fault.Conflict, "several concurrent requests with this idempotency key superseded each other's claims",
		"send one request at a time under a key, and retry this one").RetryIn(DefaultRetryAfter)
}

// WithKeepKeyAdvice returns a copy of a refusal whose remedy advises keeping the
// idempotency key, since the refusal applies to this request only. Even a key that was
// found free may be claimed by another request while that response is in transit.
func WithKeepKeyAdvice(f *fault.Error) *fault.Error {
	copied := *f
	copied.Remedy += "; keep the idempotency key, because an earlier request with it may have another outcome"
	return &copied
}
