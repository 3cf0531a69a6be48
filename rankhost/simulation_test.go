package rankhost

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/mapswitch"
)

// fakeEngine is the engine of one rank. It handles orders as real engines do, and may carry one out
// late or without a reply.
type fakeEngine struct {
	sim                   *simulation
	mapInUse              uint64
	prepared, armed       uint64
	armedAt               uint64
	preparing             uint64
	readyAt               time.Duration
	held                  uint64
	hasHeld               bool
	highestVersion        uint64
	controller            *Controller
	rank                  int
	lastOrder             Order
	lastOrderAt           time.Duration
	nextPoll, frozenUntil time.Duration
}

func (e *fakeEngine) status() Status {
	sim := e.sim
	if e.preparing != 0 && sim.now >= e.readyAt {
		e.prepared, e.preparing = e.preparing, 0
	}
	return Status{
		Group: "g", Formation: 1, Rank: e.rank, Size: len(sim.engines), Open: true, Step: sim.step,
		Map: e.mapInUse, Prepared: e.prepared, Armed: e.armed, Held: e.held, HasHeld: e.hasHeld,
	}
}

// execute carries out an order or refuses it.
func (e *fakeEngine) execute(o Order) {
	sim := e.sim
	switch o.Kind {
	case Prepare:
		if o.Version > e.highestVersion && e.armed == 0 {
			e.highestVersion, e.preparing, e.prepared, e.readyAt = o.Version, o.Version, 0, sim.now+200*time.Millisecond
		}
	case Arm:
		if e.prepared == o.Version && o.Step > sim.step {
			e.armed, e.armedAt, e.prepared = o.Version, o.Step, 0
		}
	case Hold:
		if !e.hasHeld && o.Step > sim.step {
			e.held, e.hasHeld = o.Step, true
		}
	case Release:
		if e.hasHeld && e.held == o.Step {
			e.hasHeld = false
		}
	}
}

// simulation is one group, its control replicas and the network between them, in virtual time.
type simulation struct {
	t            *testing.T
	rng          *rand.Rand
	now          time.Duration
	step         uint64
	engines      []*fakeEngine
	events       []event
	lastSequence int

	record             mapswitch.Record
	maps               map[uint64]group.Map
	coordinator        *mapswitch.Coordinator
	token              uint64
	proposed           group.Map
	partitionedUntil   map[int]time.Duration
	lossRate, lateRate float64
	// idleRate is the probability that the group has no work, and begins no step, for up to two
	// seconds after a step.
	idleRate  float64
	idleUntil time.Duration
	// rescueEnabled lets another process act for unreachable hosts.
	rescueEnabled bool
	rescues       int
	// maxOrderDelay is how late an order without a reply may be carried out.
	maxOrderDelay time.Duration
	trace         []string
	switches      int
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

func newSimulation(t *testing.T, seed uint64, ranks int) *simulation {
	sim := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 7)), maps: map[uint64]group.Map{}, partitionedUntil: map[int]time.Duration{}, token: 1, maxOrderDelay: 4200 * time.Millisecond}
	shape := group.Shape{Layers: 1, Experts: 4, Ranks: ranks, Slots: 4}
	initial := group.RoundRobin(shape)
	sim.maps[1] = initial
	sim.record, _ = sim.record.Apply(mapswitch.Entry{Kind: mapswitch.EntryCreate, Token: 1, Epoch: 1, Digest: initial.Digest()})
	for rank := range ranks {
		e := &fakeEngine{sim: sim, rank: rank}
		e.controller = NewController(e.initialStatus(ranks), sim.rng.Uint64()|1, true)
		sim.engines = append(sim.engines, e)
	}
	sim.replaceCoordinator()
	return sim
}

func (e *fakeEngine) initialStatus(ranks int) Status {
	return Status{Group: "g", Formation: 1, Rank: e.rank, Size: ranks, Open: true}
}

// replaceCoordinator starts a new coordinator in place of the present one.
func (sim *simulation) replaceCoordinator() {
	sim.token++
	sim.coordinator = mapswitch.NewCoordinator("g/1", len(sim.engines), sim.token, sim.record,
		mapswitch.Options{StepTime: 40 * time.Millisecond, MaxLead: 8, PromiseWindow: 400 * time.Millisecond, PrepareTimeout: 3 * time.Second})
}

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.lastSequence++
	sim.events = append(sim.events, event{sim.now + d, sim.lastSequence, run})
}

