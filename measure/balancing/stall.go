package balancing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/mapswitch"
)

// Constants of the stall measurement.
const (
	stallTick     = 500 * time.Microsecond
	stallSwitches = 300
	stallGap      = 300 * time.Millisecond // from one proposal to the next
	stallGroup    = "lilackeel-pool"
)

// StallResult is what switches cost the steps of a group.
type StallResult struct {
	// Ranks is the number of ranks of the group.
	Ranks int
	// Lead is the distance of the chosen step, in steps.
	Lead uint64
	// LostRank says that in a third of the switches one rank gets no request to
	// promise.
	LostRank bool
	// P50, P99 and Max are steps that a switch held the group for.
	P50, P99, Max float64
	// Committed is the number of switches that went through, of Proposed.
	Committed, Proposed int
}

// stallBench drives the real machines of one group in virtual time. Messages
// take half to one and a half milliseconds, one in a hundred up to thirty; a
// commit takes two to six, one in a hundred thirty more.
type stallBench struct {
	rng    *rand.Rand
	now    time.Duration
	ranks  []*mapswitch.Rank
	leader *mapswitch.Coordinator
	record mapswitch.Record
	queue  []delivery
	step   uint64
	ends   time.Duration
	held   time.Duration
	// unreachable is the rank that gets no request to promise; -1 for none.
	unreachable int
	done        int // switches committed
}

type delivery struct {
	at  time.Duration
	act func()
}

// MeasureStall runs switches one after another and returns what they cost.
func MeasureStall(ranks int, lead uint64, lostRank bool, seed uint64) StallResult {
	b := newStallBench(ranks, lead, seed)
	var held []float64
	for i := range stallSwitches {
		b.unreachable = -1
		if lostRank && i%3 == 0 {
			b.unreachable = b.rng.IntN(ranks)
		}
		b.held = 0
		effects, err := b.leader.Propose(b.now, group.Map{Slots: []uint16{uint16(i)}})
		if err == nil {
			b.perform(effects)
		}
		for end := b.now + stallGap; b.now < end; b.now += stallTick {
			b.advance()
		}
		held = append(held, b.held.Seconds()/stepTime.Seconds())
	}
	slices.Sort(held)
	used := mapswitch.Options{LeadSteps: lead, StepTime: stepTime}
	return StallResult{
		Ranks:     ranks,
		Lead:      used.Lead(),
		LostRank:  lostRank,
		P50:       held[len(held)/2],
		P99:       held[len(held)*99/100],
		Max:       held[len(held)-1],
		Committed: b.done,
		Proposed:  stallSwitches,
	}
}

func newStallBench(ranks int, lead, seed uint64) *stallBench {
	b := &stallBench{rng: rand.New(rand.NewPCG(seed, 11)), unreachable: -1}
	b.record, _ = b.record.Apply(mapswitch.Entry{Kind: mapswitch.EntryCreate, Group: stallGroup, Token: 1})
	options := mapswitch.Options{StepTime: stepTime, LeadSteps: lead}
	b.leader = mapswitch.NewCoordinator(stallGroup, ranks, 1, b.record, options)
	for id := range ranks {
		rank := mapswitch.NewRank(id, stallGroup, 1)
		b.ranks = append(b.ranks, rank)
		b.send(rank.Tick(b.now))
	}
	for range 100 {
		b.advance()
		b.now += stallTick
	}
	return b
}

// advance delivers what is due, ticks the machines and runs the group's steps.
func (b *stallBench) advance() {
	due := b.queue
	b.queue = nil
	for _, d := range due {
		if d.at <= b.now {
			d.act()
			continue
		}
		b.queue = append(b.queue, d)
	}
	b.perform(b.leader.Tick(b.now))
	for _, rank := range b.ranks {
		b.send(rank.Tick(b.now))
	}
	if b.now >= b.ends {
		b.beginStep()
	}
}

// beginStep starts the next step once all ranks may run it.
func (b *stallBench) beginStep() {
	for _, rank := range b.ranks {
		if _, ok := rank.MayRun(b.step); !ok {
			b.held += stallTick
			return
		}
	}
	b.step++
	b.ends = b.now + stepTime
}

func (b *stallBench) after(delay time.Duration, act func()) {
	b.queue = append(b.queue, delivery{at: b.now + delay, act: act})
}

func (b *stallBench) latency() time.Duration {
	if b.rng.IntN(100) == 0 {
		return time.Duration(b.rng.IntN(30_000)) * time.Microsecond
	}
	return time.Duration(500+b.rng.IntN(1000)) * time.Microsecond
}

func (b *stallBench) commitTime() time.Duration {
	spent := time.Duration(2000+b.rng.IntN(4000)) * time.Microsecond
	if b.rng.IntN(100) == 0 {
		spent += 30 * time.Millisecond
	}
	return spent
}

func (b *stallBench) perform(effects []mapswitch.Effect) {
	for _, e := range effects {
		if e.Kind == mapswitch.Commit {
			b.after(b.commitTime(), func() { b.commit(e.Entry) })
			continue
		}
		if e.Message.Kind != mapswitch.KindPromise || e.Message.Rank != b.unreachable {
			b.send([]mapswitch.Message{e.Message})
		}
	}
}

func (b *stallBench) commit(entry mapswitch.Entry) {
	record, err := b.record.Apply(entry)
	if err != nil {
		return // a repetition of an entry that is applied already
	}
	b.record = record
	if entry.Kind == mapswitch.EntryCommit {
		b.done++
	}
	b.perform(b.leader.Committed(b.now, record))
}

func (b *stallBench) send(messages []mapswitch.Message) {
	for _, m := range messages {
		b.after(b.latency(), func() { b.deliver(m) })
	}
}

func (b *stallBench) deliver(m mapswitch.Message) {
	switch m.Kind.Destination() {
	case mapswitch.ToRank:
		b.send(b.ranks[m.Rank].Step(b.now, m))
	case mapswitch.ToCoordinator:
		b.perform(b.leader.Step(b.now, m))
	case mapswitch.ToControl:
		b.send([]mapswitch.Message{mapswitch.AnswerRead(m, b.record, true)})
	case mapswitch.ToEngine:
		m.Kind = mapswitch.KindLoaded
		b.send(b.ranks[m.Rank].Step(b.now, m))
	}
}
