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

// history makes a log, applies it to a state and keeps it for other replicas.
type history struct {
	state   *State
	rng     *rand.Rand
	logTime int64
	log     [][]byte
	// digests are the plans seen, by intent id.
	digests map[string]string
	ids     []string
}

func newHistory(seed uint64) *history {
	return &history{state: NewState(), rng: rand.New(rand.NewPCG(seed, 0)), digests: map[string]string{}}
}

// apply logs a command and returns its result.
func (h *history) apply(data []byte, err error) *Result {
	if err != nil {
		panic(err)
	}
	h.log = append(h.log, data)
	return h.state.Apply(uint64(len(h.log)), 1, data).(*Result)
}

// replay applies the log after the first n entries to a replica.
func (h *history) replay(replica *State, n int) {
	for i := n; i < len(h.log); i++ {
		replica.Apply(uint64(i+1), 1, h.log[i])
	}
}

func (h *history) plan(intent *controlv1.Intent) *Result {
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

func (h *history) confirm(id string) *Result {
	return h.apply(EncodeConfirm(h.logTime, &controlv1.ConfirmRequest{IntentId: id, Digest: h.digests[id], Operator: "amel"}))
}

// accept plans and confirms.
func (h *history) accept(intent *controlv1.Intent) *Result {
	if result := h.plan(intent); result.Err != nil {
		return result
	}
	return h.confirm(intent.GetId())
}

func (h *history) announce(agent string, incarnation uint64, endpoints ...*fleetv1.Endpoint) *Result {
	return h.apply(EncodeAnnounce(h.logTime, announcementOf(agent, incarnation, endpoints...)))
}

func announcementOf(agent string, incarnation uint64, endpoints ...*fleetv1.Endpoint) *controlv1.AnnounceRequest {
	return &controlv1.AnnounceRequest{
		Agent: agent, Host: "host-" + agent, Zone: "sahel-a", Region: "tn-sahel",
		Addr: "10.0.0.1:7000", Incarnation: incarnation, Endpoints: endpoints, Full: true,
	}
}

func engine(id string) *fleetv1.Endpoint {
	return &fleetv1.Endpoint{Id: id, Pool: "lilackeel-pool", Kind: fleetv1.EndpointKind_ENDPOINT_KIND_ENGINE, Slots: 8}
}

func claimOf(key, id string, digest byte, agent string, incarnation uint64, endpoint string) *controlv1.ClaimRequest {
	return &controlv1.ClaimRequest{
		Workspace: "ops", Key: key, ClaimId: id, Digest: append(make([]byte, digestBytes-1), digest),
		Agent: agent, Incarnation: incarnation, Endpoint: endpoint,
	}
}

func workspace(name string, importance int32, share float64) *fleetv1.Workspace {
	return &fleetv1.Workspace{Name: name, Importance: importance, GuaranteedShare: share}
}

func pick[T any](rng *rand.Rand, items ...T) T { return items[rng.IntN(len(items))] }

// step applies one random command, of few names, so that they meet.
func (h *history) step() {
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
		announced := []*fleetv1.Endpoint{engine(endpoint), engine("own-" + agent)}
		announced[0].Adapters = pick(h.rng, nil, []string{"legal", "duty"})
		h.announce(agent, incarnation, announced[h.rng.IntN(2):]...)
	case 8:
		h.apply(EncodeExpire(h.logTime, ref))
	case 9, 10:
		h.apply(EncodeClaim(h.logTime, claimOf(key, claimID, 1, agent, incarnation, "own-"+agent)))
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
		h.applyRare(ref, endpoint)
	}
}

