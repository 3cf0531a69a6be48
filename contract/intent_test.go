package contract

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/proof"
)

// raceAttempt is one operator's attempt to set the importance of the shared workspace, based
// on the revision that all operators have read.
type raceAttempt struct {
	id   string
	base uint64
}

// raceOutcome is the response to an attempt; received is false if it was lost.
type raceOutcome struct {
	received, confirmed bool
	revision            uint64
}

// raceState is the state of the sequential specification: the revision of the workspace and
// the revision that each confirmed attempt created.
type raceState struct {
	revision  uint64
	confirmed string
}

// raceModel is a single compare-and-set register in which a repeated successful attempt
// returns its first result.
var raceModel = porcupine.Model{
	Init: func() any { return raceState{revision: 2} },
	Step: func(state, input, output any) (bool, any) {
		current, attempt, got := state.(raceState), input.(raceAttempt), output.(raceOutcome)
		confirmed, revision, next := false, uint64(0), current
		if _, after, found := strings.Cut(current.confirmed, " "+attempt.id+"="); found {
			fmt.Sscan(after, &revision)
			confirmed = true
		} else if attempt.base == current.revision {
			confirmed, revision = true, current.revision+1
			next = raceState{revision, fmt.Sprintf("%s %s=%d ", current.confirmed, attempt.id, revision)}
		}
		return !got.received || got.confirmed == confirmed && got.revision == revision, next
	},
}

// TestConcurrentIntentsAreLinearizable runs concurrent attempts of operators with equal base
// revisions, with lost responses, resent requests and replicas restored from snapshots, and
// checks that the resulting history is linearizable.
func TestConcurrentIntentsAreLinearizable(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Restart, proof.LostMessages, proof.ConcurrentOperators, proof.ResentIntents}, Step: "plan and confirm under equal revisions", Combined: true,
		Guard: "each alone: base revisions compared, a repeated confirm keeps its answer, intents in the snapshot"}.Log(t)
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(seed)
			h.announce("a", 1, newEngine("e1"))
			h.planAndConfirm(&controlv1.Intent{Id: "first", Workspaces: []*fleetv1.Workspace{newWorkspace("ops", 1, 0)}})
			operations := runRace(h)
			is.True(porcupine.CheckOperations(raceModel, operations))
			confirmed := map[uint64]string{}
			for _, operation := range operations {
				if got := operation.Output.(raceOutcome); got.confirmed {
					id := operation.Input.(raceAttempt).id
					is.True(confirmed[got.revision] == "" || confirmed[got.revision] == id)
					confirmed[got.revision] = id
				}
			}
			is.True(len(confirmed) > 2)
		})
	}
}

// runRace runs attempts that are applied at random times between their calls and their
// responses.
func runRace(h *harness) []porcupine.Operation {
	var operations []porcupine.Operation
	now := int64(0)
	for round := range 8 {
		base := h.state.Revision()
		var attempts []raceAttempt
		for operator := range 3 {
			attempts = append(attempts, raceAttempt{fmt.Sprintf("r%d-o%d", round, operator), base})
		}
		attempts = append(attempts, attempts[h.rng.IntN(3)], attempts[h.rng.IntN(3)])
		shuffle(h.rng, attempts)
		for client, attempt := range attempts {
			call := now - int64(h.rng.IntN(3))
			got := runAttempt(h, attempt, int32(2+round*3+client%3))
			got.received = h.rng.IntN(4) > 0
			now += 2
			returned := now + int64(h.rng.IntN(3))
			if !got.received {
				returned = math.MaxInt64
			}
			operations = append(operations, porcupine.Operation{
				ClientId: len(operations), Input: attempt, Output: got, Call: call, Return: returned,
			})
			if h.rng.IntN(4) == 0 {
				restoreFromSnapshot(h)
			}
		}
	}
	return operations
}

func shuffle[T any](rng *rand.Rand, items []T) {
	rng.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
}

