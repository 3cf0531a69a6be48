package call

import (
	"strconv"
	"time"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/gate"
)

// AtMostOnceOptions describes one call that must run at most once.
type AtMostOnceOptions struct {
	Options
	// Workspace and Key identify the call at the control replicas. The driver sends them;
	// the machine itself does not read them.
	Workspace, Key string
	// Digest is the Digest of the request. It must match that of the claim that holds the
	// key.
	Digest []byte
	// CallerKey is true when the caller chose the key, so that an earlier request may
	// have used it.
	CallerKey bool
	// ClaimIDPrefix is the prefix of the claim ids of the call; no other call may use it.
	ClaimIDPrefix string
}

// phase is the state of an AtMostOnce.
type phase int

const (
	// picking: no claim has been requested.
	picking phase = iota
	// claiming: a claim has been requested; nothing has been dispatched under it.
	claiming
	// dispatched: the claim has been dispatched, once.
	dispatched
	// revoking: the dispatch was interrupted; its agent is asked to revoke the claim.
	revoking
	// revokingHolder: another request holds the key; its agent is asked to revoke its
	// claim.
	revokingHolder
	// settling: a record is being written.
	settling
)

// AtMostOnce drives a call that must run at most once.
//
// Invariants: a claim id is dispatched at most once, and only after a quorum has granted
// it; NotRun is reported, and recorded, only for a claim that was never dispatched, that
// its agent refused, or that its agent revoked; any other dispatched claim is Unknown
// until its agent reports the result.
type AtMostOnce struct {
	callState
	// claimOptions are the options that the claims are created from.
	claimOptions AtMostOnceOptions
	phase        phase
	// claims is the number of claim ids created; claimID is the latest.
	claims  int
	claimID string
	// refusal is why the call cannot be dispatched. While it is set, claims only look up
	// whether an earlier request has run the call.
	refusal *fault.Error
	// pollingSince is when the pending request to the control replicas or an agent was
	// first sent, and polls is how often it was repeated.
	pollingSince time.Duration
	polls        int
	// holder is the claim of another request that holds the key.
	holder *controlv1.Claim
	// awaitingRecord is true once the agent of the holder has reported that the call was
	// answered, but not the answer itself.
	awaitingRecord bool
	// settlement is the record being written.
	settlement settlement
	// verdict is set once the outcome is final.
	verdict *Verdict
}

// settlement is a record to be written, and the function that returns the action after
// it.
type settlement struct {
	claimID string
	state   controlv1.ClaimState
	answer  *controlv1.Answer
	next    func(now time.Duration) Action
}

// NewAtMostOnce returns the state machine of one call that must run at most once.
func NewAtMostOnce(o AtMostOnceOptions) *AtMostOnce {
	return &AtMostOnce{callState: newCallState(o.Options), claimOptions: o}
}

// Start starts the call.
func (m *AtMostOnce) Start(now time.Duration) Action {
	m.options.Budget.Deposit()
	if now >= m.options.Deadline {
		return m.finishNotRun(errDeadlinePassed())
	}
	return Action{Kind: Pick}
}

// Picked reports the chosen endpoint. The ticket of the target must have been received
// before this call.
func (m *AtMostOnce) Picked(now time.Duration, t Target) Action {
	m.target = t
	m.tried = append(m.tried, t.Endpoint)
	m.refusal = nil
	return m.claim(now)
}

// PickFailed reports that no endpoint can take the call.
func (m *AtMostOnce) PickFailed(now time.Duration, f *fault.Error) Action {
	if action, ok := m.waitForRateLimit(now, f); ok {
		return action
	}
	if m.lastFault == nil && m.rateLimited != nil {
		f = m.rateLimited
	}
	if m.lastFault != nil && len(m.tried) > 0 {
		m.tried = nil
		return m.retryOrRefuse(now, m.lastFault)
	}
	if !m.claimOptions.CallerKey {
		return m.finishNotRun(f)
	}
	m.refusal = f
	m.target = Target{}
	return m.claim(now)
}

// claim requests the key under a new claim id. Without a target, the claim only finds out
// whether an earlier request holds the key.
func (m *AtMostOnce) claim(now time.Duration) Action {
	if now >= m.options.Deadline {
		return m.finishNotRun(errDeadlinePassed())
	}
	m.claims++
	m.claimID = gate.ClaimID(m.claimOptions.ClaimIDPrefix+"-"+strconv.Itoa(m.claims), m.target.TicketNS)
	m.enterPhase(claiming, now)
	return m.requestClaim(0)
}

// enterPhase enters a phase and restarts its timeout and its poll count.
func (m *AtMostOnce) enterPhase(p phase, now time.Duration) {
	m.phase = p
	m.pollingSince = now
	m.polls = 0
}

func (m *AtMostOnce) requestClaim(delay time.Duration) Action {
	return Action{Kind: Claim, Delay: delay, ClaimID: m.claimID, Target: m.target}
}

// pollDelay returns the delay before the pending request is repeated. Before the deadline
// it is limited to the remaining time, so that the verdict is not delayed.
func (m *AtMostOnce) pollDelay(now time.Duration) time.Duration {
	delay := m.options.Policy.Poll.Delay(m.options.Rand, m.polls)
	m.polls++
	if left := m.options.Deadline - now; left > 0 {
		return min(delay, left)
	}
	return delay
}

