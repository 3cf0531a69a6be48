package contract

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/proof"
)

const (
	serving = fleetv1.EndpointState_ENDPOINT_STATE_SERVING
	leaving = fleetv1.EndpointState_ENDPOINT_STATE_LEAVING
	stopped = fleetv1.EndpointState_ENDPOINT_STATE_STOPPED

	granted  = controlv1.ClaimState_CLAIM_STATE_GRANTED
	answered = controlv1.ClaimState_CLAIM_STATE_ANSWERED
	notRun   = controlv1.ClaimState_CLAIM_STATE_NOT_RUN
	unknown  = controlv1.ClaimState_CLAIM_STATE_UNKNOWN
)

// harness creates commands, applies them to a state and keeps the log for other replicas.
type harness struct {
	state   *State
	rng     *rand.Rand
	logTime int64
	log     [][]byte
	// digests holds the plan digest of each intent by its id.
	digests map[string]string
	ids     []string
}

func newHarness(seed uint64) *harness {
	return &harness{state: NewState(), rng: rand.New(rand.NewPCG(seed, 0)), digests: map[string]string{}}
}

// apply appends a command to the log and returns the result of applying it.
func (h *harness) apply(data []byte, err error) *Result {
	if err != nil {
		panic(err)
	}
	h.log = append(h.log, data)
	return h.state.Apply(uint64(len(h.log)), 1, data).(*Result)
}

// replay applies the log entries after the first n to a replica.
func (h *harness) replay(replica *State, n int) {
	for i := n; i < len(h.log); i++ {
		replica.Apply(uint64(i+1), 1, h.log[i])
	}
}

func (h *harness) plan(intent *controlv1.Intent) *Result {
	if intent.Operator == "" {
		intent.Operator = "amel"
	}
	result := h.apply(EncodePlan(h.logTime, intent))
	if result.Err == nil {
		h.digests[intent.GetId()] = result.Plan.GetDigest()
		h.ids = append(h.ids, intent.GetId())
	}
	return result
}

func (h *harness) confirm(id string) *Result {
	return h.apply(EncodeConfirm(h.logTime, &controlv1.ConfirmRequest{IntentId: id, Digest: h.digests[id], Operator: "amel"}))
}

// planAndConfirm plans an intent and confirms its plan.
func (h *harness) planAndConfirm(intent *controlv1.Intent) *Result {
	if result := h.plan(intent); result.Err != nil {
		return result
	}
	return h.confirm(intent.GetId())
}

func (h *harness) announce(agent string, incarnation uint64, endpoints ...*fleetv1.Endpoint) *Result {
	return h.apply(EncodeAnnounce(h.logTime, newAnnouncement(agent, incarnation, endpoints...)))
}

func newAnnouncement(agent string, incarnation uint64, endpoints ...*fleetv1.Endpoint) *controlv1.AnnounceRequest {
	return &controlv1.AnnounceRequest{
		Agent: agent, Host: "host-" + agent, Zone: "sahel-a", Region: "tn-sahel",
		Addr: "10.0.0.1:7000", Incarnation: incarnation, Endpoints: endpoints, Full: true,
	}
}

func newEngine(id string) *fleetv1.Endpoint {
	return &fleetv1.Endpoint{Id: id, Pool: "lilackeel-pool", Kind: fleetv1.EndpointKind_ENDPOINT_KIND_ENGINE, Slots: 8}
}

func newClaimRequest(key, id string, digest byte, agent string, incarnation uint64, endpoint string) *controlv1.ClaimRequest {
	return &controlv1.ClaimRequest{
		Workspace: "ops", Key: key, ClaimId: id, Digest: append(make([]byte, digestBytes-1), digest),
		Agent: agent, Incarnation: incarnation, Endpoint: endpoint,
	}
}

func newWorkspace(name string, importance int32, share float64) *fleetv1.Workspace {
	return &fleetv1.Workspace{Name: name, Importance: importance, GuaranteedShare: share}
}

func pick[T any](rng *rand.Rand, items ...T) T { return items[rng.IntN(len(items))] }