// runAttempt plans and confirms an intent; a resent attempt plans the same intent again.
func runAttempt(h *harness, attempt raceAttempt, importance int32) raceOutcome {
	intent := &controlv1.Intent{Id: attempt.id, BaseRevision: attempt.base, Workspaces: []*fleetv1.Workspace{newWorkspace("ops", importance, 0)}}
	if known := h.state.Intent(attempt.id); known != nil {
		intent = known.GetIntent()
	}
	if result := h.plan(intent); result.Err != nil {
		return raceOutcome{}
	}
	result := h.confirm(attempt.id)
	if result.Err != nil {
		return raceOutcome{}
	}
	return raceOutcome{confirmed: true, revision: result.Revision}
}

// restoreFromSnapshot replaces the replica with one that starts from its snapshot.
func restoreFromSnapshot(h *harness) {
	data, err := h.state.Snapshot()
	if err != nil {
		panic(err)
	}
	h.state = NewState()
	if err := h.state.Restore(data); err != nil {
		panic(err)
	}
}

// TestConflictNamesConfirmedIntent checks that a conflict error describes the intent that was
// confirmed, its operator and its change, that resent requests get their first result, and
// that an id cannot be reused for a different intent.
func TestConflictNamesConfirmedIntent(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Restart, proof.ConcurrentOperators}, Step: "confirm of a plan after a change of what it touches", Combined: true,
		Guard: "each alone: base revisions, revisions of what a plan touches, intents in the snapshot"}.Log(t)
	is := is.New(t)
	h := newHarness(1)
	h.planAndConfirm(&controlv1.Intent{Id: "first", Workspaces: []*fleetv1.Workspace{newWorkspace("ops", 1, 0.4)}})
	raise := &controlv1.Intent{Id: "raise", Operator: "amel", BaseRevision: 1, Workspaces: []*fleetv1.Workspace{newWorkspace("ops", 5, 0.4)}}
	lower := &controlv1.Intent{Id: "lower", Operator: "bilel", BaseRevision: 1, Workspaces: []*fleetv1.Workspace{newWorkspace("ops", 2, 0.4)}}
	share := &controlv1.Intent{Id: "share", Operator: "chedly", Workspaces: []*fleetv1.Workspace{newWorkspace("night", 1, 0.7)}}
	h.plan(raise)
	h.plan(lower)
	is.Equal(h.plan(share).Err.Kind, fault.Invalid) // 110%
	is.Equal(h.confirm("raise").Revision, uint64(2))

	conflict := h.confirm("lower").Err
	is.Equal(conflict.Kind, fault.Conflict)
	for _, part := range []string{"raise", "amel", "importance 1 → 5"} {
		is.True(strings.Contains(conflict.Message, part))
	}
	restoreFromSnapshot(h)
	is.Equal(h.confirm("raise").Revision, uint64(2))
	is.Equal(h.plan(lower).Err, nil) // the first result; nothing is confirmed
	is.Equal(h.confirm("lower").Err.Kind, fault.Conflict)
	late := &controlv1.Intent{Id: "late", BaseRevision: 1, Workspaces: []*fleetv1.Workspace{newWorkspace("ops", 9, 0)}}
	is.Equal(h.plan(late).Err.Kind, fault.Conflict)
	is.Equal(h.plan(&controlv1.Intent{Id: "raise", RemoveWorkspaces: []string{"ops"}}).Err.Kind, fault.Conflict)
	is.Equal(h.apply(EncodeCancel(0, &controlv1.CancelRequest{IntentId: "raise"})).Err.Kind, fault.Conflict)
	is.Equal(h.apply(EncodeCancel(0, &controlv1.CancelRequest{IntentId: "lower"})).Err, nil)
	is.True(strings.Contains(h.confirm("lower").Err.Message, "cancelled"))

	// A change that is reverted also conflicts, although the plan would read the same.
	h.plan(&controlv1.Intent{Id: "aba", Workspaces: []*fleetv1.Workspace{newWorkspace("ops", 7, 0.4)}})
	h.planAndConfirm(&controlv1.Intent{Id: "there", Workspaces: []*fleetv1.Workspace{newWorkspace("ops", 6, 0.4)}})
	h.planAndConfirm(&controlv1.Intent{Id: "back", Workspaces: []*fleetv1.Workspace{newWorkspace("ops", 5, 0.4)}})
	is.Equal(h.confirm("aba").Err.Kind, fault.Conflict)
	h.digests["raise"] = "0"
	is.Equal(h.confirm("raise").Err.Kind, fault.Conflict)
}

