package contract

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/proof"
)

func (h *harness) settle(key, id string, state controlv1.ClaimState, body ...byte) *Result {
	return h.apply(EncodeSettle(h.logTime, &controlv1.SettleRequest{
		Workspace: "ops", Key: key, ClaimId: id, State: state,
		Answer: &controlv1.Answer{Status: 200, Body: body},
	}))
}

func (h *harness) claim(key, id string, digest byte) *Result {
	return h.apply(EncodeClaim(h.logTime, newClaimRequest(key, id, digest, "a", 1, "e1")))
}

// TestClaimKeyHasAtMostOneHolder applies random resent, delayed and reordered claims and
// settlements. A second claim id is granted a key only after the first was settled as
// not run, a used id is never granted again, and a final outcome does not change.
func TestClaimKeyHasAtMostOneHolder(t *testing.T) {
	proof.Cell{Promise: proof.AtMostOnce, Faults: []proof.Fault{proof.Restart, proof.DelayedMessages, proof.DuplicatedMessages, proof.ReorderedMessages, proof.RestartAfterManyChanges}, Step: "claims and settlements of one key", Combined: true,
		Guard: "each alone: one holder of a key, used claim ids, both of them in the snapshot"}.Log(t)
	for seed := range uint64(50) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(seed)
			h.announce("a", 1, newEngine("e1"))
			holder, state := "", notRun
			usedUp := map[string]bool{}
			final := 0
			for range 400 {
				if h.rng.IntN(20) == 0 {
					restoreFromSnapshot(h)
				}
				id := fmt.Sprintf("c%d", h.rng.IntN(6))
				if h.rng.IntN(2) == 0 {
					previousHolder, wasClaimable := holder, state == notRun
					result := h.claim("k", id, 1)
					if result.Granted && id != previousHolder {
						is.True(wasClaimable)
						is.True(!usedUp[id])
						holder, state = id, granted
					}
					is.Equal(result.Claim.GetClaimId(), holder)
					is.True(!result.Granted || id == holder && state != notRun)
				} else {
					next := pick(h.rng, answered, notRun, notRun, notRun, unknown)
					result := h.settle("k", id, next)
					if holder == "" {
						is.Equal(result.Err.Kind, fault.NotFound)
						continue
					}
					if id == holder && (state == granted || state == unknown && next == answered) {
						state = next
					}
					usedUp[holder] = usedUp[holder] || state == notRun
					is.Equal(result.Claim.GetState(), state)
				}
				if state == answered || state == unknown {
					final++
				}
			}
			is.True(holder != "")
			is.True(final > 0 || len(usedUp) > 0)
		})
	}
}

// TestClaimRequiresCurrentAgent checks that no claim is granted for an endpoint that
// would not admit the call, and that a key already used for another request is refused.
func TestClaimRequiresCurrentAgent(t *testing.T) {
	proof.Cell{Promise: proof.AtMostOnce, Faults: []proof.Fault{proof.DelayedMessages, proof.Restart}, Step: "claim that names a superseded incarnation of its agent", Combined: true,
		Guard: "the check of the incarnation in newClaim"}.Log(t)
	proof.Cell{Promise: proof.Leaving, Faults: []proof.Fault{proof.DelayedMessages}, Step: "claim by an entry that does not yet know that the endpoint is leaving",
		Guard: "the check of the endpoint's state in newClaim"}.Log(t)
	is := is.New(t)
	h := newHarness(1)
	h.announce("a", 1, newEngine("e1"), newEngine("e2"))
	is.True(h.claim("k", "x", 1).Granted)
	is.True(h.claim("k", "x", 1).Granted)
	is.Equal(h.claim("k", "y", 2).Err.Kind, fault.KeyReused)
	is.Equal(h.claim("k", "y", 1).Granted, false)

	h.planAndConfirm(&controlv1.Intent{Id: "leave", Endpoints: []*controlv1.EndpointChange{{Id: "e1", State: leaving}}})
	is.Equal(h.claim("k2", "x", 1).Err.Kind, fault.Leaving)
	is.True(h.claim("k", "x", 1).Granted) // a resent claim gets the same result
	onE2 := func(key string, incarnation uint64) *Result {
		return h.apply(EncodeClaim(h.logTime, newClaimRequest(key, "x", 1, "a", incarnation, "e2")))
	}
	is.True(onE2("k3", 1).Granted)
	h.apply(EncodeExpire(h.logTime, AgentRef{"a", 1}))
	is.Equal(onE2("k4", 1).Err.Kind, fault.Unavailable)
	h.announce("a", 2, newEngine("e1"), newEngine("e2"))
	is.Equal(onE2("k4", 1).Err.Kind, fault.Fenced)
	is.True(onE2("k4", 2).Granted)
	is.Equal(h.apply(EncodeClaim(0, newClaimRequest("k5", "x", 1, "a", 2, "e9"))).Err.Kind, fault.Stale)
}