// step applies one random command. It chooses from few names so that commands interact.
func (h *harness) step() {
	h.logTime += h.rng.Int64N(int64(ClaimTTL) / 200)
	agent := pick(h.rng, "a", "b", "c")
	incarnation := 1 + h.rng.Uint64N(4)
	endpoint := pick(h.rng, "e1", "e2", "e3", "e4")
	ref := AgentRef{agent, incarnation}
	group := pick(h.rng, "g1", "g2")
	key := pick(h.rng, "k1", "k2", "k3")
	claimID := pick(h.rng, "x", "y", "z", "v", "w")
	switch h.rng.IntN(16) {
	case 0, 1:
		h.plan(h.randomIntent())
	case 2, 3:
		if len(h.ids) > 0 {
			h.confirm(pick(h.rng, h.ids[max(0, len(h.ids)-4):]...))
		}
	case 4:
		if len(h.ids) > 0 {
			h.apply(EncodeCancel(h.logTime, &controlv1.CancelRequest{IntentId: pick(h.rng, h.ids...)}))
		}
	case 5, 6, 7:
		announced := []*fleetv1.Endpoint{newEngine(endpoint), newEngine("own-" + agent)}
		announced[0].Adapters = pick(h.rng, nil, []string{"legal", "duty"})
		h.announce(agent, incarnation, announced[h.rng.IntN(2):]...)
	case 8:
		h.apply(EncodeExpire(h.logTime, ref))
	case 9, 10:
		h.apply(EncodeClaim(h.logTime, newClaimRequest(key, claimID, 1, agent, incarnation, "own-"+agent)))
	case 11, 12:
		h.apply(EncodeSettle(h.logTime, &controlv1.SettleRequest{
			Workspace: "ops", Key: key, ClaimId: claimID, State: pick(h.rng, answered, notRun, notRun, unknown),
			Answer: &controlv1.Answer{Status: 200, Body: make([]byte, h.rng.IntN(100))},
		}))
	case 13:
		h.apply(EncodeMapBegin(h.logTime, group, h.state.MapRecord(group).GetEpoch()+1, h.rng.Uint64N(9), []byte{byte(h.rng.Uint32())}))
	case 14:
		h.apply(EncodeMapDecide(h.logTime, group, h.state.MapRecord(group).GetEpoch(), h.rng.Uint64N(9), h.rng.IntN(2) == 0, h.rng.Uint64N(100)))
	case 15:
		h.stepRare(ref, endpoint)
	}
}

func (h *harness) stepRare(ref AgentRef, endpoint string) {
	switch h.rng.IntN(5) {
	case 4:
		h.evacuate(pick(h.rng, "sahel-a", "sahel-b"), h.rng.IntN(2) == 0)
	case 0:
		h.apply(EncodeIssueFence(h.logTime))
	case 1:
		h.apply(EncodeDrained(h.logTime, ref, endpoint))
	case 2:
		h.apply(EncodeObserved(h.logTime, ref, &fleetv1.Endpoint{Id: endpoint, Model: "draft", Version: "v1"}))
	case 3:
		if len(h.ids) > 0 {
			h.apply(EncodeIntentDone(h.logTime, pick(h.rng, h.ids...)))
		}
	}
}

func (h *harness) randomIntent() *controlv1.Intent {
	intent := &controlv1.Intent{Id: fmt.Sprintf("i%d", h.rng.IntN(1000))}
	if h.rng.IntN(2) == 0 {
		intent.BaseRevision = h.state.Revision() - min(h.state.Revision(), h.rng.Uint64N(5))
	}
	name := pick(h.rng, "ops", "night", "dawn")
	switch h.rng.IntN(6) {
	case 0, 1:
		intent.Workspaces = []*fleetv1.Workspace{newWorkspace(name, 1+h.rng.Int32N(5), float64(h.rng.IntN(60))/100)}
	case 2:
		intent.RemoveWorkspaces = []string{name}
	case 3:
		intent.Models = []*fleetv1.Model{{Name: pick(h.rng, "draft", "chat"), Pool: "lilackeel-pool", Version: pick(h.rng, "v1", "v2")}}
	case 4:
		intent.Endpoints = []*controlv1.EndpointChange{{
			Id:    pick(h.rng, "e1", "e2", "own-a", "own-b"),
			State: pick(h.rng, serving, leaving, stopped), Role: pick(h.rng, "", "prefill"),
		}}
	case 5:
		intent.Policies = []*fleetv1.BalancePolicy{{Group: "g1", Evenness: h.rng.Float64()}}
	}
	return intent
}

// applyDelta applies a delta to a configuration, as a daemon does.
func applyDelta(configuration *fleetv1.Configuration, delta *fleetv1.Delta) {
	configuration.Revision = delta.GetToRevision()
	configuration.Workspaces = mergeByName(configuration.GetWorkspaces(), delta.GetWorkspaces(), delta.GetRemovedWorkspaces(), (*fleetv1.Workspace).GetName)
	configuration.Models = mergeByName(configuration.GetModels(), delta.GetModels(), delta.GetRemovedModels(), (*fleetv1.Model).GetName)
	configuration.Endpoints = mergeByName(configuration.GetEndpoints(), delta.GetEndpoints(), delta.GetRemovedEndpoints(), (*fleetv1.Endpoint).GetId)
	configuration.Policies = mergeByName(configuration.GetPolicies(), delta.GetPolicies(), nil, (*fleetv1.BalancePolicy).GetGroup)
	configuration.Maps = mergeByName(configuration.GetMaps(), delta.GetMaps(), nil, (*fleetv1.MapRecord).GetGroup)
}

func mergeByName[M any](old, changed []M, removed []string, name func(M) string) []M {
	table := make(map[string]M)
	for _, item := range old {
		table[name(item)] = item
	}
	for _, item := range changed {
		table[name(item)] = item
	}
	for _, key := range removed {
		delete(table, key)
	}
	var result []M
	for _, key := range sortedKeys(table) {
		result = append(result, table[key])
	}
	return result
}