// TestConfirmRefusesOutdatedPlan checks that a plan is refused if other changes make its
// effects worse although the objects that it names are unchanged, and that a change in
// another pool's capacity does not matter.
func TestConfirmRefusesOutdatedPlan(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.announce("a", 1, newEngine("e1"), newEngine("e2"))
	h.announce("b", 1, &fleetv1.Endpoint{Id: "s1", Pool: "roster-api", Kind: fleetv1.EndpointKind_ENDPOINT_KIND_SERVICE})
	h.plan(&controlv1.Intent{Id: "one", Workspaces: []*fleetv1.Workspace{newWorkspace("ops", 1, 0.6)}})
	h.plan(&controlv1.Intent{Id: "two", Workspaces: []*fleetv1.Workspace{newWorkspace("night", 1, 0.6)}})
	h.plan(&controlv1.Intent{Id: "leave-1", Endpoints: []*controlv1.EndpointChange{{Id: "e1", State: leaving}}})
	h.plan(&controlv1.Intent{Id: "leave-2", Endpoints: []*controlv1.EndpointChange{{Id: "e2", State: leaving}}})
	is.Equal(h.confirm("one").Err, nil)
	conflict := h.confirm("two").Err
	is.Equal(conflict.Kind, fault.Conflict)
	is.True(strings.Contains(conflict.Message, "one") && strings.Contains(conflict.Message, "120%"))

	h.apply(EncodeExpire(0, AgentRef{"b", 1}))
	is.Equal(h.confirm("leave-2").Err.Kind, fault.Conflict) // the guarantee of workspace ops would now fall
	h.plan(&controlv1.Intent{Id: "leave-3", Endpoints: []*controlv1.EndpointChange{{Id: "e2", State: leaving}}})
	h.announce("b", 1, &fleetv1.Endpoint{Id: "s1", Pool: "roster-api", Kind: fleetv1.EndpointKind_ENDPOINT_KIND_SERVICE})
	is.Equal(h.confirm("leave-3").Err, nil)
	lastConflict := h.confirm("leave-1").Err
	is.Equal(lastConflict.Kind, fault.Conflict)
	is.True(strings.Contains(lastConflict.Message, "leave-3"))
}

// TestConfirmAcceptsImprovedPlan checks that a plan can be confirmed after an endpoint joined
// and a warning no longer applies, but not if more weights must be loaded than it shows.
func TestConfirmAcceptsImprovedPlan(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	model := &fleetv1.Model{Name: "draft", Pool: "lilackeel-pool", Version: "v1"}
	loaded := newEngine("e1")
	loaded.Model, loaded.Version = "draft", "v1"
	is.Equal(len(h.plan(&controlv1.Intent{Id: "early", Models: []*fleetv1.Model{model}}).Plan.GetWarnings()), 1)
	h.announce("a", 1, loaded)
	h.plan(&controlv1.Intent{Id: "late", Models: []*fleetv1.Model{model}})
	h.announce("b", 1, newEngine("e2"))
	is.Equal(h.confirm("late").Err.Kind, fault.Conflict)
	h.apply(EncodeExpire(0, AgentRef{"b", 1}))
	is.Equal(h.confirm("early").Err, nil)
}

