package gate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/proof"
)

const (
	histories     = 400
	historySteps  = 600
	historyWindow = 40 * time.Millisecond
)

// history is one random sequence of claims, messages and restarts. Messages are
// never removed from the network, so each can arrive late, duplicated and
// reordered.
type history struct {
	t         *testing.T
	rng       *rand.Rand
	now       time.Duration
	base      time.Duration
	gate      *Gate
	messages  []*agentv1.DispatchRequest
	running   []*agentv1.DispatchRequest
	starts    map[string]int
	neverRuns map[string]bool
	counts    map[string]int
}

func (h *history) restart() {
	h.base = time.Duration(1 + h.rng.Int64N(1<<40))
	limits := Limits{Freshness: time.Hour, AdmissionWindow: historyWindow, Claims: 1 + h.rng.IntN(8), AnswerBytes: 100}
	h.gate = New(h.rng.Uint64()|1, limits, []Endpoint{{ID: "e"}})
	h.gate.Configure(1, map[string]fleetv1.EndpointState{"e": fleetv1.EndpointState_ENDPOINT_STATE_SERVING})
	h.gate.Confirm(1, h.clock())
	h.running = nil
}

func (h *history) clock() time.Duration { return h.base + h.now }

func (h *history) step() {
	h.now += time.Duration(h.rng.IntN(int(historyWindow / 8)))
	switch choice := h.rng.IntN(100); {
	case choice < 30:
		h.claim()
	case choice < 65:
		h.deliver()
	case choice < 80:
		h.finish()
	case choice < 98:
		h.revoke()
	default:
		h.restart()
	}
}

// claim sends a dispatch whose ticket is up to half a window old; half of the
// claim ids contain their ticket.
func (h *history) claim() {
	ticket := int64(max(h.clock()-time.Duration(h.rng.Int64N(int64(historyWindow/2))), h.base))
	id := fmt.Sprintf("c%d", len(h.messages))
	if h.rng.IntN(2) == 0 {
		id = ClaimID(id, ticket)
	}
	h.messages = append(h.messages, &agentv1.DispatchRequest{
		ClaimId: id, Endpoint: "e", Incarnation: h.gate.Incarnation(), ClaimTicketNs: ticket,
	})
}

// pick picks a message and prefers recent ones, so that both recent and very late ones occur.
func (h *history) pick() *agentv1.DispatchRequest {
	if len(h.messages) == 0 {
		return nil
	}
	index := len(h.messages) - 1 - min(int(h.rng.ExpFloat64()*5), len(h.messages)-1)
	return h.messages[index]
}

func (h *history) deliver() {
	d := h.pick()
	if d == nil {
		return
	}
	verdict := h.gate.Admit(h.clock(), d)
	h.counts[fmt.Sprintf("verdict %d", verdict.Decision)]++
	switch verdict.Decision {
	case Admit:
		h.starts[d.GetClaimId()]++
		h.running = append(h.running, d)
	case Refuse:
		if verdict.Fault.Kind != fault.Fenced || d.GetIncarnation() == h.gate.Incarnation() {
			h.neverRuns[d.GetClaimId()] = true
		}
	}
}

func (h *history) finish() {
	if len(h.running) == 0 {
		return
	}
	i := h.rng.IntN(len(h.running))
	d := h.running[i]
	h.running = append(h.running[:i], h.running[i+1:]...)
	outcome := []Outcome{Complete, Complete, Incomplete, NotRun}[h.rng.IntN(4)]
	if outcome == NotRun { // the endpoint refused the connection
		h.starts[d.GetClaimId()]--
		h.neverRuns[d.GetClaimId()] = true
	}
	h.gate.Finish(h.clock(), d, outcome, &controlv1.Answer{Status: 200, Body: make([]byte, 40)})
}

func (h *history) revoke() {
	d := h.pick()
	if d == nil {
		return
	}
	state := h.gate.Revoke(h.clock(), &agentv1.RevokeRequest{ClaimId: d.GetClaimId(), Incarnation: d.GetIncarnation()}).GetState()
	h.counts[state.String()]++
	if state == agentv1.RevokeState_REVOKE_STATE_NOT_RUN {
		h.neverRuns[d.GetClaimId()] = true
	}
}

func (h *history) check(seed uint64) {
	for id, starts := range h.starts {
		if starts > 1 {
			h.t.Fatalf("seed %d: claim %s started %d times", seed, id, starts)
		}
		if starts > 0 && h.neverRuns[id] {
			h.t.Fatalf("seed %d: claim %s started although it was reported as not run", seed, id)
		}
	}
}

// Guards against a claim that starts more than once over all incarnations, or
// that starts although it was refused or revoked as not run, with late,
// duplicated and reordered messages.
func TestClaimStartsAtMostOnce(t *testing.T) {
	proof.Cell{
		Promise: proof.AtMostOnce, Faults: []proof.Fault{proof.DelayedMessages, proof.DuplicatedMessages, proof.ReorderedMessages, proof.Restart}, Step: "dispatch, end and revocation of a claim at the gate, in any order",
		Guard: "claims.repeat, checkTicket, floor, horizon, closing on refusal and on revocation, each alone", Combined: true,
	}.Log(t)
	proof.Cell{
		Promise: proof.NotRun, Faults: []proof.Fault{proof.DelayedMessages, proof.DuplicatedMessages, proof.ReorderedMessages, proof.Restart}, Step: "dispatch, end and revocation of a claim at the gate, in any order",
		Guard: "claims.repeat, checkTicket, floor, horizon, closing on refusal and on revocation, each alone", Combined: true,
	}.Log(t)
	counts := make(map[string]int)
	for seed := range uint64(histories) {
		h := &history{t: t, rng: rand.New(rand.NewPCG(seed, 1)), starts: map[string]int{}, neverRuns: map[string]bool{}, counts: counts}
		h.restart()
		for range historySteps {
			h.step()
			h.check(seed)
		}
	}
	t.Log(counts)
	is := is.New(t)
	for _, state := range agentv1.RevokeState_name {
		is.True(state == "REVOKE_STATE_UNSPECIFIED" || counts[state] > 0) // every revoke state occurs
	}
	for _, decision := range []Decision{Refuse, Admit, Running, Answered, Unknown} {
		is.True(counts[fmt.Sprintf("verdict %d", decision)] > 0) // every decision occurs
	}
}
