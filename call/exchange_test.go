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
	sim        *simulation
	process    *entryProcess
	generation int
	machine    *call.AtMostOnce
	key        string
	body       string
	claims     []string
	// step counts the actions; a result that belongs to an earlier one is dropped.
	step     int
	action   call.Action
	verdict  *call.Verdict
	answer   string
	deadline time.Duration
}

// runAtStep runs do in the entry of the exchange, unless the exchange has left the step
// by then.
func (x *exchange) runAtStep(step int, do func() call.Action) {
	x.runInEntry(func() {
		if x.step == step {
			x.takeAction(do())
		}
	})
}

// sendFromEntry sends a message from the entry of the exchange.
func (x *exchange) sendFromEntry(do func()) {
	if x.sim.now >= x.process.sendLostUntil {
		x.sim.send(do)
	}
}

// receive is runAtStep for a response that has come over the network.
func (x *exchange) receive(step int, do func() call.Action) {
	if x.sim.now >= x.process.receiveLostUntil {
		x.runAtStep(step, do)
	}
}

// runInEntry runs do in the entry of the exchange: deferred while the entry is frozen,
// never after it has crashed.
func (x *exchange) runInEntry(do func()) {
	if x.generation != x.process.generation {
		return
	}
	if wait := x.process.frozenUntil - x.sim.now; wait > 0 {
		x.sim.after(wait, func() { x.runInEntry(do) })
		return
	}
	do()
}

// takeAction continues with the next action of the machine.
func (x *exchange) takeAction(a call.Action) {
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
	x.sim.after(a.Delay, func() {
		if x.generation == x.process.generation && x.step == step {
			x.performAction(a, step)
		}
	})
}

func (x *exchange) performAction(a call.Action, step int) {
	sim := x.sim
	// A result that never arrives ends in a timeout.
	timeoutFault := fault.New(fault.Unknown, "no response in time", "")
	timeout := func(do func() call.Action) { sim.after(time.Second, func() { x.runAtStep(step, do) }) }
	switch a.Kind {
	case call.Pick:
		x.runAtStep(step, func() call.Action {
			if sim.withProbability(sim.faultRate / 2) {
				return x.machine.PickFailed(sim.now, fault.New(fault.Unavailable, "no endpoint", ""))
			}
			return x.machine.Picked(sim.now, sim.pickTarget())
		})
	case call.Claim:
		x.claims = append(x.claims, a.ClaimID)
		timeout(func() call.Action { return x.machine.Claimed(sim.now, nil, timeoutFault) })
		x.sendFromEntry(func() { x.claim(a, step) })
	case call.Settle:
		timeout(func() call.Action { return x.machine.Settled(sim.now, timeoutFault) })
		x.sendFromEntry(func() { x.settle(a, step) })
	case call.Revoke:
		timeout(func() call.Action { return x.machine.Revoked(sim.now, nil, timeoutFault) })
		x.sendFromEntry(func() {
			resp := sim.gate.Revoke(sim.agentTime(), &agentv1.RevokeRequest{ClaimId: a.ClaimID, Incarnation: a.Target.Incarnation})
			sim.send(func() { x.receive(step, func() call.Action { return x.machine.Revoked(sim.now, resp, nil) }) })
		})
	case call.Dispatch:
		x.dispatch(a)
	}
}

// pickTarget returns the service with a ticket that may be up to 5 s old.
func (sim *simulation) pickTarget() call.Target {
	ticket := sim.agentTime() - time.Duration(sim.rng.Int64N(int64(5*time.Second)))
	return call.Target{Endpoint: serviceID, Agent: agentName, AgentAddr: "10.0.0.1:7000", Incarnation: sim.incarnation, TicketNS: int64(ticket)}
}

func (x *exchange) claim(a call.Action, step int) {
	sim := x.sim
	if sim.now < sim.leaderlessUntil {
		return
	}
	result := sim.apply(contract.EncodeClaim(int64(sim.now), &controlv1.ClaimRequest{
		Workspace: "ops", Key: x.key, Digest: call.Digest("POST", "/swap", []byte(x.body)), ClaimId: a.ClaimID,
		Endpoint: a.Target.Endpoint, Agent: a.Target.Agent, Incarnation: a.Target.Incarnation, AgentAddr: a.Target.AgentAddr,
	}))
	resp := &controlv1.ClaimResponse{Granted: result.Granted, Claim: result.Claim}
	sim.send(func() { x.receive(step, func() call.Action { return x.machine.Claimed(sim.now, resp, result.Err) }) })
}

func (x *exchange) settle(a call.Action, step int) {
	sim := x.sim
	if sim.now < sim.leaderlessUntil {
		return
	}
	result := sim.apply(contract.EncodeSettle(int64(sim.now), &controlv1.SettleRequest{
		Workspace: "ops", Key: x.key, ClaimId: a.ClaimID, State: a.State, Answer: a.Answer,
	}))
	sim.send(func() { x.receive(step, func() call.Action { return x.machine.Settled(sim.now, result.Err) }) })
}

// dispatch sends the call, and interrupts the stream at the deadline and sometimes at a
// random moment.
func (x *exchange) dispatch(a call.Action) {
	sim := x.sim
	x.step++
	x.action.Kind = call.Receive
	if sim.withProbability(sim.faultRate) {
		x.interruptAfter(time.Millisecond, true)
		return
	}
	d := &agentv1.DispatchRequest{
		RequestId: x.requestID(), Attempt: a.Attempt, Endpoint: a.Target.Endpoint, Incarnation: a.Target.Incarnation,
		ClaimId: a.ClaimID, ClaimTicketNs: a.Target.TicketNS, Body: []byte(x.body),
	}
	x.sendFromEntry(func() { sim.receiveDispatch(x, d) })
	x.interruptAfter(max(x.deadline-sim.now, 0), false)
	if sim.withProbability(2 * sim.faultRate) {
		x.interruptAfter(time.Duration(sim.rng.Int64N(int64(50*time.Millisecond))), false)
	}
}

func (x *exchange) requestID() string {
	for i, each := range x.sim.exchanges {
		if each == x {
			return fmt.Sprintf("r%d", i)
		}
	}
	return ""
}

// interruptAfter interrupts the stream after d, if it is still open then.
func (x *exchange) interruptAfter(d time.Duration, notSent bool) {
	claimID := x.claims[len(x.claims)-1]
	f := fault.New(fault.Unknown, "the connection was lost", "")
	x.sim.after(d, func() {
		x.runInEntry(func() {
			if x.action.Kind == call.Receive && x.claims[len(x.claims)-1] == claimID {
				x.takeAction(x.machine.Interrupted(x.sim.now, f, notSent))
			}
		})
	})
}
