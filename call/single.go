package call

import (
	"strconv"
	"time"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/gate"
)

// SingleOptions describe one call that must run at most once.
type SingleOptions struct {
	Options
	// Workspace and Key identify the call at the control replicas. The driver
	// sends them; the machine itself does not read them.
	Workspace, Key string
	// Digest is the Digest of the request, which the holder of the key must match.
	Digest []byte
	// CallerKey is true when the caller chose the key, so that an earlier
	// request may have used it.
	CallerKey bool
	// Unique is the prefix of the call's claim ids; no other call may use it.
	Unique string
}

// phase is what a Single is doing.
type phase int

const (
	// picking: no claim is asked for.
	picking phase = iota
	// claiming: a claim is asked for; nothing has been dispatched under it.
	claiming
	// dispatched: the claim has been dispatched, once.
	dispatched
	// revoking: the dispatch was cut; its agent is asked.
	revoking
	// revokingHolder: another request holds the key; its agent is asked.
	revokingHolder
	// settling: a record is being written.
	settling
)

// Single drives a call that must run at most once.
//
// Invariants: a claim id is dispatched at most once, and only after a quorum
// has granted it; NotRun is said, and recorded, only of a claim that was never
// dispatched, that its agent refused, or that its agent revoked; whatever else
// became of a dispatched claim is Unknown until its agent tells.
type Single struct {
	progress
	// claimant is what the call's claims are made from.
	claimant SingleOptions
	phase    phase
	// claims counts the claim ids made; claimID is the latest.
	claims  int
	claimID string
	// refusal is why the call cannot be dispatched, while it is only being
	// looked up whether an earlier request has run it.
	refusal *fault.Error
	// since is when the present question was first asked, polls how often it was
	// asked again.
	since time.Duration
	polls int
	// holder is the claim of another request that holds the key.
	holder *controlv1.Claim
	// awaitingRecord is true once the holder's agent has said that the call was
	// answered, but not what the answer was.
	awaitingRecord bool
	// settlement is what is being recorded.
	settlement settlement
	// verdict is set once the outcome is final.
	verdict *Verdict
}

// settlement is a record to be written and what follows.
type settlement struct {
	claimID string
	state   controlv1.ClaimState
	answer  *controlv1.Answer
	next    func(now time.Duration) Action
}

// NewSingle returns the machine of one call that must run at most once.
func NewSingle(o SingleOptions) *Single {
	return &Single{progress: newProgress(o.Options), claimant: o}
}

// Start begins the call.
func (m *Single) Start(now time.Duration) Action {
	m.options.Budget.Deposit()
	if now >= m.options.Deadline {
		return m.refuse(errDeadline())
	}
	return Action{Kind: Pick}
}

// Picked reports the endpoint that was chosen. The target's ticket must have
// been received before this call.
func (m *Single) Picked(now time.Duration, t Target) Action {
	m.target = t
	m.tried = append(m.tried, t.Endpoint)
	m.refusal = nil
	return m.claim(now)
}

// PickFailed reports that no endpoint can take the call.
func (m *Single) PickFailed(now time.Duration, f *fault.Error) Action {
	if action, ok := m.awaitOpening(now, f); ok {
		return action
	}
	if m.last == nil && m.limited != nil {
		f = m.limited
	}
	if m.last != nil && len(m.tried) > 0 {
		m.tried = nil
		return m.retryOrEnd(now, m.last)
	}
	if !m.claimant.CallerKey {
		return m.refuse(f)
	}
	m.refusal = f
	m.target = Target{}
	return m.claim(now)
}

// claim asks for the key under a new claim id. Without a target the claim only
// finds out whether an earlier request holds the key.
func (m *Single) claim(now time.Duration) Action {
	if now >= m.options.Deadline {
		return m.refuse(errDeadline())
	}
	m.claims++
	m.claimID = gate.ClaimID(m.claimant.Unique+"-"+strconv.Itoa(m.claims), m.target.TicketNS)
	m.begin(claiming, now)
	return m.askClaim(0)
}

// begin enters a phase and starts its timeout and its polls anew.
func (m *Single) begin(p phase, now time.Duration) {
	m.phase = p
	m.since = now
	m.polls = 0
}

func (m *Single) askClaim(delay time.Duration) Action {
	return Action{Kind: Claim, Delay: delay, ClaimID: m.claimID, Target: m.target}
}

// pollDelay returns the wait before the present question is asked again. Before
// the deadline it ends there at the latest, so that the verdict is not held back.
func (m *Single) pollDelay(now time.Duration) time.Duration {
	delay := m.options.Policy.Poll.Delay(m.options.Rand, m.polls)
	m.polls++
	if left := m.options.Deadline - now; left > 0 {
		return min(delay, left)
	}
	return delay
}

