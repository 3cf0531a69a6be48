package rankhost

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/mapswitch"
)

// fakeEngine is one rank's engine: it takes orders as the real ones do, and may
// carry one out late or without an answer.
type fakeEngine struct {
	world                *world
	mapInUse             uint64
	prepared, armed      uint64
	armedAt              uint64
	preparing            uint64
	readyAt              time.Duration
	held                 uint64
	hasHeld              bool
	highest              uint64
	holder               *Holder
	number               int
	last                 Order
	lastAt               time.Duration
	nextLook, frozenTill time.Duration
}

func (e *fakeEngine) status() Status {
	w := e.world
	if e.preparing != 0 && w.now >= e.readyAt {
		e.prepared, e.preparing = e.preparing, 0
	}
	return Status{
		Group: "g", Formation: 1, Rank: e.number, Size: len(w.engines), Open: true, Step: w.step,
		Map: e.mapInUse, Prepared: e.prepared, Armed: e.armed, Held: e.held, HasHeld: e.hasHeld,
	}
}

// carryOut does what an order asks, or refuses it.
func (e *fakeEngine) carryOut(o Order) {
	w := e.world
	switch o.Kind {
	case Prepare:
		if o.Version > e.highest && e.armed == 0 {
			e.highest, e.preparing, e.prepared, e.readyAt = o.Version, o.Version, 0, w.now+200*time.Millisecond
		}
	case Arm:
		if e.prepared == o.Version && o.Step > w.step {
			e.armed, e.armedAt, e.prepared = o.Version, o.Step, 0
		}
	case Hold:
		if !e.hasHeld && o.Step > w.step {
			e.held, e.hasHeld = o.Step, true
		}
	case Release:
		if e.hasHeld && e.held == o.Step {
			e.hasHeld = false
		}
	}
}

// world is one group, its control replicas, and everything between them, in
// virtual time.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Duration
	step    uint64
	engines []*fakeEngine
	events  []event
	order   int

	record      mapswitch.Record
	maps        map[uint64]group.Map
	coordinator *mapswitch.Coordinator
	token       uint64
	proposed    group.Map
	cut         map[int]time.Duration
	loss, late  float64
	// idle is the part of the passes after which the group has no work for up to
	// two seconds and makes none.
	idle     float64
	idleTill time.Duration
	// rescue lets someone act for hosts that are silent.
	rescue  bool
	rescues int
	// longest is how late an order without an answer may be carried out.
	longest  time.Duration
	trace    []string
	switches int
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

func newWorld(t *testing.T, seed uint64, ranks int) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 7)), maps: map[uint64]group.Map{}, cut: map[int]time.Duration{}, token: 1, longest: 4200 * time.Millisecond}
	shape := group.Shape{Layers: 1, Experts: 4, Ranks: ranks, Slots: 4}
	first := group.RoundRobin(shape)
	w.maps[1] = first
	w.record, _ = w.record.Apply(mapswitch.Entry{Kind: mapswitch.EntryCreate, Token: 1, Epoch: 1, Digest: first.Digest()})
	for number := range ranks {
		e := &fakeEngine{world: w, number: number}
		e.holder = NewHolder(e.status0(ranks), w.rng.Uint64()|1, true)
		w.engines = append(w.engines, e)
	}
	w.elect()
	return w
}

func (e *fakeEngine) status0(ranks int) Status {
	return Status{Group: "g", Formation: 1, Rank: e.number, Size: ranks, Open: true}
}

// elect puts a new coordinator in place of the present one.
func (w *world) elect() {
	w.token++
	w.coordinator = mapswitch.NewCoordinator("g/1", len(w.engines), w.token, w.record,
		mapswitch.Options{StepTime: 40 * time.Millisecond, MaxLead: 8, PromiseWindow: 400 * time.Millisecond, PrepareTimeout: 3 * time.Second})
}

func (w *world) after(d time.Duration, run func()) {
	w.order++
	w.events = append(w.events, event{w.now + d, w.order, run})
}

