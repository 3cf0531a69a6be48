package reconcile

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/proof"
)

// engine simulates a model engine behind an agent that checks fencing tokens.
type engine struct {
	version string
	highest uint64
	// delayed is an order in the socket buffer of the frozen agent.
	delayed *delayedOrder
}

type delayedOrder struct {
	version string
	fence   uint64
}

// deliverDelayed delivers the delayed order, which takes effect if its fencing token is still
// valid.
func (e *engine) deliverDelayed() {
	if e.delayed != nil && e.delayed.fence >= e.highest {
		e.apply(e.delayed.version, e.delayed.fence)
	}
	e.delayed = nil
}

func (e *engine) apply(version string, fence uint64) {
	e.version, e.highest = version, fence
}

// Orders are lost before or after they take effect or arrive late, while leaders and the wanted
// version change. Every endpoint converges to the wanted version, an order is repeated only
// after a read-back, no old order takes effect after a read-back has counted, and no more
// endpoints load concurrently than allowed.
func TestReconcilerReadsBackBeforeRetry(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Kill, proof.Freeze, proof.DelayedMessages, proof.LostMessages}, Step: "orders to engines", Combined: true,
		Guard: "each alone: reading back after an interrupted order and at a new leader; a read-back counts only after a newer token"}.Log(t)
	for seed := uint64(1); seed <= 60; seed++ {
		runTrial(t, seed)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

func runTrial(t *testing.T, seed uint64) {
	is := is.NewRelaxed(t)
	rng := rand.New(rand.NewPCG(seed, 1))
	limits := Limits{MaxLoads: 3, MaxLoadShare: 0.25, InitialBackoff: 100 * time.Millisecond, MaxBackoff: time.Second, AuditInterval: 2 * time.Second}
	const count = 8
	engines := map[string]*engine{}
	known := map[string]string{}   // as recorded in the replicated state
	uncertain := map[string]bool{} // an order may or may not have been carried out
	for i := range count {
		id := fmt.Sprint("e", i)
		engines[id] = &engine{version: "v0"}
		known[id] = "v0"
	}
	wanted, fence := "v1", uint64(1)
	reconciler := New(limits, rng, fence)
	token := func() (uint64, error) { fence++; return fence, nil }
	var now time.Duration
	for step := range 6000 {
		now += 20 * time.Millisecond
		faultFree := step > 3000
		if !faultFree && rng.IntN(200) == 0 {
			wanted = fmt.Sprint("v", rng.IntN(3))
		}
		if !faultFree && rng.IntN(300) == 0 {
			fence++
			reconciler = New(limits, rng, fence) // a new leader takes over
		}
		var endpoints []Endpoint
		for i := range count {
			id := fmt.Sprint("e", i)
			endpoint := Endpoint{ID: id, Pool: "p"}
			if known[id] != wanted {
				endpoint.Order = &agentv1.OrderRequest{Kind: agentv1.OrderKind_ORDER_KIND_LOAD_MODEL, Model: "m", Version: wanted}
			}
			endpoints = append(endpoints, endpoint)
			if rng.IntN(20) == 0 {
				engines[id].highest = max(engines[id].highest, fence) // through an announcement
			}
			if rng.IntN(30) == 0 {
				engines[id].deliverDelayed()
			}
		}
		if reconciler.NeedsToken(fence) {
			fence++
		}
		actions, err := reconciler.Tick(now, endpoints, token)
		is.NoErr(err)
		loads := 0
		for _, action := range actions {
			id := action.Endpoint.ID
			e := engines[id]
			if !action.ReadBack() {
				loads++
				is.True(!uncertain[id]) // an uncertain endpoint is read back first
			}
			outcome, highest := execute(rng, e, action, faultFree)
			uncertain[id] = uncertain[id] || outcome == Interrupted && !action.ReadBack()
			if reconciler.RecordOutcome(now, action, outcome, highest) {
				known[id] = e.version
				uncertain[id] = false
				is.True(e.delayed == nil || e.delayed.fence < e.highest) // the agent will reject it
			}
		}
		is.True(loads <= 2) // a quarter of the pool
	}
	for id, e := range engines {
		e.deliverDelayed()
		is.Equal(e.version, wanted)
		is.Equal(known[id], wanted)
	}
}

// execute carries out an action on an engine, with random faults unless faultFree is set.
func execute(rng *rand.Rand, e *engine, action Action, faultFree bool) (outcome Outcome, highest uint64) {
	roll := rng.IntN(10)
	switch {
	case faultFree:
	case roll == 0:
		return NotRun, 0
	case roll == 1:
		if !action.ReadBack() {
			e.delayed = &delayedOrder{version: action.Request.GetVersion(), fence: action.Request.GetFence()}
		}
		return Interrupted, 0
	case roll == 2:
		if !action.ReadBack() {
			e.apply(action.Request.GetVersion(), action.Request.GetFence())
		}
		return Interrupted, 0
	}
	if !action.ReadBack() {
		e.apply(action.Request.GetVersion(), action.Request.GetFence())
	}
	return Done, e.highest
}
