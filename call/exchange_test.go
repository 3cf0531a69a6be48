package call_test

import (
	"fmt"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/fault"
)

// exchange is one request at one entry.
type exchange struct {
	w          *world
	process    *entryProcess
	generation int
	machine    *call.AtMostOnce
	key        string
	body       string
	claims     []string
	// step counts actions; results of an older one are late and dropped.
	step     int
	action   call.Action
	verdict  *call.Verdict
	answer   string
	deadline time.Duration
}

// at runs do in the exchange's process, unless the exchange has moved on from
// the step by then.
func (x *exchange) at(step int, do func() call.Action) {
	x.awake(func() {
		if x.step == step {
			x.follow(do())
		}
	})
}

// ask carries a request of the exchange's process.
func (x *exchange) ask(do func()) {
	if x.w.now >= x.process.mutedUntil {
		x.w.send(do)
	}
}

// hear is at for an answer that has come over the network.
func (x *exchange) hear(step int, do func() call.Action) {
	if x.w.now >= x.process.deafUntil {
		x.at(step, do)
	}
}

// awake runs do in the exchange's process: late if it is frozen, never after a
// crash.
func (x *exchange) awake(do func()) {
	if x.generation != x.process.generation {
		return
	}
	if wait := x.process.frozenUntil - x.w.now; wait > 0 {
		x.w.after(wait, func() { x.awake(do) })
		return
	}
	do()
}

// follow takes up the machine's next action.
func (x *exchange) follow(a call.Action) {
	x.step++
	x.action = a
	if a.Verdict != nil && x.verdict == nil {
		x.verdict = a.Verdict
		for _, part := range a.Data {
			x.answer += string(part)
		}
	}
	if a.Kind == call.Finish || a.Kind == call.Receive {
		return
	}
	step := x.step
	x.w.after(a.Delay, func() {
		if x.generation == x.process.generation && x.step == step {
			x.carryOut(a, step)
		}
	})
}

func (x *exchange) carryOut(a call.Action, step int) {
	w := x.w
	// A result that never comes ends in a timeout.
	lost := fault.New(fault.Unknown, "no answer in time", "")
	timeout := func(do func() call.Action) { w.after(time.Second, func() { x.at(step, do) }) }
	switch a.Kind {
	case call.Pick:
		x.at(step, func() call.Action {
			if w.chance(w.trouble / 2) {
				return x.machine.PickFailed(w.now, fault.New(fault.Unavailable, "no endpoint", ""))
			}
			return x.machine.Picked(w.now, w.target())
		})
	case call.Claim:
		x.claims = append(x.claims, a.ClaimID)
		timeout(func() call.Action { return x.machine.Claimed(w.now, nil, lost) })
		x.ask(func() { x.claim(a, step) })
	case call.Settle:
		timeout(func() call.Action { return x.machine.Settled(w.now, lost) })
		x.ask(func() { x.settle(a, step) })
	case call.Revoke:
		timeout(func() call.Action { return x.machine.Revoked(w.now, nil, lost) })
		x.ask(func() {
			answer := w.gate.Revoke(w.agentTime(), &agentv1.RevokeRequest{ClaimId: a.ClaimID, Incarnation: a.Target.Incarnation})
			w.send(func() { x.hear(step, func() call.Action { return x.machine.Revoked(w.now, answer, nil) }) })
		})
	case call.Dispatch:
		x.dispatch(a)
	}
}

// target is the service with a ticket that may be some time old.
func (w *world) target() call.Target {
	ticket := w.agentTime() - time.Duration(w.rng.Int64N(int64(5*time.Second)))
	return call.Target{Endpoint: serviceID, Agent: agentName, AgentAddr: "10.0.0.1:7000", Incarnation: w.incarnation, TicketNS: int64(ticket)}
}

func (x *exchange) claim(a call.Action, step int) {
	w := x.w
	if w.now < w.leaderless {
		return
	}
	result := w.apply(contract.EncodeClaim(int64(w.now), &controlv1.ClaimRequest{
		Workspace: "ops", Key: x.key, Digest: call.Digest("POST", "/swap", []byte(x.body)), ClaimId: a.ClaimID,
		Endpoint: a.Target.Endpoint, Agent: a.Target.Agent, Incarnation: a.Target.Incarnation, AgentAddr: a.Target.AgentAddr,
	}))
	answer := &controlv1.ClaimResponse{Granted: result.Granted, Claim: result.Claim}
	w.send(func() { x.hear(step, func() call.Action { return x.machine.Claimed(w.now, answer, result.Err) }) })
}

func (x *exchange) settle(a call.Action, step int) {
	w := x.w
	if w.now < w.leaderless {
		return
	}
	result := w.apply(contract.EncodeSettle(int64(w.now), &controlv1.SettleRequest{
		Workspace: "ops", Key: x.key, ClaimId: a.ClaimID, State: a.State, Answer: a.Answer,
	}))
	w.send(func() { x.hear(step, func() call.Action { return x.machine.Settled(w.now, result.Err) }) })
}

// dispatch sends the call, and cuts the stream at a random moment or at the
// deadline.
func (x *exchange) dispatch(a call.Action) {
	w := x.w
	x.step++
	x.action.Kind = call.Receive
	if w.chance(w.trouble) {
		x.cut(time.Millisecond, true)
		return
	}
	d := &agentv1.DispatchRequest{
		RequestId: x.requestID(), Attempt: a.Attempt, Endpoint: a.Target.Endpoint, Incarnation: a.Target.Incarnation,
		ClaimId: a.ClaimID, ClaimTicketNs: a.Target.TicketNS, Body: []byte(x.body),
	}
	x.ask(func() { w.arrive(x, d) })
	x.cut(max(x.deadline-w.now, 0), false)
	if w.chance(2 * w.trouble) {
		x.cut(time.Duration(w.rng.Int64N(int64(50*time.Millisecond))), false)
	}
}

func (x *exchange) requestID() string {
	for i, each := range x.w.exchanges {
		if each == x {
			return fmt.Sprintf("r%d", i)
		}
	}
	return ""
}

// cut ends the stream after d, if it is still open then.
func (x *exchange) cut(d time.Duration, notSent bool) {
	claimID := x.claims[len(x.claims)-1]
	f := fault.New(fault.Unknown, "the connection broke", "")
	x.w.after(d, func() {
		x.awake(func() {
			if x.action.Kind == call.Receive && x.claims[len(x.claims)-1] == claimID {
				x.follow(x.machine.Interrupted(x.w.now, f, notSent))
			}
		})
	})
}
