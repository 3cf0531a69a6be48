package call_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/gate"
)

// simulation runs two entries, one agent with a real gate, one service and the real claim
// table in virtual time. Messages are delayed, duplicated, misdelivered or lost; entries
// and the agent crash, and entries freeze.
type simulation struct {
	rng   *rand.Rand
	now   time.Duration
	queue eventQueue
	seq   int
	// faultRate is the probability of each fault.
	faultRate float64

	control *contract.State
	applied uint64
	// leaderlessUntil is when the control replicas have a leader again.
	leaderlessUntil time.Duration

	gate        *gate.Gate
	incarnation uint64
	clockBase   time.Duration
	entries     [2]*entryProcess
	exchanges   []*exchange
	// runs maps each key to the claims under which it ran.
	runs map[string][]string
	// faultsByState counts the faults by kind and by the action that the exchange was
	// performing.
	faultsByState map[string]int
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// entryProcess is one entry. Events for it are deferred while it is frozen.
type entryProcess struct {
	frozenUntil time.Duration
	// Messages that it sends are lost until sendLostUntil, messages to it until
	// receiveLostUntil.
	sendLostUntil, receiveLostUntil time.Duration
	generation                      int
}

const (
	serviceID = "roster-1"
	agentName = "agent-1"
)

func newSimulation(seed uint64, faultRate float64) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 7)), faultRate: faultRate, control: contract.NewState(), runs: map[string][]string{}, faultsByState: map[string]int{}}
	for i := range sim.entries {
		sim.entries[i] = &entryProcess{}
	}
	sim.startAgent()
	intent := &controlv1.Intent{Id: "serve", Operator: "amel", Endpoints: []*controlv1.EndpointChange{{Id: serviceID, State: fleetv1.EndpointState_ENDPOINT_STATE_SERVING}}}
	planned := sim.apply(contract.EncodePlan(0, intent))
	sim.apply(contract.EncodeConfirm(0, &controlv1.ConfirmRequest{IntentId: "serve", Digest: planned.Plan.GetDigest(), Operator: "amel"}))
	return sim
}

func (sim *simulation) apply(data []byte, err error) *contract.Result {
	if err != nil {
		panic(err)
	}
	sim.applied++
	return sim.control.Apply(sim.applied, 1, data).(*contract.Result)
}

func (sim *simulation) startAgent() {
	sim.incarnation++
	sim.clockBase = time.Duration(1 + sim.rng.Int64N(1<<50))
	sim.gate = gate.New(sim.incarnation, gate.DefaultLimits(), []gate.Endpoint{{ID: serviceID}})
	sim.gate.Configure(1, map[string]fleetv1.EndpointState{serviceID: fleetv1.EndpointState_ENDPOINT_STATE_SERVING})
	sim.apply(contract.EncodeAnnounce(int64(sim.now), &controlv1.AnnounceRequest{
		Agent: agentName, Host: "host-1", Zone: "sahel-a", Region: "tn-sahel", Addr: "10.0.0.1:7000", Incarnation: sim.incarnation, Full: true,
		Endpoints: []*fleetv1.Endpoint{{Id: serviceID, Pool: "roster-api", Kind: fleetv1.EndpointKind_ENDPOINT_KIND_SERVICE, Slots: 8}},
	}))
}

func (sim *simulation) agentTime() time.Duration { return sim.clockBase + sim.now }

func (sim *simulation) withProbability(p float64) bool { return sim.rng.Float64() < p }

func (sim *simulation) after(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.queue, event{sim.now + d, sim.seq, do})
}

// send delivers a message: with a delay, twice or not at all. A duplicate can have a very
// long delay.
func (sim *simulation) send(do func()) {
	if sim.withProbability(sim.faultRate) {
		return
	}
	sim.after(sim.delay(), do)
	if sim.withProbability(sim.faultRate) {
		sim.after(sim.delay()*time.Duration(1+sim.rng.IntN(1000)), do)
	}
}

func (sim *simulation) delay() time.Duration {
	d := time.Millisecond + time.Duration(sim.rng.Int64N(int64(3*time.Millisecond)))
	if sim.withProbability(sim.faultRate) {
		d *= time.Duration(1 + sim.rng.IntN(2000))
	}
	return d
}

// runAll processes events until none is left.
func (sim *simulation) runAll() {
	for sim.queue.Len() > 0 {
		next := heap.Pop(&sim.queue).(event)
		sim.now = max(sim.now, next.at)
		sim.gate.Confirm(1, sim.agentTime())
		next.run()
	}
}