func (h *history) applyRare(ref AgentRef, endpoint string) {
	switch h.rng.IntN(4) {
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

func (h *history) randomIntent() *controlv1.Intent {
	intent := &controlv1.Intent{Id: fmt.Sprintf("i%d", h.rng.IntN(1000))}
	if h.rng.IntN(2) == 0 {
		intent.BaseRevision = h.state.Revision() - min(h.state.Revision(), h.rng.Uint64N(5))
	}
	name := pick(h.rng, "ops", "night", "dawn")
	switch h.rng.IntN(6) {
	case 0, 1:
		intent.Workspaces = []*fleetv1.Workspace{workspace(name, 1+h.rng.Int32N(5), float64(h.rng.IntN(60))/100)}
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

// patch applies a delta to a configuration, as a daemon does.
func patch(configuration *fleetv1.Configuration, delta *fleetv1.Delta) {
	configuration.Revision = delta.GetToRevision()
	configuration.Workspaces = patched(configuration.GetWorkspaces(), delta.GetWorkspaces(), delta.GetRemovedWorkspaces(), (*fleetv1.Workspace).GetName)
	configuration.Models = patched(configuration.GetModels(), delta.GetModels(), delta.GetRemovedModels(), (*fleetv1.Model).GetName)
	configuration.Endpoints = patched(configuration.GetEndpoints(), delta.GetEndpoints(), delta.GetRemovedEndpoints(), (*fleetv1.Endpoint).GetId)
	configuration.Policies = patched(configuration.GetPolicies(), delta.GetPolicies(), nil, (*fleetv1.BalancePolicy).GetGroup)
	configuration.Maps = patched(configuration.GetMaps(), delta.GetMaps(), nil, (*fleetv1.MapRecord).GetGroup)
}

func patched[M any](old, changed []M, removed []string, name func(M) string) []M {
	table := make(map[string]M)
	for _, each := range old {
		table[name(each)] = each
	}
	for _, each := range changed {
		table[name(each)] = each
	}
	for _, each := range removed {
		delete(table, each)
	}
	var result []M
	for _, key := range sortedKeys(table) {
		result = append(result, table[key])
	}
	return result
}

// TestReplicasAgree: two replicas with one log hold the same bytes; so does one
// that starts from any snapshot; deltas lead to the same configuration as the
// whole; a revision grows by at most one a command; and a confirmed intent stays
// confirmed as the revision that it made.
func TestReplicasAgree(t *testing.T) {
	proof.Cell{Promise: proof.Configuration, Faults: []proof.Fault{proof.Restart, proof.ManyChanges}, Step: "replica that starts from a snapshot after hundreds of commands", Together: true,
		Guard: "decided states of endpoints in the snapshot"}.Log(t)
	proof.Cell{Promise: proof.OneMap, Faults: []proof.Fault{proof.Restart, proof.ManyChanges}, Step: "record of an expert map in a replica that starts from a snapshot", Together: true,
		Guard: "maps and their fencing tokens in the snapshot, each alone"}.Log(t)
	proof.Cell{Promise: proof.AtMostOnce, Faults: []proof.Fault{proof.Restart, proof.ManyChanges}, Step: "claims in a replica that starts from a snapshot", Together: true,
		Guard: "claims in the snapshot"}.Log(t)
	proof.Cell{Promise: proof.OwnAnswer, Faults: []proof.Fault{proof.Restart, proof.ManyChanges}, Step: "recorded answers in a replica that starts from a snapshot", Together: true,
		Guard: "answers in the snapshot"}.Log(t)
	proof.Cell{Promise: proof.Leaving, Faults: []proof.Fault{proof.Restart, proof.ManyChanges}, Step: "leaving endpoints in a replica that starts from a snapshot", Together: true,
		Guard: "decided states of endpoints in the snapshot"}.Log(t)
	for seed := range uint64(30) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			is := is.New(t)
			h := newHistory(seed)
			late, whole := NewState(), NewState()
			for _, replica := range []*State{h.state, late, whole} {
				replica.claims.answerLimit = 1 // so that claims are retired
			}
			lateFrom := 0
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
					patch(follower, delta)
					is.True(proto.Equal(follower, h.state.Configuration()))
				}
				if h.rng.IntN(100) == 0 {
					data, err := h.state.Snapshot()
					is.NoErr(err)
					is.NoErr(late.Restore(data))
					lateFrom = len(h.log)
				}
			}
			h.replay(whole, 0)
			h.replay(late, lateFrom)
			want, _ := h.state.Snapshot()
			for _, replica := range []*State{whole, late} {
				got, err := replica.Snapshot()
				is.NoErr(err)
				is.True(string(got) == string(want))
			}
			is.True(len(confirmed) > 10)
		})
	}
}

// TestLogTimeOnlyGrows: neither an old command nor a clock step moves it back,
// and a claim lasts its TTL in log time.
func TestLogTimeOnlyGrows(t *testing.T) {
	proof.Cell{Promise: proof.AtMostOnce, Faults: []proof.Fault{proof.ClockStep}, Step: "TTL of a claim",
		Guard: "the bound in LogClock.At, and log time that only grows, each alone"}.Log(t)
	is := is.New(t)
	start := time.Now()
	clock := NewLogClock(1000, start)
	is.Equal(clock.At(start.Add(5*time.Nanosecond)), int64(1005))
	is.Equal(clock.At(start.Add(-time.Hour)), int64(1000))
	h := newHistory(1)
	h.announce("a", 1, engine("e1"))
	h.logTime = int64(time.Hour)
	is.True(h.apply(EncodeClaim(h.logTime, claimOf("k", "x", 1, "a", 1, "e1"))).Granted)
	h.logTime = 0
	h.apply(EncodeIssueFence(h.logTime))
	is.Equal(h.state.LogTime(), int64(time.Hour))
	h.logTime = int64(time.Hour+ClaimTTL) - 1
	is.True(!h.apply(EncodeClaim(h.logTime, claimOf("k", "y", 1, "a", 1, "e1"))).Granted)
	h.logTime++
	is.True(h.apply(EncodeClaim(h.logTime, claimOf("k", "y", 1, "a", 1, "e1"))).Granted)
}
