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

// disturb schedules crashes, freezes, cuts, restarts and the loss of the leader.
func (w *world) disturb(until time.Duration) {
	for at := time.Duration(0); at < until; at += 100 * time.Millisecond {
		moment := at + time.Duration(w.rng.Int64N(int64(100*time.Millisecond)))
		entry := w.entries[w.rng.IntN(len(w.entries))]
		length := time.Duration(w.rng.Int64N(int64(10 * time.Second)))
		switch w.rng.IntN(40) {
		case 0:
			w.after(moment, func() {
				w.hit("kill", entry)
				entry.generation++
			})
		case 1, 2:
			w.after(moment, func() {
				w.hit("freeze", entry)
				entry.frozenUntil = w.now + length
			})
		case 3:
			w.after(moment, w.startAgent)
		case 4:
			w.after(moment, func() { w.leaderless = w.now + length/5 })
		case 5:
			w.after(moment, func() { w.serveAs(fleetv1.EndpointState_ENDPOINT_STATE_LEAVING) })
			w.after(moment+length/5, func() { w.serveAs(fleetv1.EndpointState_ENDPOINT_STATE_SERVING) })
		case 6: // the entry sends to nobody, or hears nobody, or both
			w.after(moment, func() {
				w.hit("cut", entry)
				direction := w.rng.IntN(3)
				if direction != 0 {
					entry.deafUntil = w.now + length/4
				}
				if direction != 1 {
					entry.mutedUntil = w.now + length/4
				}
			})
		}
	}
}

// serveAs makes the gate refuse, or take, new work.
func (w *world) serveAs(state fleetv1.EndpointState) {
	w.gate.Configure(1, map[string]fleetv1.EndpointState{serviceID: state})
}

// hit notes what the exchanges of an entry wait for when a fault comes.
func (w *world) hit(fault string, entry *entryProcess) {
	for _, x := range w.exchanges {
		if x.process == entry && x.generation == entry.generation && x.action.Kind != call.Finish {
			w.hits[fault+" at "+x.action.Kind.String()]++
		}
	}
}

// callers sends each key several times: again after a while, through any entry,
// at times while an earlier request still runs.
func (w *world) callers(keys int) {
	for k := range keys {
		key := fmt.Sprintf("key-%d", k)
		at := time.Duration(w.rng.Int64N(int64(20 * time.Second)))
		for range 1 + w.rng.IntN(4) {
			w.after(at, func() {
				w.begin(w.rng.IntN(len(w.entries)), key, "swap "+key, time.Duration(200+w.rng.IntN(8000))*time.Millisecond)
			})
			at += time.Duration(w.rng.Int64N(int64(4 * time.Second)))
		}
	}
}

// check returns what the world has broken of the promises.
func (w *world) check() error {
	for key, claims := range w.runs {
		if len(claims) > 1 {
			return fmt.Errorf("%s ran %d times: %v", key, len(claims), claims)
		}
	}
	for i, x := range w.exchanges {
		if x.verdict == nil {
			if x.generation == x.process.generation {
				return fmt.Errorf("request r%d of %s never got a final answer", i, x.key)
			}
			continue
		}
		if err := w.checkVerdict(x); err != nil {
			return fmt.Errorf("request r%d: %w", i, err)
		}
	}
	return nil
}

func (w *world) checkVerdict(x *exchange) error {
	ran := w.runs[x.key]
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
			return fmt.Errorf("%s was called not run, but ran under its claim %s", x.key, ran[0])
		}
		if worth := x.verdict.Fault.Kind != fault.KeyReused; worth && x.verdict.Fault.RetryAfter <= 0 {
			return fmt.Errorf("%s was not run and not told when to ask again", x.key)
		}
	case call.Unknown:
		if x.verdict.HTTPStatus() != call.StatusUnknown {
			return fmt.Errorf("%s is unknown with status %d", x.key, x.verdict.HTTPStatus())
		}
	}
	return nil
}

// settle asks once more for each key when all faults are over. What ran must
// not be called not run.
func (w *world) settleAll() error {
	w.trouble = 0
	w.leaderless = 0
	for _, entry := range w.entries {
		entry.mutedUntil, entry.deafUntil = 0, 0
	}
	for key, claims := range w.runs {
		x := w.begin(0, key, "swap "+key, time.Minute)
		w.entries[0].frozenUntil = 0
		w.run()
		if x.verdict.Outcome == call.NotRun {
			return fmt.Errorf("%s ran under %v, and is then called not run", key, claims)
		}
		if other := w.begin(1, key, "another body", time.Minute); true {
			w.run()
			if other.verdict.Fault == nil || other.verdict.Fault.Kind != fault.KeyReused {
				return fmt.Errorf("%s was taken with another body", key)
			}
		}
	}
	return w.check()
}

// TestAtMostOnce explores two entries, an agent and the claim table under
// crashes, freezes, restarts, lost leaders and late, lost, doubled and crossed
// messages: a key runs at most once, "not run" is true, and an answer is the
// caller's own, whole one.
func TestAtMostOnce(t *testing.T) {
	const worlds, keys = 400, 12
	for _, promise := range []proof.Promise{proof.AtMostOnce, proof.NotRun, proof.OwnAnswer} {
		proof.Cell{
			Promise: promise, Step: "every step of a claimed call", Together: true,
			Faults: []proof.Fault{proof.Kill, proof.Restart, proof.CutOneWay, proof.CutBothWays, proof.Freeze, proof.Late, proof.Doubled, proof.Crossed, proof.Lost},
			Guard:  "each alone: grant before dispatch, match of request and incarnation, revocation after a cut, unknown when the agent cannot tell, end check",
		}.Log(t)
	}
	outcomes, hits := map[string]int{}, map[string]int{}
	runs, requests := 0, 0
	for seed := range uint64(worlds) {
		w := newWorld(seed, 0.01+0.1*float64(seed%4))
		w.disturb(30 * time.Second)
		w.callers(keys)
		w.run()
		err := w.check()
		if err == nil {
			err = w.settleAll()
		}
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		runs += len(w.runs)
		for name, n := range w.hits {
			hits[name] += n
		}
		for _, x := range w.exchanges {
			requests++
			if x.verdict != nil {
				outcomes[x.verdict.Outcome.String()]++
			}
		}
	}
	t.Logf("seeds 0 to %d: %d requests, %d keys ran, outcomes %v", worlds-1, requests, runs, outcomes)
	t.Logf("faults by what the request waited for: %v", hits)
	for _, want := range []string{"answered", "not-run", "unknown"} {
		if outcomes[want] < requests/100 {
			t.Errorf("only %d requests ended as %s; the exploration is too narrow", outcomes[want], want)
		}
	}
	for _, fault := range []string{"kill", "freeze", "cut"} {
		for _, step := range []call.ActionKind{call.Claim, call.Receive, call.Revoke, call.Settle} {
			if name := fault + " at " + step.String(); hits[name] == 0 {
				t.Errorf("no %s; the exploration is too narrow", name)
			}
		}
	}
}