// sendRequest sends a request of a caller to an entry.
func (sim *simulation) sendRequest(process int, key, body string, timeout time.Duration) *exchange {
	p := sim.entries[process]
	x := &exchange{sim: sim, process: p, generation: p.generation, key: key, body: body, deadline: sim.now + timeout}
	x.machine = call.NewAtMostOnce(call.AtMostOnceOptions{
		Options: call.Options{
			RequestID: fmt.Sprintf("r%d", len(sim.exchanges)), Deadline: x.deadline, Policy: &call.DefaultPolicy,
			Budget: call.NewBudget(call.DefaultBudget), Rand: sim.rng,
		},
		Workspace: "ops", Key: key, Digest: call.Digest("POST", "/swap", []byte(body)), CallerKey: true,
		ClaimIDPrefix: fmt.Sprintf("u%d", len(sim.exchanges)),
	})
	sim.exchanges = append(sim.exchanges, x)
	x.takeAction(x.machine.Start(sim.now))
	return x
}

// receiveDispatch handles a dispatch at the agent.
func (sim *simulation) receiveDispatch(x *exchange, d *agentv1.DispatchRequest) {
	verdict := sim.gate.Admit(sim.agentTime(), d)
	switch verdict.Decision {
	case gate.Admit:
		sim.runOnService(x, d)
	case gate.Running:
		sim.after(10*time.Millisecond, func() { sim.receiveDispatch(x, d) })
	case gate.Answered:
		sim.reply(x, d, answerResponses(verdict.Answer)...)
	case gate.Unknown:
		sim.reply(x, d, &agentv1.DispatchResponse{Kind: &agentv1.DispatchResponse_Broken{Broken: &agentv1.Broken{MayHaveRun: true}}})
	default:
		sim.reply(x, d, &agentv1.DispatchResponse{Kind: &agentv1.DispatchResponse_Refused{Refused: &agentv1.Refused{
			Kind: string(verdict.Fault.Kind), Message: verdict.Fault.Message, Remedy: verdict.Fault.Remedy,
		}}})
	}
}

// runOnService runs the call on the service. If the agent restarts in the meantime, the
// answer is lost.
func (sim *simulation) runOnService(x *exchange, d *agentv1.DispatchRequest) {
	g, incarnation := sim.gate, sim.incarnation
	sim.after(time.Millisecond, func() {
		sim.runs[x.key] = append(sim.runs[x.key], d.GetClaimId())
		service := time.Duration(sim.rng.Int64N(int64(100 * time.Millisecond)))
		if sim.withProbability(sim.faultRate) {
			service *= 100
		}
		sim.after(service, func() {
			if incarnation != sim.incarnation {
				return
			}
			if sim.withProbability(sim.faultRate) {
				g.Finish(sim.agentTime(), d, gate.Incomplete, nil)
				sim.reply(x, d, &agentv1.DispatchResponse{Kind: &agentv1.DispatchResponse_Broken{Broken: &agentv1.Broken{MayHaveRun: true}}})
				return
			}
			answer := &controlv1.Answer{Status: 200, Body: []byte("done " + x.key + " " + string(d.GetBody()))}
			g.Finish(sim.agentTime(), d, gate.Complete, answer)
			sim.reply(x, d, answerResponses(answer)...)
		})
	})
}

func answerResponses(a *controlv1.Answer) []*agentv1.DispatchResponse {
	body := a.GetBody()
	half := len(body) / 2
	return []*agentv1.DispatchResponse{
		{Kind: &agentv1.DispatchResponse_Head{Head: &agentv1.Head{Status: a.GetStatus()}}},
		{Kind: &agentv1.DispatchResponse_Chunk{Chunk: &agentv1.Chunk{Data: body[:half]}}},
		{Kind: &agentv1.DispatchResponse_Chunk{Chunk: &agentv1.Chunk{Offset: uint64(half), Data: body[half:]}}},
		{Kind: &agentv1.DispatchResponse_End{End: &agentv1.End{Length: uint64(len(body))}}},
	}
}

// reply delivers responses to the exchange: in order, but with duplicates and losses, and
// sometimes to another exchange as well.
func (sim *simulation) reply(x *exchange, d *agentv1.DispatchRequest, responses ...*agentv1.DispatchResponse) {
	at := sim.delay()
	for _, r := range responses {
		r.RequestId, r.Attempt, r.Incarnation = d.GetRequestId(), d.GetAttempt(), sim.incarnation
		deliver := func(x *exchange) func() {
			return func() {
				if sim.now < x.process.receiveLostUntil {
					return
				}
				x.runInEntry(func() {
					if x.action.Kind == call.Receive {
						x.takeAction(x.machine.Response(sim.now, r))
					}
				})
			}
		}
		at += time.Microsecond
		if !sim.withProbability(sim.faultRate / 2) {
			sim.after(at, deliver(x))
		}
		if sim.withProbability(sim.faultRate) {
			sim.after(at+sim.delay(), deliver(x))
		}
		if other := sim.anyReceiving(); other != nil && sim.withProbability(sim.faultRate) {
			sim.after(time.Microsecond, deliver(other))
		}
	}
}

// anyReceiving returns an exchange that waits for responses, or nil if there is none.
func (sim *simulation) anyReceiving() *exchange {
	start := sim.rng.IntN(len(sim.exchanges))
	for i := range sim.exchanges {
		if x := sim.exchanges[(start+i)%len(sim.exchanges)]; x.action.Kind == call.Receive {
			return x
		}
	}
	return nil
}
