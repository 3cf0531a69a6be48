package call_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/proof"
)

// scheduleFaults schedules crashes, freezes and partitions of entries, restarts of the
// agent, losses of the leader and times at which the endpoint is leaving.
func (sim *simulation) scheduleFaults(until time.Duration) {
	for at := time.Duration(0); at < until; at += 100 * time.Millisecond {
		moment := at + time.Duration(sim.rng.Int64N(int64(100*time.Millisecond)))
		entry := sim.entries[sim.rng.IntN(len(sim.entries))]
		length := time.Duration(sim.rng.Int64N(int64(10 * time.Second)))
		switch sim.rng.IntN(40) {
		case 0:
			sim.after(moment, func() {
				sim.countFault("kill", entry)
				entry.generation++
			})
		case 1, 2:
			sim.after(moment, func() {
				sim.countFault("freeze", entry)
				entry.frozenUntil = sim.now + length
			})
		case 3:
			sim.after(moment, sim.startAgent)
		case 4:
			sim.after(moment, func() { sim.leaderlessUntil = sim.now + length/5 })
		case 5:
			sim.after(moment, func() { sim.setEndpointState(fleetv1.EndpointState_ENDPOINT_STATE_LEAVING) })
			sim.after(moment+length/5, func() { sim.setEndpointState(fleetv1.EndpointState_ENDPOINT_STATE_SERVING) })
		case 6: // the entry cannot send, cannot receive, or both
			sim.after(moment, func() {
				sim.countFault("cut", entry)
				direction := sim.rng.IntN(3)
				if direction != 0 {
					entry.receiveLostUntil = sim.now + length/4
				}
				if direction != 1 {
					entry.sendLostUntil = sim.now + length/4
				}
			})
		}
	}
}

// setEndpointState makes the gate refuse, or accept, new work.
func (sim *simulation) setEndpointState(state fleetv1.EndpointState) {
	sim.gate.Configure(1, map[string]fleetv1.EndpointState{serviceID: state})
}

// countFault counts a fault by what the exchanges of the entry are waiting for.
func (sim *simulation) countFault(fault string, entry *entryProcess) {
	for _, x := range sim.exchanges {
		if x.process == entry && x.generation == entry.generation && x.action.Kind != call.Finish {
			sim.faultsByState[fault+" at "+x.action.Kind.String()]++
		}
	}
}

// scheduleRequests sends each key several times: after a while, through any entry,
// sometimes while an earlier request is still running.
func (sim *simulation) scheduleRequests(keys int) {
	for k := range keys {
		key := fmt.Sprintf("key-%d", k)
		at := time.Duration(sim.rng.Int64N(int64(20 * time.Second)))
		for range 1 + sim.rng.IntN(4) {
			sim.after(at, func() {
				sim.sendRequest(sim.rng.IntN(len(sim.entries)), key, "swap "+key, time.Duration(200+sim.rng.IntN(8000))*time.Millisecond)
			})
			at += time.Duration(sim.rng.Int64N(int64(4 * time.Second)))
		}
	}
}

// checkInvariants returns an error if an invariant is violated.
func (sim *simulation) checkInvariants() error {
	for key, claims := range sim.runs {
		if len(claims) > 1 {
			return fmt.Errorf("%s ran %d times: %v", key, len(claims), claims)
		}
	}
	for i, x := range sim.exchanges {
		if x.verdict == nil {
			if x.generation == x.process.generation {
				return fmt.Errorf("request r%d of %s has no verdict", i, x.key)
			}
			continue
		}
		if err := sim.checkVerdict(x); err != nil {
			return fmt.Errorf("request r%d: %w", i, err)
		}
	}
	return nil
}

