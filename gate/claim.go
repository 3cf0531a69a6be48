package gate

import (
	"container/list"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// claimState is how far a remembered claim has come.
type claimState int

const (
	// claimClosed: never started and never will.
	claimClosed claimState = iota
	claimRunning
	claimAnswered
	// claimBroken: the endpoint was asked, its answer is not whole.
	claimBroken
)

// claim is what the gate remembers of a claim id.
type claim struct {
	id     string
	state  claimState
	ticket time.Duration
	// changedAt is when the claim entered its present state.
	changedAt time.Duration
	element   *list.Element
	answer    *recorded
}

// claims is the bounded memory of claim ids.
type claims struct {
	window time.Duration
	limit  int
	byID   map[string]*claim
	// order holds the claims by changedAt, oldest first.
	order   *list.List
	answers answers
	// floor: unseen tickets at or before it are refused.
	floor time.Duration
	// horizon is the latest ticket of a started claim that was forgotten.
	horizon time.Duration
}

func newClaims(limits Limits) *claims {
	return &claims{
		window:  limits.AdmissionWindow,
		limit:   max(limits.Claims, 1),
		byID:    make(map[string]*claim),
		order:   list.New(),
		answers: answers{limit: limits.AnswerBytes, order: list.New()},
	}
}

// repeat returns the verdict on a claim that is remembered.
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
	case claimBroken:
		return Verdict{Decision: Unknown}, true
	default:
		return Verdict{Fault: errClosed()}, true
	}
}

// mayHaveForgotten reports whether a claim with this ticket may have been
// started and then forgotten.
func (c *claims) mayHaveForgotten(ticket time.Duration) bool {
	return c.horizon > 0 && ticket <= c.horizon
}

// checkTicket refuses a ticket that is not within the admission window.
func (c *claims) checkTicket(now time.Duration, id string, ticket time.Duration) *fault.Error {
	if named, ok := ticketOf(id); ok && named != ticket {
		return errTicketMismatch()
	}
	if !within(now, ticket, c.window) {
		return errTicket(c.window)
	}
	if ticket <= c.floor {
		return errClaimsFull()
	}
	return nil
}

// start remembers an unseen claim as running.
func (c *claims) start(now time.Duration, id string, ticket time.Duration) *fault.Error {
	if !c.room(now) {
		return errClaimsFull()
	}
	c.add(&claim{id: id, state: claimRunning, ticket: ticket, changedAt: now})
	return nil
}

// close bars an unseen claim for good. Its ticket was issued before now, so
// the window covers it once the claim is forgotten; without room the floor does.
func (c *claims) close(now time.Duration, id string) {
	if !c.room(now) {
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
	c.order.MoveToBack(known.element)
	switch outcome {
	case NotRun:
		known.state = claimClosed
	case Complete:
		known.state = claimAnswered
		known.answer = c.answers.record(answer)
	default:
		known.state = claimBroken
	}
}

// revoke answers what became of a claim and closes it if it never started.
func (c *claims) revoke(now time.Duration, id string) *agentv1.RevokeResponse {
	if known := c.byID[id]; known != nil {
		return known.response()
	}
	ticket, named := ticketOf(id)
	if !c.neverStarted(now, ticket, named) {
		return &agentv1.RevokeResponse{State: agentv1.RevokeState_REVOKE_STATE_UNKNOWN}
	}
	c.close(now, id)
	return &agentv1.RevokeResponse{State: agentv1.RevokeState_REVOKE_STATE_NOT_RUN}
}

// neverStarted reports whether an unseen claim is sure never to have started. A
// ticket of the future was not issued by this agent.
func (c *claims) neverStarted(now, ticket time.Duration, named bool) bool {
	if !named {
		return c.horizon == 0
	}
	return ticket <= now && !c.mayHaveForgotten(ticket)
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
	k.element = c.order.PushBack(k)
	c.byID[k.id] = k
}

// room makes room for one more claim; it reports false if every remembered
// claim is still needed.
func (c *claims) room(now time.Duration) bool {
	if len(c.byID) < c.limit {
		return true
	}
	for element := c.order.Front(); element != nil; element = element.Next() {
		oldest := element.Value.(*claim)
		if now-oldest.changedAt <= c.window {
			return false
		}
		if oldest.state != claimRunning {
			c.forget(oldest)
			return true
		}
	}
	return false
}

func (c *claims) forget(k *claim) {
	if k.state != claimClosed {
		c.horizon = max(c.horizon, k.ticket)
	}
	c.answers.drop(k.answer)
	c.order.Remove(k.element)
	delete(c.byID, k.id)
}
