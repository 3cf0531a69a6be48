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

// engine is a model engine behind an agent that checks fencing tokens.
type engine struct {
	version string
	highest uint64
	// late is an order that lies in the socket of the frozen agent.
	late *lateOrder
}

type lateOrder struct {
	version string
	fence   uint64
}

// thaw lets the late order arrive, if the fencing token still allows it.
func (e *engine) thaw() {
	if e.late != nil && e.late.fence >= e.highest {
		e.carryOut(e.late.version, e.late.fence)
	}
	e.late = nil
}

func (e *engine) carryOut(version string, fence uint64) {
	e.version, e.highest = version, fence
}

// Orders are lost before or after they take effect, arrive late, and leaders and
// wishes change. Every endpoint comes to what is wanted, an order is repeated
// only after a read-back, no old order takes effect once a reading has counted,
// and never more endpoints load than allowed.
func TestReconcilerReadsBackBeforeItRepeats(t *testing.T) {
	proof.Cell{Promise: proof.Configuration, Faults: []proof.Fault{proof.Kill, proof.Freeze, proof.Late, proof.Lost}, Step: "orders to engines", Together: true,
		Guard: "each alone: reading back after a cut and at a new leader, a reading counts only after a younger token"}.Log(t)
	for seed := uint64(1); seed <= 60; seed++ {
		trial(t, seed)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

func trial(t *testing.T, seed uint64) {
	is := is.NewRelaxed(t)
	rng := rand.New(rand.NewPCG(seed, 1))
	limits := Limits{MaxLoads: 3, MaxLoadShare: 0.25, InitialBackoff: 100 * time.Millisecond, MaxBackoff: time.Second, AuditInterval: 2 * time.Second}
	const count = 8
	engines := map[string]*engine{}
	known := map[string]string{} // what the state has observed
	open := map[string]bool{}    // an order's fate is open
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
		calm := step > 3000
		if !calm && rng.IntN(200) == 0 {
			wanted = fmt.Sprint("v", rng.IntN(3))
		}
		if !calm && rng.IntN(300) == 0 {
			fence++
			reconciler = New(limits, rng, fence) // another leader
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
				engines[id].highest = max(engines[id].highest, fence) // by an announcement
			}
			if rng.IntN(30) == 0 {
				engines[id].thaw()
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
				is.True(!open[id]) // an order whose fate is open is read back first
			}
			outcome, highest := act(rng, e, action, calm)
			open[id] = open[id] || outcome == Interrupted && !action.ReadBack()
			if reconciler.RecordOutcome(now, action, outcome, highest) {
				known[id] = e.version
				open[id] = false
				is.True(e.late == nil || e.late.fence < e.highest) // it can no longer take effect
			}
		}
		is.True(loads <= 2) // a quarter of the pool
	}
	for id, e := range engines {
		e.thaw()
		is.Equal(e.version, wanted)
		is.Equal(known[id], wanted)
	}
}

// act carries an action out on an engine, with faults unless it is calm.
func act(rng *rand.Rand, e *engine, action Action, calm bool) (outcome Outcome, highest uint64) {
	fate := rng.IntN(10)
	switch {
	case calm:
	case fate == 0:
		return NotRun, 0
	case fate == 1:
		if !action.ReadBack() {
			e.late = &lateOrder{version: action.Request.GetVersion(), fence: action.Request.GetFence()}
		}
		return Interrupted, 0
	case fate == 2:
		if !action.ReadBack() {
			e.carryOut(action.Request.GetVersion(), action.Request.GetFence())
		}
		return Interrupted, 0
	}
	if !action.ReadBack() {
		e.carryOut(action.Request.GetVersion(), action.Request.GetFence())
	}
	return Done, e.highest
}