// TestClaimLimits checks the limits on the size of one answer, on the total size of
// answers and on the number of claims, and that a dropped answer is marked as truncated.
func TestClaimLimits(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.state.claims.limit = 4
	h.announce("a", 1, newEngine("e1"))
	for _, key := range []string{"k1", "k2", "k3", "k4"} {
		is.True(h.claim(key, "x", 1).Granted)
	}
	is.Equal(h.claim("k5", "x", 1).Err.Kind, fault.Overloaded)
	is.True(h.claim("k5", "x", 1).Err.RetryAfter > 0)
	is.True(h.settle("k1", "x", answered, make([]byte, MaxAnswerBytes+1)...).Claim.GetAnswer().GetTruncated())
	h.state.claims.answerByteLimit = 100
	h.settle("k2", "x", answered, make([]byte, 60)...)
	is.Equal(len(h.state.Claim("ops", "k2").GetAnswer().GetBody()), 60)
	h.settle("k3", "x", answered, make([]byte, 60)...)
	is.True(h.state.Claim("ops", "k2").GetAnswer().GetTruncated())
	is.Equal(h.state.ClaimCounts(), ClaimCounts{Total: 4, Granted: 1, Answered: 3, Retired: 2, AnswerBytes: 60})
	is.Equal(h.claim("k5", "x", 1).Err.Kind, fault.Overloaded) // retired claims count
	h.state.claims.limit, h.state.claims.unretiredLimit = 5, 2
	is.Equal(h.claim("k5", "x", 1).Err.Kind, fault.Overloaded)
	h.state.claims.unretiredLimit = 3
	is.True(h.claim("k5", "x", 1).Granted)

	h.logTime += int64(ClaimTTL + time.Second)
	h.apply(EncodeIssueFence(h.logTime))
	is.Equal(h.state.ClaimCounts(), ClaimCounts{})
}

// TestRetiredClaimStillHoldsKey checks that a key whose answer is no longer recorded is
// not granted again within its TTL, also after a restart from a snapshot. A retry learns
// that the call ran, a resent claim of the holder learns that it holds the key, and a key
// used with another request is refused. Some answers arrive long after the
// grant, so that claims do not expire in the order in which they were retired.
func TestRetiredClaimStillHoldsKey(t *testing.T) {
	is := is.New(t)
	type holder struct {
		id      string
		granted int64
		late    bool
	}
	h := newHarness(7)
	h.state.claims.answerLimit = 2
	h.announce("a", 1, newEngine("e1"))
	holders := map[string]holder{}
	retired := 0
	for i := range 5000 {
		h.logTime += int64(time.Hour) / 10
		key, id := fmt.Sprintf("k%d", h.rng.IntN(150)), fmt.Sprintf("c%d", i)
		held, known := holders[key]
		live := known && h.logTime < held.granted+int64(ClaimTTL)
		result := h.claim(key, id, 1)
		is.Equal(result.Granted, !live)
		is.Equal(len(result.Claim.GetDigest()), digestBytes)
		switch {
		case result.Granted:
			held = holder{id, h.logTime, h.rng.IntN(3) == 0}
			if held.late {
				h.settle(key, id, unknown)
			} else {
				h.settle(key, id, answered, 1, 2, 3)
			}
			holders[key] = held
		case held.late && h.logTime < held.granted+int64(ClaimTTL)*3/4:
			is.Equal(result.Claim.GetState(), unknown)
		case held.late:
			is.Equal(h.settle(key, held.id, answered, 1, 2, 3).Claim.GetState(), answered)
			holders[key] = holder{held.id, held.granted, false}
		default:
			is.Equal(result.Claim.GetState(), answered)
			is.Equal(result.Claim.GetAnswer().GetStatus(), int32(200))
			is.Equal(h.claim(key, id, 2).Err.Kind, fault.KeyReused)
			is.True(h.claim(key, held.id, 1).Granted)
			is.True(h.settle(key, held.id, notRun).Granted) // changes nothing
			is.True(!h.settle(key, id, notRun).Granted)
			is.Equal(h.state.Claim("ops", key).GetState(), answered)
			if result.Claim.GetAnswer().GetTruncated() {
				retired++
			}
		}
		if i%500 == 499 {
			data, err := h.state.Snapshot()
			is.NoErr(err)
			counts := h.state.ClaimCounts()
			is.NoErr(h.state.Restore(data))
			is.Equal(h.state.ClaimCounts(), counts)
		}
	}
	is.True(retired > 500)
	h.logTime += int64(ClaimTTL)
	for range 10 { // each command expires a bounded number
		h.apply(EncodeIssueFence(h.logTime))
	}
	is.Equal(h.state.ClaimCounts(), ClaimCounts{})
	is.Equal(len(h.state.claims.retired.index), 0)
}