// sendMessage delivers a message, possibly late or not at all.
func (sim *simulation) sendMessage(rank int, run func()) {
	if sim.partitionedUntil[rank] > sim.now || sim.rng.Float64() < sim.lossRate {
		return
	}
	delay := time.Duration(1+sim.rng.IntN(6)) * time.Millisecond
	if sim.rng.Float64() < sim.lateRate {
		delay += time.Duration(sim.rng.IntN(3000)) * time.Millisecond
	}
	sim.schedule(delay, run)
}

func (sim *simulation) applyEffects(effects []mapswitch.Effect) {
	for _, effect := range effects {
		if effect.Kind == mapswitch.Commit {
			entry := effect.Entry
			sim.schedule(time.Duration(5+sim.rng.IntN(25))*time.Millisecond, func() { sim.commit(entry) })
			continue
		}
		m := effect.Message
		sim.sendMessage(m.Rank, func() { sim.deliverToRank(m) })
	}
}

func (sim *simulation) commit(entry mapswitch.Entry) {
	next, err := sim.record.Apply(entry)
	if err == nil {
		if entry.Kind == mapswitch.EntryBegin {
			sim.maps[entry.Epoch] = sim.proposed
		}
		sim.record = next
	}
	// The driver informs the present coordinator of every committed change.
	sim.applyEffects(sim.coordinator.Committed(sim.now, sim.record))
}

func (sim *simulation) deliverToRank(m mapswitch.Message) {
	e := sim.engines[m.Rank]
	if e.frozenUntil > sim.now {
		sim.schedule(e.frozenUntil-sim.now, func() { sim.deliverToRank(m) })
		return
	}
	sim.dispatch(e, e.controller.Step(sim.now, m))
	e.nextPoll = sim.now
}

func (sim *simulation) dispatch(e *fakeEngine, messages []mapswitch.Message) {
	for _, m := range messages {
		switch m.Kind.Destination() {
		case mapswitch.ToCoordinator:
			sim.sendMessage(e.rank, func() { sim.applyEffects(sim.coordinator.Step(sim.now, m)) })
		case mapswitch.ToControl:
			controller := e.controller
			sim.sendMessage(e.rank, func() {
				answer := mapswitch.AnswerRead(m, sim.record, true)
				sim.sendMessage(e.rank, func() {
					if e.controller == controller {
						sim.dispatch(e, controller.Step(sim.now, answer))
					}
				})
			})
		}
	}
	if epoch, _, ok := e.controller.MissingMap(); ok {
		e.controller.AddMap(epoch, sim.maps[epoch])
	}
}

// poll is one poll of a host.
func (sim *simulation) poll(e *fakeEngine) {
	sim.dispatch(e, e.controller.Observe(sim.now, e.status()))
	o, ok := e.controller.NextOrder()
	e.nextPoll = sim.now + 15*time.Millisecond
	if !ok || o.Kind == e.lastOrder.Kind && o.Step == e.lastOrder.Step && o.Version == e.lastOrder.Version && sim.now-e.lastOrderAt < 15*time.Millisecond {
		return
	}
	e.lastOrder, e.lastOrderAt = o, sim.now
	sim.trace = append(sim.trace, fmt.Sprintf("%v step %d rank %d %v v%d s%d", sim.now, sim.step, e.rank, o.Kind, o.Version, o.Step))
	switch draw := sim.rng.Float64(); {
	case draw < sim.lateRate:
		// No reply; carried out after newer orders.
		sim.schedule(200*time.Millisecond+time.Duration(sim.rng.Int64N(int64(sim.maxOrderDelay-200*time.Millisecond))), func() { e.execute(o) })
	case draw < sim.lateRate+sim.lossRate:
		e.execute(o) // carried out, but the reply is lost
	default:
		e.execute(o)
	}
}

// startStep begins the next step unless a rank holds it, and checks that all ranks use the same
// map.
func (sim *simulation) startStep() {
	next := sim.step + 1
	for _, e := range sim.engines {
		if e.hasHeld && e.held <= next {
			return
		}
	}
	sim.step = next
	for _, e := range sim.engines {
		if e.armed != 0 && e.armedAt <= next {
			e.mapInUse, e.armed = e.armed, 0
		}
	}
	for _, e := range sim.engines[1:] {
		if e.mapInUse != sim.engines[0].mapInUse {
			for _, line := range sim.trace[max(0, len(sim.trace)-60):] {
				sim.t.Log(line)
			}
			sim.t.Fatalf("step %d begins with map %d on rank 0 and map %d on rank %d", next, sim.engines[0].mapInUse, e.mapInUse, e.rank)
		}
	}
}

