package gate

import (
	"container/list"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// claimState is the state of a remembered claim.
type claimState int

const (
	// claimClosed: the claim never ran and never will.
	claimClosed claimState = iota
	claimRunning
	claimAnswered
	// claimIncomplete: the call was sent but its answer is incomplete.
	claimIncomplete
)

// claim is the state that the gate remembers for a claim id.
type claim struct {
	id     string
	state  claimState
	ticket time.Duration
	// changedAt is when the claim entered its current state.
	changedAt time.Duration
	element   *list.Element
	answer    *recordedAnswer
}

// claims holds a bounded number of claims.
type claims struct {
	window time.Duration
	limit  int
	byID   map[string]*claim
	// byAge holds the claims by changedAt, oldest first.
	byAge   *list.List
	answers answerCache
	// floor is the ticket at or before which unknown claims are refused.
	floor time.Duration
	// horizon is the latest ticket of an evicted claim that had been started.
	horizon time.Duration
}

func newClaims(limits Limits) *claims {
	return &claims{
		window:  limits.AdmissionWindow,
		limit:   max(limits.Claims, 1),
		byID:    make(map[string]*claim),
		byAge:   list.New(),
		answers: answerCache{limit: limits.AnswerBytes, byAge: list.New()},
	}
}

// repeat returns the verdict on a repeated dispatch of a remembered claim.
func (c *claims) repeat(id string) (Verdict, bool) {
	known := c.byID[id]
	if known == nil {
		return Verdict{}, false
	}
	switch known.state {
	case claimRunning:
		return Verdict{Decision: Running}, true
	case claimAnswered:
		return Verdict{Decision: Answered, Answer: known.answer.message()}, true
	case claimIncomplete:
		return Verdict{Decision: Unknown}, true
	default:
		return Verdict{Fault: errClaimClosed()}, true
	}
}

// mayHaveEvicted reports whether a claim with this ticket may have been
// started and then evicted.
func (c *claims) mayHaveEvicted(ticket time.Duration) bool {
	return c.horizon > 0 && ticket <= c.horizon
}

// checkTicket refuses a ticket that is not within the admission window.
func (c *claims) checkTicket(now time.Duration, id string, ticket time.Duration) *fault.Error {
	if issued, ok := ticketInID(id); ok && issued != ticket {
		return errTicketMismatch()
	}
	if !within(now, ticket, c.window) {
		return errTicketOutsideWindow(c.window)
	}
	if ticket <= c.floor {
		return errClaimsFull()
	}
	return nil
}

// start remembers a new claim as running.
func (c *claims) start(now time.Duration, id string, ticket time.Duration) *fault.Error {
	if !c.makeRoom(now) {
		return errClaimsFull()
	}
	c.add(&claim{id: id, state: claimRunning, ticket: ticket, changedAt: now})
	return nil
}

// close prevents a new claim from ever being admitted. Its ticket was issued
// before now, so the admission window excludes it by the time the claim is
// evicted. If there is no room to remember the claim, the floor excludes it.
func (c *claims) close(now time.Duration, id string) {
	if !c.makeRoom(now) {
		c.floor = now
		return
	}
	c.add(&claim{id: id, state: claimClosed, ticket: now, changedAt: now})
}

// end records how a running claim ended.
func (c *claims) end(now time.Duration, id string, outcome Outcome, answer *controlv1.Answer) {
	known := c.byID[id]
	if known == nil || known.state != claimRunning {
		return
	}
	known.changedAt = now
	c.byAge.MoveToBack(known.element)
	switch outcome {
	case NotRun:
		known.state = claimClosed
	case Complete:
		known.state = claimAnswered
		known.answer = c.answers.add(answer)
	default:
		known.state = claimIncomplete
	}
}

// revoke returns the state of a claim and closes the claim if it never started.
func (c *claims) revoke(now time.Duration, id string) *agentv1.RevokeResponse {
	if known := c.byID[id]; known != nil {
		return known.response()
	}
	ticket, hasTicket := ticketInID(id)
	if !c.neverStarted(now, ticket, hasTicket) {
		return &agentv1.RevokeResponse{State: agentv1.RevokeState_REVOKE_STATE_UNKNOWN}
	}
	c.close(now, id)
	return &agentv1.RevokeResponse{State: agentv1.RevokeState_REVOKE_STATE_NOT_RUN}
}

// neverStarted reports whether a claim that is not remembered has certainly
// never started. A ticket from the future was not issued by this agent.
func (c *claims) neverStarted(now, ticket time.Duration, hasTicket bool) bool {
	if !hasTicket {
		return c.horizon == 0
	}
	return ticket <= now && !c.mayHaveEvicted(ticket)
}

func (k *claim) response() *agentv1.RevokeResponse {
	switch k.state {
	case claimClosed:
		return &agentv1.RevokeResponse{State: agentv1.RevokeState_REVOKE_STATE_NOT_RUN}
	case claimRunning:
		return &agentv1.RevokeResponse{State: agentv1.RevokeState_REVOKE_STATE_RUNNING}
	case claimAnswered:
		return &agentv1.RevokeResponse{State: agentv1.RevokeState_REVOKE_STATE_ANSWERED, Answer: k.answer.message()}
	default:
		return &agentv1.RevokeResponse{State: agentv1.RevokeState_REVOKE_STATE_UNKNOWN}
	}
}

func (c *claims) add(k *claim) {
	k.element = c.byAge.PushBack(k)
	c.byID[k.id] = k
}

// makeRoom makes room for one more claim. It reports false if every remembered
// claim is still needed.
func (c *claims) makeRoom(now time.Duration) bool {
	if len(c.byID) < c.limit {
		return true
	}
	for element := c.byAge.Front(); element != nil; element = element.Next() {
		oldest := element.Value.(*claim)
		if now-oldest.changedAt <= c.window {
			return false
		}
		if oldest.state != claimRunning {
			c.evict(oldest)
			return true
		}
	}
	return false
}

func (c *claims) evict(k *claim) {
	if k.state != claimClosed {
		c.horizon = max(c.horizon, k.ticket)
	}
	c.answers.release(k.answer)
	c.byAge.Remove(k.element)
	delete(c.byID, k.id)
}
