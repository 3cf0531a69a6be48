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

// world is a fleet of two entries, one agent with the real gate, one service
// and the real claim table, in virtual time. Messages come late, twice, crossed
// or never; processes crash and freeze.
type world struct {
	rng   *rand.Rand
	now   time.Duration
	queue eventQueue
	seq   int
	// trouble is the probability of each fault.
	trouble float64

	control *contract.State
	applied uint64
	// leaderless is when the control replicas have a leader again.
	leaderless time.Duration

	gate        *gate.Gate
	incarnation uint64
	clockBase   time.Duration
	entries     [2]*entryProcess
	exchanges   []*exchange
	// runs lists the claims under which each key ran.
	runs map[string][]string
	// hits counts the faults by what the exchange was waiting for.
	hits map[string]int
}

type event struct {
	at  time.Duration
	seq int
	do  func()
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

// entryProcess is one entry; what happens to it while it is frozen waits.
type entryProcess struct {
	frozenUntil time.Duration
	// What it sends is lost until mutedUntil, what is sent to it until deafUntil.
	mutedUntil, deafUntil time.Duration
	generation            int
}

const (
	serviceID = "roster-1"
	agentName = "agent-1"
)

func newWorld(seed uint64, trouble float64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), trouble: trouble, control: contract.NewState(), runs: map[string][]string{}, hits: map[string]int{}}
	for i := range w.entries {
		w.entries[i] = &entryProcess{}
	}
	w.startAgent()
	intent := &controlv1.Intent{Id: "serve", Operator: "amel", Endpoints: []*controlv1.EndpointChange{{Id: serviceID, State: fleetv1.EndpointState_ENDPOINT_STATE_SERVING}}}
	planned := w.apply(contract.EncodePlan(0, intent))
	w.apply(contract.EncodeConfirm(0, &controlv1.ConfirmRequest{IntentId: "serve", Digest: planned.Plan.GetDigest(), Operator: "amel"}))
	return w
}

func (w *world) apply(data []byte, err error) *contract.Result {
	if err != nil {
		panic(err)
	}
	w.applied++
	return w.control.Apply(w.applied, 1, data).(*contract.Result)
}

func (w *world) startAgent() {
	w.incarnation++
	w.clockBase = time.Duration(1 + w.rng.Int64N(1<<50))
	w.gate = gate.New(w.incarnation, gate.DefaultLimits(), []gate.Endpoint{{ID: serviceID}})
	w.gate.Configure(1, map[string]fleetv1.EndpointState{serviceID: fleetv1.EndpointState_ENDPOINT_STATE_SERVING})
	w.apply(contract.EncodeAnnounce(int64(w.now), &controlv1.AnnounceRequest{
		Agent: agentName, Host: "host-1", Zone: "sahel-a", Region: "tn-sahel", Addr: "10.0.0.1:7000", Incarnation: w.incarnation, Full: true,
		Endpoints: []*fleetv1.Endpoint{{Id: serviceID, Pool: "roster-api", Kind: fleetv1.EndpointKind_ENDPOINT_KIND_SERVICE, Slots: 8}},
	}))
}

func (w *world) agentTime() time.Duration { return w.clockBase + w.now }

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, do})
}

// send carries a message: late, twice or never. A copy can be very late.
func (w *world) send(do func()) {
	if w.chance(w.trouble) {
		return
	}
	w.after(w.delay(), do)
	if w.chance(w.trouble) {
		w.after(w.delay()*time.Duration(1+w.rng.IntN(1000)), do)
	}
}

func (w *world) delay() time.Duration {
	d := time.Millisecond + time.Duration(w.rng.Int64N(int64(3*time.Millisecond)))
	if w.chance(w.trouble) {
		d *= time.Duration(1 + w.rng.IntN(2000))
	}
	return d
}

// run lets everything happen until nothing is left to.
func (w *world) run() {
	for w.queue.Len() > 0 {
		next := heap.Pop(&w.queue).(event)
		w.now = max(w.now, next.at)
		w.gate.Confirm(1, w.agentTime())
		next.do()
	}
}

// begin sends a caller's request to an entry.
func (w *world) begin(process int, key, body string, patience time.Duration) *exchange {
	p := w.entries[process]
	x := &exchange{w: w, process: p, generation: p.generation, key: key, body: body, deadline: w.now + patience}
	x.machine = call.NewAtMostOnce(call.AtMostOnceOptions{
		Options: call.Options{
			RequestID: fmt.Sprintf("r%d", len(w.exchanges)), Deadline: x.deadline, Policy: &call.DefaultPolicy,
			Budget: call.NewBudget(call.DefaultBudget), Rand: w.rng,
		},
		Workspace: "ops", Key: key, Digest: call.Digest("POST", "/swap", []byte(body)), CallerKey: true,
		ClaimIDPrefix: fmt.Sprintf("u%d", len(w.exchanges)),
	})
	w.exchanges = append(w.exchanges, x)
	x.follow(x.machine.Start(w.now))
	return x
}