// run advances the simulation until the given time.
func (sim *simulation) run(end time.Duration, faults bool) {
	for ; sim.now < end; sim.now += time.Millisecond {
		for i := 0; i < len(sim.events); {
			if sim.events[i].at > sim.now {
				i++
				continue
			}
			due := sim.events[i]
			sim.events = append(sim.events[:i], sim.events[i+1:]...)
			due.run()
		}
		for _, e := range sim.engines {
			if e.frozenUntil <= sim.now && e.nextPoll <= sim.now {
				sim.poll(e)
			}
		}
		if sim.rescueEnabled && sim.now%(50*time.Millisecond) == 0 {
			sim.rescueEngine(sim.engines[sim.rng.IntN(len(sim.engines))])
		}
		if sim.now%(10*time.Millisecond) == 0 {
			sim.applyEffects(sim.coordinator.Tick(sim.now))
			sim.propose()
		}
		if sim.now%(40*time.Millisecond) == 0 && sim.now >= sim.idleUntil {
			if sim.rng.Float64() < sim.idleRate {
				sim.idleUntil = sim.now + time.Duration(sim.rng.IntN(2000))*time.Millisecond
			}
			sim.startStep()
		}
		if faults {
			sim.injectFault()
		}
	}
}

// rescueEngine acts for a host, reachable or not: it reads the engine's status, which is outdated
// by then, and the record, and sends the resulting order, possibly much later.
func (sim *simulation) rescueEngine(e *fakeEngine) {
	status := e.status()
	sim.schedule(time.Duration(sim.rng.IntN(400))*time.Millisecond, func() {
		o, ok := RescueOrder(status, sim.record)
		if !ok {
			return
		}
		sim.rescues++
		delay := time.Duration(sim.rng.IntN(20)) * time.Millisecond
		if sim.rng.Float64() < sim.lateRate {
			delay = time.Duration(sim.rng.Int64N(int64(sim.maxOrderDelay)))
		}
		sim.schedule(delay, func() { e.execute(o) })
	})
}

func (sim *simulation) propose() {
	if sim.coordinator.Phase() != mapswitch.PhaseIdle || sim.record.PendingEpoch != 0 || sim.coordinator.Record() != sim.record {
		return
	}
	if len(sim.coordinator.Unacknowledged()) > 0 {
		return
	}
	next := sim.maps[1].Clone()
	next.Slots[len(next.Slots)-1] = uint16(sim.rng.IntN(4))
	sim.proposed = next
	if effects, err := sim.coordinator.Propose(sim.now, next); err == nil {
		sim.switches++
		sim.applyEffects(effects)
	}
}

// injectFault injects a random fault with low probability.
func (sim *simulation) injectFault() {
	if sim.rng.Float64() > 0.004 {
		return
	}
	e := sim.engines[sim.rng.IntN(len(sim.engines))]
	switch sim.rng.IntN(4) {
	case 0: // the host restarts
		e.controller = NewController(e.status(), sim.rng.Uint64()|1, false)
		e.lastOrder = Order{}
	case 1: // the host is frozen
		e.frozenUntil = sim.now + time.Duration(sim.rng.IntN(1500))*time.Millisecond
	case 2: // the host is partitioned from the control replicas
		sim.partitionedUntil[e.rank] = sim.now + time.Duration(sim.rng.IntN(1500))*time.Millisecond
	case 3: // another replica becomes the leader
		sim.replaceCoordinator()
	}
}

// dump logs the state of the coordinator and all ranks.
func (sim *simulation) dump() {
	sim.t.Logf("step %d record %+v phase %d token %d", sim.step, sim.record, sim.coordinator.Phase(), sim.token)
	for _, e := range sim.engines {
		epoch, step := e.controller.rank.Promise()
		_, allowed := e.controller.rank.Allowed(e.held)
		order, ok := e.controller.NextOrder()
		sim.t.Logf("rank %d %+v promise %d at %d allowed %v pending promise %v to prepare %d next %v %v record %+v",
			e.rank, e.status(), epoch, step, allowed, e.controller.pendingPromise, e.controller.toPrepare.Epoch, order.Kind, ok, e.controller.rank.Record())
	}
	for _, line := range sim.trace[max(0, len(sim.trace)-16):] {
		sim.t.Log(line)
	}
}