// deliver passes a message on, perhaps late, perhaps not at all.
func (w *world) deliver(rank int, run func()) {
	if w.cut[rank] > w.now || w.rng.Float64() < w.loss {
		return
	}
	delay := time.Duration(1+w.rng.IntN(6)) * time.Millisecond
	if w.rng.Float64() < w.late {
		delay += time.Duration(w.rng.IntN(3000)) * time.Millisecond
	}
	w.after(delay, run)
}

func (w *world) effects(effects []mapswitch.Effect) {
	for _, effect := range effects {
		if effect.Kind == mapswitch.Commit {
			entry := effect.Entry
			w.after(time.Duration(5+w.rng.IntN(25))*time.Millisecond, func() { w.commit(entry) })
			continue
		}
		m := effect.Message
		w.deliver(m.Rank, func() { w.toRank(m) })
	}
}

func (w *world) commit(entry mapswitch.Entry) {
	next, err := w.record.Apply(entry)
	if err == nil {
		if entry.Kind == mapswitch.EntryBegin {
			w.maps[entry.Epoch] = w.proposed
		}
		w.record = next
	}
	// The driver tells the present coordinator whatever the log has committed.
	w.effects(w.coordinator.Committed(w.now, w.record))
}

func (w *world) toRank(m mapswitch.Message) {
	e := w.engines[m.Rank]
	if e.frozenTill > w.now {
		w.after(e.frozenTill-w.now, func() { w.toRank(m) })
		return
	}
	w.emit(e, e.holder.Step(w.now, m))
	e.nextLook = w.now
}

func (w *world) emit(e *fakeEngine, messages []mapswitch.Message) {
	for _, m := range messages {
		switch m.Kind.Destination() {
		case mapswitch.ToCoordinator:
			w.deliver(e.number, func() { w.effects(w.coordinator.Step(w.now, m)) })
		case mapswitch.ToControl:
			holder := e.holder
			w.deliver(e.number, func() {
				answer := mapswitch.AnswerRead(m, w.record, true)
				w.deliver(e.number, func() {
					if e.holder == holder {
						w.emit(e, holder.Step(w.now, answer))
					}
				})
			})
		}
	}
	if epoch, _, ok := e.holder.Needs(); ok {
		e.holder.Fetched(epoch, w.maps[epoch])
	}
}

// look is one turn of a host.
func (w *world) look(e *fakeEngine) {
	w.emit(e, e.holder.Observe(w.now, e.status()))
	o, ok := e.holder.Next()
	e.nextLook = w.now + 15*time.Millisecond
	if !ok || o.Kind == e.last.Kind && o.Step == e.last.Step && o.Version == e.last.Version && w.now-e.lastAt < 15*time.Millisecond {
		return
	}
	e.last, e.lastAt = o, w.now
	w.trace = append(w.trace, fmt.Sprintf("%v step %d rank %d %v v%d s%d", w.now, w.step, e.number, o.Kind, o.Version, o.Step))
	switch draw := w.rng.Float64(); {
	case draw < w.late:
		// No answer; carried out after newer orders.
		w.after(200*time.Millisecond+time.Duration(w.rng.Int64N(int64(w.longest-200*time.Millisecond))), func() { e.carryOut(o) })
	case draw < w.late+w.loss:
		e.carryOut(o) // carried out, and the answer lost
	default:
		e.carryOut(o)
	}
}

// pass begins the next pass unless a rank holds it, and checks the promise.
func (w *world) pass() {
	next := w.step + 1
	for _, e := range w.engines {
		if e.hasHeld && e.held <= next {
			return
		}
	}
	w.step = next
	for _, e := range w.engines {
		if e.armed != 0 && e.armedAt <= next {
			e.mapInUse, e.armed = e.armed, 0
		}
	}
	for _, e := range w.engines[1:] {
		if e.mapInUse != w.engines[0].mapInUse {
			for _, line := range w.trace[max(0, len(w.trace)-60):] {
				w.t.Log(line)
			}
			w.t.Fatalf("step %d begins with map %d on rank 0 and map %d on rank %d", next, w.engines[0].mapInUse, e.mapInUse, e.number)
		}
	}
}