// TestReplicasAgree checks that replicas that apply the same log, from the start or from a
// snapshot, have identical snapshots; that deltas lead to the same configuration as a full
// read; that a command increases the revision by at most one; and that a confirmed intent
// keeps the revision that it created.
func TestReplicasAgree(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Restart, proof.RestartAfterManyChanges}, Step: "replica that starts from a snapshot after hundreds of commands", Combined: true,
		Guard: "wanted states of endpoints in the snapshot"}.Log(t)
	proof.Cell{Promise: proof.OneMapPerStep, Faults: []proof.Fault{proof.Restart, proof.RestartAfterManyChanges}, Step: "record of an expert map in a replica that starts from a snapshot", Combined: true,
		Guard: "maps and their fencing tokens in the snapshot, each alone"}.Log(t)
	proof.Cell{Promise: proof.AtMostOnce, Faults: []proof.Fault{proof.Restart, proof.RestartAfterManyChanges}, Step: "claims in a replica that starts from a snapshot", Combined: true,
		Guard: "claims in the snapshot"}.Log(t)
	proof.Cell{Promise: proof.ResponseIntegrity, Faults: []proof.Fault{proof.Restart, proof.RestartAfterManyChanges}, Step: "recorded answers in a replica that starts from a snapshot", Combined: true,
		Guard: "answers in the snapshot"}.Log(t)
	proof.Cell{Promise: proof.Leaving, Faults: []proof.Fault{proof.Restart, proof.RestartAfterManyChanges}, Step: "leaving endpoints in a replica that starts from a snapshot", Combined: true,
		Guard: "wanted states of endpoints in the snapshot"}.Log(t)
	for seed := range uint64(30) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(seed)
			restored, replayed := NewState(), NewState()
			for _, replica := range []*State{h.state, restored, replayed} {
				replica.claims.answerLimit = 1 // so that claims are retired
			}
			restoredAt := 0
			follower := &fleetv1.Configuration{}
			confirmed := map[string]uint64{}
			for range 1500 {
				before := h.state.Revision()
				h.step()
				after := h.state.Revision()
				is.True(after == before || after == before+1)
				for id, revision := range confirmed {
					is.Equal(h.state.Intent(id).GetRevision(), revision)
				}
				for _, entry := range h.state.History(3, "") {
					if entry.GetState() == controlv1.IntentState_INTENT_STATE_CONFIRMED {
						confirmed[entry.GetIntent().GetId()] = entry.GetRevision()
					}
				}
				if h.rng.IntN(10) == 0 {
					delta, ok := h.state.DeltaSince(follower.GetRevision())
					is.True(ok)
					applyDelta(follower, delta)
					is.True(proto.Equal(follower, h.state.Configuration()))
				}
				if h.rng.IntN(100) == 0 {
					data, err := h.state.Snapshot()
					is.NoErr(err)
					is.NoErr(restored.Restore(data))
					restoredAt = len(h.log)
				}
			}
			h.replay(replayed, 0)
			h.replay(restored, restoredAt)
			want, _ := h.state.Snapshot()
			for _, replica := range []*State{replayed, restored} {
				got, err := replica.Snapshot()
				is.NoErr(err)
				is.True(string(got) == string(want))
			}
			is.True(len(confirmed) > 10)
		})
	}
}

// TestLogTimeIsMonotonic checks that neither an old command nor a clock step moves log time
// back, and that a claim is kept for its TTL in log time.
func TestLogTimeIsMonotonic(t *testing.T) {
	proof.Cell{Promise: proof.AtMostOnce, Faults: []proof.Fault{proof.ClockStep}, Step: "TTL of a claim",
		Guard: "the lower bound in LogClock.At, and log time that only increases, each alone"}.Log(t)
	is := is.New(t)
	start := time.Now()
	clock := NewLogClock(1000, start)
	is.Equal(clock.At(start.Add(5*time.Nanosecond)), int64(1005))
	is.Equal(clock.At(start.Add(-time.Hour)), int64(1000))
	h := newHarness(1)
	h.announce("a", 1, newEngine("e1"))
	h.logTime = int64(time.Hour)
	is.True(h.apply(EncodeClaim(h.logTime, newClaimRequest("k", "x", 1, "a", 1, "e1"))).Granted)
	h.logTime = 0
	h.apply(EncodeIssueFence(h.logTime))
	is.Equal(h.state.LogTime(), int64(time.Hour))
	h.logTime = int64(time.Hour+ClaimTTL) - 1
	is.True(!h.apply(EncodeClaim(h.logTime, newClaimRequest("k", "y", 1, "a", 1, "e1"))).Granted)
	h.logTime++
	is.True(h.apply(EncodeClaim(h.logTime, newClaimRequest("k", "y", 1, "a", 1, "e1"))).Granted)
}
