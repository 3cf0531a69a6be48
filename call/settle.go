package call

import (
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// follow takes up the claim of another request that holds the key.
func (m *Single) follow(now time.Duration, c *controlv1.Claim) Action {
	if string(c.GetDigest()) != string(m.claimant.Digest) {
		return m.refuse(fault.New(fault.KeyReused, "the idempotency key belongs to a request with another method, path or body",
			"use a new idempotency key for a new request"))
	}
	switch c.GetState() {
	case controlv1.ClaimState_CLAIM_STATE_ANSWERED:
		return m.replay(c.GetAnswer())
	case controlv1.ClaimState_CLAIM_STATE_UNKNOWN:
		return m.unknown(errLost())
	case controlv1.ClaimState_CLAIM_STATE_NOT_RUN:
		if m.claims >= m.maxClaims() {
			return m.refuse(errContended())
		}
		return m.reclaim(now)
	}
	return m.awaitHolder(now, c)
}

// awaitHolder polls until the holder has ended, and after RevokeAfter asks the
// holder's agent.
func (m *Single) awaitHolder(now time.Duration, c *controlv1.Claim) Action {
	if now >= m.options.Deadline {
		return m.unknown(errStillRunning())
	}
	if m.holder.GetClaimId() != c.GetClaimId() {
		m.holder = c
		m.awaitingRecord = false
		m.since = now
		m.polls = 0
	}
	if now-m.since < m.options.Policy.RevokeAfter {
		return m.askClaim(m.pollDelay(now))
	}
	if c.GetAgentAddr() == "" {
		// A claim without an agent only looks the key up; nothing can run it.
		return m.settle(now, c.GetClaimId(), controlv1.ClaimState_CLAIM_STATE_NOT_RUN, nil, m.reclaim)
	}
	m.begin(revokingHolder, now)
	return m.askAgent(0, c.GetClaimId(), holderTarget(c))
}

func holderTarget(c *controlv1.Claim) Target {
	return Target{
		Endpoint:    c.GetEndpoint(),
		Agent:       c.GetAgent(),
		AgentAddr:   c.GetAgentAddr(),
		Incarnation: c.GetIncarnation(),
	}
}

// reclaim asks for the key anew. A call that was only looked up needs no
// endpoint.
func (m *Single) reclaim(now time.Duration) Action {
	m.holder = nil
	if m.refusal != nil {
		return m.claim(now)
	}
	return m.pickAnew(now)
}

// Revoked reports the answer of an agent that was asked about a claim; f is set
// instead when there is none.
func (m *Single) Revoked(now time.Duration, r *agentv1.RevokeResponse, f *fault.Error) Action {
	if f != nil {
		return m.revokeFailed(now)
	}
	if m.phase == revokingHolder {
		return m.holderRevoked(now, r)
	}
	switch r.GetState() {
	case agentv1.RevokeState_REVOKE_STATE_NOT_RUN:
		return m.notRun(now, m.last)
	case agentv1.RevokeState_REVOKE_STATE_ANSWERED:
		return m.adopt(now, m.claimID, r.GetAnswer())
	case agentv1.RevokeState_REVOKE_STATE_RUNNING:
		if now >= m.options.Deadline {
			return m.unknown(errStillRunning())
		}
		m.since = now
		return m.askAgent(m.pollDelay(now), m.claimID, m.target)
	}
	return m.lost(now, m.claimID)
}

// holderRevoked goes on after the agent of the holder has answered.
func (m *Single) holderRevoked(now time.Duration, r *agentv1.RevokeResponse) Action {
	id := m.holder.GetClaimId()
	switch r.GetState() {
	case agentv1.RevokeState_REVOKE_STATE_NOT_RUN:
		return m.settle(now, id, controlv1.ClaimState_CLAIM_STATE_NOT_RUN, nil, m.reclaim)
	case agentv1.RevokeState_REVOKE_STATE_ANSWERED:
		if r.GetAnswer() == nil || r.GetAnswer().GetTruncated() {
			return m.waitForRecord(now, id, r.GetAnswer())
		}
		return m.adopt(now, id, r.GetAnswer())
	case agentv1.RevokeState_REVOKE_STATE_RUNNING:
		m.begin(claiming, now)
		return m.askClaim(m.pollDelay(now))
	}
	return m.lost(now, id)
}

// waitForRecord gives the holder time to record what its agent did not keep.
func (m *Single) waitForRecord(now time.Duration, id string, a *controlv1.Answer) Action {
	if m.awaitingRecord {
		return m.adopt(now, id, a)
	}
	m.awaitingRecord = true
	m.begin(claiming, now)
	return m.askClaim(m.pollDelay(now))
}

// revokeFailed asks the agent again, or leaves the question to a later request.
func (m *Single) revokeFailed(now time.Duration) Action {
	if !m.mayPoll(now, m.options.Policy.RevokeTimeout) {
		return m.unknown(errNoAgent())
	}
	if m.phase == revokingHolder {
		return m.askAgent(m.pollDelay(now), m.holder.GetClaimId(), holderTarget(m.holder))
	}
	return m.askAgent(m.pollDelay(now), m.claimID, m.target)
}

// adopt delivers and records the answer that an agent kept.
func (m *Single) adopt(now time.Duration, id string, a *controlv1.Answer) Action {
	delivery := m.replay(a)
	if a == nil {
		a = &controlv1.Answer{Truncated: true}
	}
	action := m.settle(now, id, controlv1.ClaimState_CLAIM_STATE_ANSWERED, a, nil)
	action.Head, action.Data = delivery.Head, delivery.Data
	return action
}

// lost says and records that nobody can know whether the claim ran.
func (m *Single) lost(now time.Duration, id string) Action {
	m.unknown(errLost())
	return m.settle(now, id, controlv1.ClaimState_CLAIM_STATE_UNKNOWN, nil, nil)
}

// replay delivers a recorded answer.
func (m *Single) replay(a *controlv1.Answer) Action {
	if a == nil || a.GetTruncated() {
		return m.unknown(fault.Newf(fault.Unknown, "read the result back from the service; do not send the request under a new key",
			"the call ran and was answered with status %d, but the answer was too large to be kept", a.GetStatus()))
	}
	m.verdict = &Verdict{Outcome: Answered, Replayed: true}
	m.started = true
	action := Action{Kind: Finish, Verdict: m.verdict, Head: &agentv1.Head{Status: a.GetStatus(), Headers: a.GetHeaders()}}
	if len(a.GetBody()) > 0 {
		action.Data = [][]byte{a.GetBody()}
	}
	return action
}

// settle records how a claim ended. With a verdict the caller is told first;
// next follows the record, Finish if nil.
func (m *Single) settle(now time.Duration, id string, state controlv1.ClaimState, a *controlv1.Answer, next func(time.Duration) Action) Action {
	m.begin(settling, now)
	m.settlement = settlement{claimID: id, state: state, answer: a, next: next}
	return m.writeRecord(0)
}

func (m *Single) writeRecord(delay time.Duration) Action {
	return Action{
		Kind:    Settle,
		Delay:   delay,
		Verdict: m.verdict,
		ClaimID: m.settlement.claimID,
		State:   m.settlement.state,
		Answer:  m.settlement.answer,
	}
}

// settleNotRun says that the call has not run and frees the key.
func (m *Single) settleNotRun(now time.Duration, f *fault.Error) Action {
	m.refuse(f)
	return m.settle(now, m.claimID, controlv1.ClaimState_CLAIM_STATE_NOT_RUN, nil, nil)
}

// Settled reports that a record was written; f is set when it was not.
func (m *Single) Settled(now time.Duration, f *fault.Error) Action {
	if f != nil && f.Kind == fault.NotFound {
		// The claim was never granted, or has been forgotten.
		f = nil
	}
	retry := f != nil && isTransient(f.Kind) && now-m.since < m.options.Policy.SettleTimeout
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
		return m.unknown(errStillRunning())
	}
	return m.refuse(fault.New(fault.NoQuorum, "the call was refused and not run, and its claim could not be given back",
		"ask again with the same idempotency key").WithCause(f))
}

