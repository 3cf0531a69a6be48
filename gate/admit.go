package gate

import (
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// Times after which a refused sender may retry.
const (
	retryAfterStale         = 500 * time.Millisecond
	retryAfterOverloaded    = 100 * time.Millisecond
	retryAfterNotConfigured = time.Second
)

// Decision is the gate's decision on a dispatch.
type Decision int

const (
	// Refuse: the dispatch must not be sent to the endpoint, nor may the same
	// claim be later.
	Refuse Decision = iota
	// Admit: send the dispatch to the endpoint once, then call Finish.
	Admit
	// Running: the claim was admitted before and has not ended; wait for its end.
	Running
	// Answered: the claim was admitted before; deliver the recorded answer.
	Answered
	// Unknown: the claim may have run before; its outcome is not known.
	Unknown
)

// Verdict is a decision on a dispatch with its details.
type Verdict struct {
	// Decision is Refuse in the zero value.
	Decision Decision
	// Fault is the reason, when Decision is Refuse.
	Fault *fault.Error
	// Answer is the recorded answer, when Decision is Answered.
	Answer *controlv1.Answer
}

// Admit decides on a dispatch that arrives at now. After the decision Admit the
// caller must call Finish once the endpoint is done.
func (g *Gate) Admit(now time.Duration, d *agentv1.DispatchRequest) Verdict {
	if d.GetIncarnation() != g.incarnation {
		return Verdict{Fault: errWrongIncarnation(g.incarnation)}
	}
	if d.GetClaimId() != "" {
		return g.admitClaim(now, d)
	}
	e, refusal := g.check(now, d)
	if refusal != nil {
		return Verdict{Fault: refusal}
	}
	e.inFlight++
	return Verdict{Decision: Admit}
}

func (g *Gate) admitClaim(now time.Duration, d *agentv1.DispatchRequest) Verdict {
	id, ticket := d.GetClaimId(), time.Duration(d.GetClaimTicketNs())
	if verdict, seen := g.claims.repeat(id); seen {
		return verdict
	}
	if g.claims.mayHaveEvicted(ticket) {
		return Verdict{Decision: Unknown}
	}
	e, refusal := g.check(now, d)
	if refusal == nil {
		refusal = g.claims.checkTicket(now, id, ticket)
	}
	if refusal == nil {
		refusal = g.claims.start(now, id, ticket)
	}
	if refusal != nil {
		g.claims.close(now, id)
		return Verdict{Fault: refusal}
	}
	e.inFlight++
	return Verdict{Decision: Admit}
}

// check applies the checks that are common to all dispatches.
func (g *Gate) check(now time.Duration, d *agentv1.DispatchRequest) (*gated, *fault.Error) {
	if g.stopping {
		return nil, errStopping()
	}
	e := g.endpoints[d.GetEndpoint()]
	if e == nil {
		return nil, errNoEndpoint(d.GetEndpoint())
	}
	if e.leaving() {
		return nil, errLeaving(d.GetEndpoint())
	}
	if e.state != fleetv1.EndpointState_ENDPOINT_STATE_SERVING {
		return nil, errNotConfigured(d.GetEndpoint())
	}
	if !g.ownFresh(now) && !g.entryFresh(now, d.GetFreshness()) {
		return nil, errStale(g.limits.Freshness)
	}
	if e.full() {
		return nil, errEndpointFull(d.GetEndpoint())
	}
	if blockedUntil := e.pause.BlockedUntil(now); blockedUntil > 0 {
		return nil, errPaused(d.GetEndpoint(), blockedUntil-now)
	}
	if refusal := g.checkRate(now, d); refusal != nil {
		return nil, refusal
	}
	return e, nil
}

// ownFresh reports whether a quorum has confirmed recently enough to the agent
// itself that the configuration in force is the latest.
func (g *Gate) ownFresh(now time.Duration) bool {
	return g.hasConfirmation && now-g.confirmedAt <= g.limits.Freshness
}

// entryFresh reports whether the sender's knowledge of the configuration is
// fresh. The sender's ticket, AgentTimeNs, must be one that this incarnation can
// have issued; an old ticket is refused since the drift between the two clocks
// grows with its age.
func (g *Gate) entryFresh(now time.Duration, f *agentv1.Freshness) bool {
	if f == nil || f.GetRevision() < g.revision {
		return false
	}
	issued, offset := time.Duration(f.GetAgentTimeNs()), time.Duration(f.GetOffsetNs())
	if !within(now, issued, g.limits.AdmissionWindow) {
		return false
	}
	return within(now, issued+offset, g.limits.Freshness)
}

// within reports whether at is not after now and at most age before it. A sum
// that has overflowed is negative and so never within.
func within(now, at, age time.Duration) bool {
	return at > 0 && at <= now && now-at <= age
}

// Outcome is how an admitted dispatch ended.
type Outcome int

const (
	// NotRun: the dispatch was never sent to the endpoint.
	NotRun Outcome = iota
	// Complete: the endpoint's answer was received completely.
	Complete
	// Incomplete: the dispatch was sent but the answer is incomplete.
	Incomplete
)

// Finish ends an admitted dispatch at now. For a claimed call it records the
// outcome, and the answer if the outcome is Complete.
func (g *Gate) Finish(now time.Duration, d *agentv1.DispatchRequest, outcome Outcome, answer *controlv1.Answer) {
	if e := g.endpoints[d.GetEndpoint()]; e != nil && e.inFlight > 0 {
		e.inFlight--
	}
	if d.GetClaimId() != "" {
		g.claims.end(now, d.GetClaimId(), outcome, answer)
	}
}

// Running reports whether a claim was admitted and has not ended.
func (g *Gate) Running(claimID string) bool {
	known := g.claims.byID[claimID]
	return known != nil && known.state == claimRunning
}

// Revoke returns the state of a claim, and closes the claim if it has not started.
func (g *Gate) Revoke(now time.Duration, r *agentv1.RevokeRequest) *agentv1.RevokeResponse {
	if r.GetIncarnation() != g.incarnation || r.GetClaimId() == "" {
		return &agentv1.RevokeResponse{State: agentv1.RevokeState_REVOKE_STATE_UNKNOWN}
	}
	return g.claims.revoke(now, r.GetClaimId())
}
