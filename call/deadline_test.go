package call_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/fault"
)

// While no quorum grants the claim, the machine polls; the verdict must come at the
// deadline and not after one more poll delay.
func TestVerdictIsDueAtDeadlineWhilePolling(t *testing.T) {
	is := is.New(t)
	const deadline = 3 * time.Second
	noQuorum := fault.New(fault.NoQuorum, "no quorum", "retry later")
	for seed := range uint64(500) {
		now := time.Duration(0)
		m := call.NewAtMostOnce(call.AtMostOnceOptions{
			Options: call.Options{RequestID: "r1", Deadline: deadline, Policy: &call.DefaultPolicy,
				Budget: call.NewBudget(call.DefaultBudget), Rand: rand.New(rand.NewPCG(seed, 1))},
			Workspace: "ops", Key: "k", Digest: call.Digest("POST", "/swap", nil), CallerKey: true, ClaimIDPrefix: "u",
		})
		a := m.Start(now)
		for a.Kind != call.Finish {
			now += a.Delay
			if a.Kind == call.Pick {
				a = m.Picked(now, call.Target{Endpoint: "e1", Incarnation: 5})
				continue
			}
			a = m.Claimed(now, nil, noQuorum)
		}
		if now > deadline {
			t.Fatalf("seed %d: verdict at %v, the deadline was %v", seed, now, deadline)
		}
		is.Equal(a.Verdict.Outcome, call.NotRun)
	}
}