// refuse ends the call as not run.
func (m *Single) refuse(f *fault.Error) Action {
	if f.RetryAfter == 0 && isTransient(f.Kind) {
		f = f.RetryIn(m.options.Policy.RetryAfter)
	}
	if m.claimant.CallerKey && f.Kind != fault.KeyReused {
		f = KeepKey(f)
	}
	m.verdict = Refuse(f)
	return Action{Kind: Finish, Verdict: m.verdict}
}

// unknown ends the call as one that may have run.
func (m *Single) unknown(f *fault.Error) Action {
	m.verdict = &Verdict{Outcome: Unknown, Fault: f}
	return Action{Kind: Finish, Verdict: m.verdict}
}

func errLost() *fault.Error {
	return fault.New(fault.Unknown, "the call may have run, and its answer is lost; it will not be run again",
		"read the result back from the service before sending the request under a new key")
}

func errStillRunning() *fault.Error {
	return fault.New(fault.Unknown, "the deadline passed while the call may be running",
		"ask again with the same idempotency key to get its answer").RetryIn(DefaultRetryAfter)
}

func errNoAgent() *fault.Error {
	return fault.New(fault.Unknown, "the call may have run, and the agent that knows cannot be reached",
		"ask again with the same idempotency key to get its answer").RetryIn(DefaultRetryAfter)
}

func errContended() *fault.Error {
	return fault.New(fault.Conflict, "several requests with this idempotency key displaced each other",
		"send one request at a time under a key, and this one again").RetryIn(DefaultRetryAfter)
}

// KeepKey returns a copy of a refusal whose remedy adds that it speaks of this
// request only. Even a key that was found free may be taken by another request
// while the answer that it was free is on its way.
func KeepKey(f *fault.Error) *fault.Error {
	copied := *f
	copied.Remedy += "; keep the idempotency key: an earlier request with it keeps its own outcome"
	return &copied
}