// run plays until the given time.
func (w *world) run(until time.Duration, trouble bool) {
	for ; w.now < until; w.now += time.Millisecond {
		for i := 0; i < len(w.events); {
			if w.events[i].at > w.now {
				i++
				continue
			}
			due := w.events[i]
			w.events = append(w.events[:i], w.events[i+1:]...)
			due.run()
		}
		for _, e := range w.engines {
			if e.frozenTill <= w.now && e.nextLook <= w.now {
				w.look(e)
			}
		}
		if w.rescue && w.now%(50*time.Millisecond) == 0 {
			w.standIn(w.engines[w.rng.IntN(len(w.engines))])
		}
		if w.now%(10*time.Millisecond) == 0 {
			w.effects(w.coordinator.Tick(w.now))
			w.propose()
		}
		if w.now%(40*time.Millisecond) == 0 && w.now >= w.idleTill {
			if w.rng.Float64() < w.idle {
				w.idleTill = w.now + time.Duration(w.rng.IntN(2000))*time.Millisecond
			}
			w.pass()
		}
		if trouble {
			w.trouble()
		}
	}
}

// standIn acts for a host, silent or not: it reads the engine's status, which is
// late, then the record, and gives the order that follows, perhaps much later.
func (w *world) standIn(e *fakeEngine) {
	status := e.status()
	w.after(time.Duration(w.rng.IntN(400))*time.Millisecond, func() {
		o, ok := Rescue(status, w.record)
		if !ok {
			return
		}
		w.rescues++
		delay := time.Duration(w.rng.IntN(20)) * time.Millisecond
		if w.rng.Float64() < w.late {
			delay = time.Duration(w.rng.Int64N(int64(w.longest)))
		}
		w.after(delay, func() { e.carryOut(o) })
	})
}

func (w *world) propose() {
	if w.coordinator.Phase() != mapswitch.PhaseIdle || w.record.PendingEpoch != 0 || w.coordinator.Record() != w.record {
		return
	}
	if len(w.coordinator.Unacknowledged()) > 0 {
		return
	}
	next := w.maps[1].Clone()
	next.Slots[len(next.Slots)-1] = uint16(w.rng.IntN(4))
	w.proposed = next
	if effects, err := w.coordinator.Propose(w.now, next); err == nil {
		w.switches++
		w.effects(effects)
	}
}

// trouble strikes now and then.
func (w *world) trouble() {
	if w.rng.Float64() > 0.004 {
		return
	}
	e := w.engines[w.rng.IntN(len(w.engines))]
	switch w.rng.IntN(4) {
	case 0: // the host's process starts again
		e.holder = NewHolder(e.status(), w.rng.Uint64()|1, false)
		e.last = Order{}
	case 1: // the host is frozen
		e.frozenTill = w.now + time.Duration(w.rng.IntN(1500))*time.Millisecond
	case 2: // the host is cut off from control
		w.cut[e.number] = w.now + time.Duration(w.rng.IntN(1500))*time.Millisecond
	case 3: // another replica leads
		w.elect()
	}
}

// dump logs how everything stands.
func (w *world) dump() {
	w.t.Logf("step %d record %+v phase %d token %d", w.step, w.record, w.coordinator.Phase(), w.token)
	for _, e := range w.engines {
		epoch, step := e.holder.rank.Promise()
		_, allowed := e.holder.rank.Allowed(e.held)
		order, ok := e.holder.Next()
		w.t.Logf("rank %d %+v promise %d at %d allowed %v asked %v wanted %d next %v %v record %+v",
			e.number, e.status(), epoch, step, allowed, e.holder.asked, e.holder.wanted.Epoch, order.Kind, ok, e.holder.rank.Record())
	}
	for _, line := range w.trace[max(0, len(w.trace)-16):] {
		w.t.Log(line)
	}
}