// TestPlanCostsAndWarnings checks the weights, drains and capacity that a plan shows, and its
// warnings about reduced guarantees, stopped ranks and the last endpoint of a pool.
func TestPlanCostsAndWarnings(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	rank := newEngine("e1")
	rank.Group, rank.Rank = "g", 3
	h.announce("a", 1, rank, newEngine("e2"))
	model := &fleetv1.Model{Name: "draft", Pool: "lilackeel-pool", Version: "v2", Adapters: []string{"legal"}}
	plan := h.plan(&controlv1.Intent{Id: "model", Models: []*fleetv1.Model{model}, Workspaces: []*fleetv1.Workspace{newWorkspace("ops", 1, 0.5)}}).Plan
	is.Equal(plan.GetChanges()[1].GetWeightBytes(), int64(2*(AssumedModelBytes+AssumedAdapterBytes)))
	is.Equal(plan.GetChanges()[1].GetWeightMs(), int64(32500))
	is.Equal(h.confirm("model").Err, nil)
	orders := h.state.Orders()
	is.Equal(len(orders), 2)
	is.Equal(orders[0].Request.GetVersion(), "v2")
	is.Equal(len(h.state.Progress()[0].GetWaitingFor()), 2)
	is.Equal(h.apply(EncodeIntentDone(0, "model")).Err.Kind, fault.Conflict)
	for _, id := range []string{"e1", "e2"} {
		h.apply(EncodeObserved(0, AgentRef{"a", 1}, &fleetv1.Endpoint{Id: id, Model: "draft", Version: "v2", Adapters: []string{"legal"}}))
	}
	is.Equal(len(h.state.Orders()), 0)
	is.Equal(h.apply(EncodeIntentDone(0, "model")).Err, nil)

	plan = h.plan(&controlv1.Intent{Id: "stop", Endpoints: []*controlv1.EndpointChange{{Id: "e1", State: stopped}, {Id: "e2", State: leaving, DrainLimitMs: 5000}}}).Plan
	is.Equal(plan.GetCapacityBefore(), int64(16))
	is.Equal(plan.GetCapacityAfter(), int64(0))
	is.True(plan.GetChanges()[0].GetDrains())
	warned := strings.Join(plan.GetWarnings(), "\n")
	is.True(strings.Contains(warned, "no endpoint of pool lilackeel-pool"))
	is.True(strings.Contains(warned, "falls from 8 to 0"))
	is.True(strings.Contains(warned, "rank 3 of group g"))
	h.confirm("stop")
	is.Equal(len(h.state.Draining()), 2)
	h.apply(EncodeDrained(0, AgentRef{"a", 1}, "e1", "e2"))
	is.Equal(h.apply(EncodeIntentDone(0, "stop")).Err, nil)
}

// TestInvalidIntentsAreRefused checks that each invalid intent is refused with a remedy.
func TestInvalidIntentsAreRefused(t *testing.T) {
	key := strings.Repeat("ab", digestBytes)
	invalid := map[string]*controlv1.Intent{
		"nothing":    {},
		"importance": {Workspaces: []*fleetv1.Workspace{newWorkspace("ops", 0, 0)}},
		"share":      {Workspaces: []*fleetv1.Workspace{newWorkspace("ops", 1, math.NaN())}},
		"name":       {Workspaces: []*fleetv1.Workspace{newWorkspace("two words", 1, 0)}},
		"plain key":  {Workspaces: []*fleetv1.Workspace{{Name: "ops", Importance: 1, KeyDigests: []string{"secret"}}}},
		"shared key": {Workspaces: []*fleetv1.Workspace{{Name: "ops", Importance: 1, KeyDigests: []string{key}}, {Name: "night", Importance: 1, KeyDigests: []string{key}}}},
		"twice":      {Workspaces: []*fleetv1.Workspace{newWorkspace("ops", 1, 0), newWorkspace("ops", 2, 0)}},
		"prefix":     {Services: []*fleetv1.Service{{Name: "roster", Pool: "p", PathPrefix: "roster"}}},
		"method":     {Services: []*fleetv1.Service{{Name: "roster", Pool: "p", PathPrefix: "/", Routes: []*fleetv1.ServiceRoute{{Method: "post", PathPrefix: "/"}}}}},
		"version":    {Models: []*fleetv1.Model{{Name: "draft", Pool: "p"}}},
		"policy":     {Policies: []*fleetv1.BalancePolicy{{Group: "g", Evenness: 2}}},
		"no change":  {Endpoints: []*controlv1.EndpointChange{{Id: "e1"}}},
		"future":     {BaseRevision: 9, RemoveModels: []string{"draft"}},
		"unknown":    {RemoveModels: []string{"draft"}},
		"endpoint":   {Endpoints: []*controlv1.EndpointChange{{Id: "e9", State: leaving}}},
	}
	for name, intent := range invalid {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(1)
			intent.Id = "i"
			result := h.plan(intent)
			is.True(result.Err != nil)
			is.True(result.Err.Kind == fault.Invalid || result.Err.Kind == fault.NotFound)
			is.True(result.Err.Remedy != "")
			is.Equal(h.state.Intent("i"), nil)
		})
	}
}