// mayPoll reports whether the pending request may be repeated.
func (m *AtMostOnce) mayPoll(now, timeout time.Duration) bool {
	return now < m.options.Deadline && now-m.pollingSince < timeout
}

// Claimed reports the response to a Claim; f is set instead if there is none.
func (m *AtMostOnce) Claimed(now time.Duration, r *controlv1.ClaimResponse, f *fault.Error) Action {
	if f != nil {
		return m.claimFailed(now, f)
	}
	claim := r.GetClaim()
	granted := r.GetGranted() && claim.GetClaimId() == m.claimID
	if !granted || claim.GetState() != controlv1.ClaimState_CLAIM_STATE_GRANTED {
		return m.followHolder(now, claim)
	}
	if m.refusal != nil {
		return m.settleNotRun(now, m.refusal)
	}
	if now >= m.options.Deadline {
		return m.settleNotRun(now, errDeadlinePassed())
	}
	m.enterPhase(dispatched, now)
	m.answer.beginAttempt(m.target.Incarnation)
	return Action{Kind: Dispatch, Attempt: m.answer.attempt, Target: m.target, ClaimID: m.claimID}
}

// claimFailed continues without a grant. Nothing has been dispatched under the claim id,
// and nothing will be unless a later response grants it.
func (m *AtMostOnce) claimFailed(now time.Duration, f *fault.Error) Action {
	switch {
	case f.Kind == fault.KeyReused, f.Kind == fault.Overloaded, f.Kind == fault.Invalid:
		return m.finishNotRun(f)
	case rejectsEndpoint(f.Kind) && m.refusal != nil:
		return m.finishNotRun(m.refusal)
	case rejectsEndpoint(f.Kind):
		m.lastFault = f
		m.holder = nil
		return m.retryOrRefuse(now, f)
	case m.mayPoll(now, m.options.Policy.ClaimTimeout):
		return m.requestClaim(m.pollDelay(now))
	case m.holder != nil:
		return m.finishUnknown(errStillRunning())
	case m.refusal != nil:
		return m.finishNotRun(m.refusal)
	}
	return m.finishNotRun(fault.New(fault.NoQuorum, "no quorum of control replicas could claim the call, so it was not dispatched",
		"retry with the same idempotency key").WithCause(f))
}

// rejectsEndpoint reports whether a fault of this kind means that the control replicas
// refused the claim because of its endpoint or agent.
func rejectsEndpoint(kind fault.Kind) bool {
	switch kind {
	case fault.NotFound, fault.Stale, fault.Fenced, fault.Leaving, fault.Unavailable:
		return true
	}
	return false
}

// retryNotRun continues after proof that the claim never ran: it retries under a new
// claim or ends the call as not run.
func (m *AtMostOnce) retryNotRun(now time.Duration, f *fault.Error) Action {
	if f.Kind == fault.Fenced {
		return m.claimClosedByOther(now, f)
	}
	if f.Kind == fault.RateLimited && now < m.options.Deadline && m.claims < m.maxClaims() {
		return m.settle(now, m.claimID, controlv1.ClaimState_CLAIM_STATE_NOT_RUN, nil, func(time.Duration) Action {
			m.phase = picking
			return m.pickAnother(f)
		})
	}
	if !m.mayRetry(now) {
		return m.settleNotRun(now, f)
	}
	m.lastFault = f
	return m.settle(now, m.claimID, controlv1.ClaimState_CLAIM_STATE_NOT_RUN, nil, m.retry)
}

// claimClosedByOther continues after another request has closed this claim. By now that
// request may have run the call under the same key, which must be looked up.
func (m *AtMostOnce) claimClosedByOther(now time.Duration, f *fault.Error) Action {
	if now >= m.options.Deadline || m.claims >= m.maxClaims() {
		return m.finishUnknown(f)
	}
	return m.settle(now, m.claimID, controlv1.ClaimState_CLAIM_STATE_NOT_RUN, nil, m.pickAgain)
}

// maxClaims bounds the number of claim ids of one call.
func (m *AtMostOnce) maxClaims() int { return 2 * m.options.Policy.MaxAttempts }

// retryOrRefuse retries after a refusal, or ends the call as not run.
func (m *AtMostOnce) retryOrRefuse(now time.Duration, f *fault.Error) Action {
	if !m.mayRetry(now) {
		return m.finishNotRun(f)
	}
	return m.retry(now)
}

func (m *AtMostOnce) retry(now time.Duration) Action {
	m.phase = picking
	return Action{Kind: Pick, Delay: m.nextBackoff(), Exclude: m.tried}
}

func (m *AtMostOnce) pickAgain(now time.Duration) Action {
	m.phase = picking
	return Action{Kind: Pick}
}

// Abandon ends the call of a caller that disconnected, before action a is performed. It
// returns false once the call has been dispatched: the call then continues, so that its
// result is recorded.
func (m *AtMostOnce) Abandon(now time.Duration, a *Action) (Action, bool) {
	f := fault.New(fault.Invalid, "the caller disconnected before the call was dispatched", "retry the request")
	switch {
	case m.phase == picking:
		return m.finishNotRun(f), true
	case m.phase == claiming, a.Kind == Dispatch:
		return m.settleNotRun(now, f), true
	}
	return Action{}, false
}