// mayPoll reports whether the present question may be asked again.
func (m *Single) mayPoll(now, timeout time.Duration) bool {
	return now < m.options.Deadline && now-m.since < timeout
}

// Claimed reports the answer to a Claim; f is set instead when there is none.
func (m *Single) Claimed(now time.Duration, r *controlv1.ClaimResponse, f *fault.Error) Action {
	if f != nil {
		return m.claimFailed(now, f)
	}
	held := r.GetClaim()
	mine := r.GetGranted() && held.GetClaimId() == m.claimID
	if !mine || held.GetState() != controlv1.ClaimState_CLAIM_STATE_GRANTED {
		return m.follow(now, held)
	}
	if m.refusal != nil {
		return m.settleNotRun(now, m.refusal)
	}
	if now >= m.options.Deadline {
		return m.settleNotRun(now, errDeadline())
	}
	m.begin(dispatched, now)
	m.answer.begin(m.target.Incarnation)
	return Action{Kind: Dispatch, Attempt: m.answer.attempt, Target: m.target, ClaimID: m.claimID}
}

// claimFailed goes on without a grant. Nothing has been dispatched under the
// claim id, and nothing will be unless a later answer grants it.
func (m *Single) claimFailed(now time.Duration, f *fault.Error) Action {
	switch {
	case f.Kind == fault.KeyReused, f.Kind == fault.Overloaded, f.Kind == fault.Invalid:
		return m.refuse(f)
	case isDecision(f.Kind) && m.refusal != nil:
		return m.refuse(m.refusal)
	case isDecision(f.Kind):
		m.last = f
		m.holder = nil
		return m.retryOrEnd(now, f)
	case m.mayPoll(now, m.options.Policy.ClaimTimeout):
		return m.askClaim(m.pollDelay(now))
	case m.holder != nil:
		return m.unknown(errStillRunning())
	case m.refusal != nil:
		return m.refuse(m.refusal)
	}
	return m.refuse(fault.New(fault.NoQuorum, "no quorum of control replicas could claim the call, so it was not dispatched",
		"ask again with the same idempotency key").WithCause(f))
}

// isDecision reports whether a replica that decides found the endpoint not fit
// for a claim.
func isDecision(kind fault.Kind) bool {
	switch kind {
	case fault.NotFound, fault.Stale, fault.Fenced, fault.Leaving, fault.Unavailable:
		return true
	}
	return false
}

// notRun follows the proof that the claim never ran: try again under a new
// claim, or say so.
func (m *Single) notRun(now time.Duration, f *fault.Error) Action {
	if f.Kind == fault.Fenced {
		return m.closedByOther(now, f)
	}
	if f.Kind == fault.RateLimited && now < m.options.Deadline && m.claims < m.maxClaims() {
		return m.settle(now, m.claimID, controlv1.ClaimState_CLAIM_STATE_NOT_RUN, nil, func(time.Duration) Action {
			m.phase = picking
			return m.passOver(f)
		})
	}
	if !m.mayRetry(now) {
		return m.settleNotRun(now, f)
	}
	m.last = f
	return m.settle(now, m.claimID, controlv1.ClaimState_CLAIM_STATE_NOT_RUN, nil, m.retry)
}

// closedByOther follows the news that another request has closed this claim: the
// key may by now stand for a run of that request, which must be looked up.
func (m *Single) closedByOther(now time.Duration, f *fault.Error) Action {
	if now >= m.options.Deadline || m.claims >= m.maxClaims() {
		return m.unknown(f)
	}
	return m.settle(now, m.claimID, controlv1.ClaimState_CLAIM_STATE_NOT_RUN, nil, m.pickAnew)
}

// maxClaims bounds the claim ids of one call.
func (m *Single) maxClaims() int { return 2 * m.options.Policy.MaxAttempts }

// retryOrEnd retries after a refusal, or gives the call up.
func (m *Single) retryOrEnd(now time.Duration, f *fault.Error) Action {
	if !m.mayRetry(now) {
		return m.refuse(f)
	}
	return m.retry(now)
}

func (m *Single) retry(now time.Duration) Action {
	m.phase = picking
	return Action{Kind: Pick, Delay: m.nextBackoff(), Exclude: m.tried}
}

func (m *Single) pickAnew(now time.Duration) Action {
	m.phase = picking
	return Action{Kind: Pick}
}

// Abandon ends the call for a caller that left, before action a is carried out.
// It returns false once the call has been dispatched: then it goes on, so that
// its end is recorded.
func (m *Single) Abandon(now time.Duration, a *Action) (Action, bool) {
	gone := fault.New(fault.Invalid, "the caller left before the call was dispatched", "send the request again")
	switch {
	case m.phase == picking:
		return m.refuse(gone), true
	case m.phase == claiming, a.Kind == Dispatch:
		return m.settleNotRun(now, gone), true
	}
	return Action{}, false
}