// arrive is a dispatch at the agent.
func (w *world) arrive(x *exchange, d *agentv1.DispatchRequest) {
	verdict := w.gate.Admit(w.agentTime(), d)
	switch verdict.Decision {
	case gate.Admit:
		w.serve(x, d)
	case gate.Running:
		w.after(10*time.Millisecond, func() { w.arrive(x, d) })
	case gate.Answered:
		w.reply(x, d, answerOf(verdict.Answer)...)
	case gate.Unknown:
		w.reply(x, d, &agentv1.DispatchResponse{Kind: &agentv1.DispatchResponse_Broken{Broken: &agentv1.Broken{MayHaveRun: true}}})
	default:
		w.reply(x, d, &agentv1.DispatchResponse{Kind: &agentv1.DispatchResponse_Refused{Refused: &agentv1.Refused{
			Kind: string(verdict.Fault.Kind), Message: verdict.Fault.Message, Remedy: verdict.Fault.Remedy,
		}}})
	}
}

// serve runs the call on the service; what the agent would do after a restart
// is lost.
func (w *world) serve(x *exchange, d *agentv1.DispatchRequest) {
	g, incarnation := w.gate, w.incarnation
	w.after(time.Millisecond, func() {
		w.runs[x.key] = append(w.runs[x.key], d.GetClaimId())
		service := time.Duration(w.rng.Int64N(int64(100 * time.Millisecond)))
		if w.chance(w.trouble) {
			service *= 100
		}
		w.after(service, func() {
			if incarnation != w.incarnation {
				return
			}
			if w.chance(w.trouble) {
				g.Finish(w.agentTime(), d, gate.Broken, nil)
				w.reply(x, d, &agentv1.DispatchResponse{Kind: &agentv1.DispatchResponse_Broken{Broken: &agentv1.Broken{MayHaveRun: true}}})
				return
			}
			answer := &controlv1.Answer{Status: 200, Body: []byte("done " + x.key + " " + string(d.GetBody()))}
			g.Finish(w.agentTime(), d, gate.Whole, answer)
			w.reply(x, d, answerOf(answer)...)
		})
	})
}

func answerOf(a *controlv1.Answer) []*agentv1.DispatchResponse {
	body := a.GetBody()
	half := len(body) / 2
	return []*agentv1.DispatchResponse{
		{Kind: &agentv1.DispatchResponse_Head{Head: &agentv1.Head{Status: a.GetStatus()}}},
		{Kind: &agentv1.DispatchResponse_Chunk{Chunk: &agentv1.Chunk{Data: body[:half]}}},
		{Kind: &agentv1.DispatchResponse_Chunk{Chunk: &agentv1.Chunk{Offset: uint64(half), Data: body[half:]}}},
		{Kind: &agentv1.DispatchResponse_End{End: &agentv1.End{Length: uint64(len(body))}}},
	}
}

// reply carries responses to the exchange: in order, but with copies, with
// losses, and sometimes to another exchange, too.
func (w *world) reply(x *exchange, d *agentv1.DispatchRequest, responses ...*agentv1.DispatchResponse) {
	at := w.delay()
	for _, r := range responses {
		r.RequestId, r.Attempt, r.Incarnation = d.GetRequestId(), d.GetAttempt(), w.incarnation
		deliver := func(x *exchange) func() {
			return func() {
				if w.now < x.process.deafUntil {
					return
				}
				x.awake(func() {
					if x.action.Kind == call.Receive {
						x.follow(x.machine.Response(w.now, r))
					}
				})
			}
		}
		at += time.Microsecond
		if !w.chance(w.trouble / 2) {
			w.after(at, deliver(x))
		}
		if w.chance(w.trouble) {
			w.after(at+w.delay(), deliver(x))
		}
		if other := w.receiving(); other != nil && w.chance(w.trouble) {
			w.after(time.Microsecond, deliver(other))
		}
	}
}

// receiving returns an exchange that waits for responses, nil if there is none.
func (w *world) receiving() *exchange {
	start := w.rng.IntN(len(w.exchanges))
	for i := range w.exchanges {
		if x := w.exchanges[(start+i)%len(w.exchanges)]; x.action.Kind == call.Receive {
			return x
		}
	}
	return nil
}