func (sim *simulation) checkVerdict(x *exchange) error {
	ran := sim.runs[x.key]
	switch x.verdict.Outcome {
	case call.Answered:
		if want := "done " + x.key + " swap " + x.key; x.answer != want {
			return fmt.Errorf("%s was answered with %q, not %q", x.key, x.answer, want)
		}
		if len(ran) != 1 {
			return fmt.Errorf("%s was answered after %d runs", x.key, len(ran))
		}
	case call.NotRun:
		if len(ran) == 1 && slices.Contains(x.claims, ran[0]) {
			return fmt.Errorf("%s was reported as not run, but ran under its claim %s", x.key, ran[0])
		}
		if retryable := x.verdict.Fault.Kind != fault.KeyReused; retryable && x.verdict.Fault.RetryAfter <= 0 {
			return fmt.Errorf("%s was not run and has no Retry-After", x.key)
		}
	case call.Unknown:
		if x.verdict.HTTPStatus() != call.StatusUnknown {
			return fmt.Errorf("%s is Unknown with status %d", x.key, x.verdict.HTTPStatus())
		}
	}
	return nil
}

// checkAfterRecovery sends one more request for each key after all faults have ended. A
// key that ran must not be reported as not run.
func (sim *simulation) checkAfterRecovery() error {
	sim.faultRate = 0
	sim.leaderlessUntil = 0
	for _, entry := range sim.entries {
		entry.sendLostUntil, entry.receiveLostUntil = 0, 0
	}
	for key, claims := range sim.runs {
		x := sim.sendRequest(0, key, "swap "+key, time.Minute)
		sim.entries[0].frozenUntil = 0
		sim.runAll()
		if x.verdict.Outcome == call.NotRun {
			return fmt.Errorf("%s ran under %v and was later reported as not run", key, claims)
		}
		if other := sim.sendRequest(1, key, "another body", time.Minute); true {
			sim.runAll()
			if other.verdict.Fault == nil || other.verdict.Fault.Kind != fault.KeyReused {
				return fmt.Errorf("%s was accepted with another body", key)
			}
		}
	}
	return sim.checkInvariants()
}

// TestAtMostOnce runs two entries, an agent and the claim table under crashes, freezes,
// restarts, losses of the leader and late, lost, duplicated and misdelivered messages. A
// key must run at most once, NotRun must be reported only if it did not run, and an
// answer must be the caller's own and complete.
func TestAtMostOnce(t *testing.T) {
	const simulations, keys = 400, 12
	for _, promise := range []proof.Promise{proof.AtMostOnce, proof.NotRun, proof.ResponseIntegrity} {
		proof.Cell{
			Promise: promise, Step: "every step of a claimed call", Combined: true,
			Faults: []proof.Fault{proof.Kill, proof.Restart, proof.OneWayPartition, proof.FullPartition, proof.Freeze, proof.DelayedMessages, proof.DuplicatedMessages, proof.ReorderedMessages, proof.LostMessages},
			Guard:  "each alone: grant before dispatch, match of request and incarnation, revocation after a cut, unknown when the agent cannot tell, end check",
		}.Log(t)
	}
	outcomes, faultsByState := map[string]int{}, map[string]int{}
	runs, requests := 0, 0
	for seed := range uint64(simulations) {
		sim := newSimulation(seed, 0.01+0.1*float64(seed%4))
		sim.scheduleFaults(30 * time.Second)
		sim.scheduleRequests(keys)
		sim.runAll()
		err := sim.checkInvariants()
		if err == nil {
			err = sim.checkAfterRecovery()
		}
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		runs += len(sim.runs)
		for name, n := range sim.faultsByState {
			faultsByState[name] += n
		}
		for _, x := range sim.exchanges {
			requests++
			if x.verdict != nil {
				outcomes[x.verdict.Outcome.String()]++
			}
		}
	}
	t.Logf("seeds 0 to %d: %d requests, %d keys ran, outcomes %v", simulations-1, requests, runs, outcomes)
	t.Logf("faults by what the request was waiting for: %v", faultsByState)
	for _, want := range []string{"answered", "not-run", "unknown"} {
		if outcomes[want] < requests/100 {
			t.Errorf("only %d requests ended as %s; the simulation covers too little", outcomes[want], want)
		}
	}
	for _, fault := range []string{"kill", "freeze", "cut"} {
		for _, step := range []call.ActionKind{call.Claim, call.Receive, call.Revoke, call.Settle} {
			if name := fault + " at " + step.String(); faultsByState[name] == 0 {
				t.Errorf("no %s; the simulation covers too little", name)
			}
		}
	}
}
