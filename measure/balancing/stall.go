package balancing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/mapswitch"
)

// Parameters of the stall measurement.
const (
	stallTick        = 500 * time.Microsecond
	stallSwitches    = 300
	proposalInterval = 300 * time.Millisecond // between two proposals
	stallGroup       = "lilackeel-pool"
)

// StallResult is the time for which map switches stall a group.
type StallResult struct {
	// Ranks is the number of ranks of the group.
	Ranks int
	// Lead is the number of steps from the current one to the one at which the new
	// map takes effect.
	Lead uint64
	// UnreachableRank reports whether in every third switch one rank does not
	// receive the promise request.
	UnreachableRank bool
	// P50, P99 and Max describe the time for which a switch stalls the group, in
	// step times.
	P50, P99, Max float64
	// Committed is the number of switches that were committed, out of Proposed.
	Committed, Proposed int
}

// switchSimulation drives the mapswitch state machines of one group in virtual
// time. A message takes 0.5 to 1.5 ms, and one in a hundred up to 30 ms; a commit
// takes 2 to 6 ms, and one in a hundred 30 ms longer.
type switchSimulation struct {
	rng         *rand.Rand
	now         time.Duration
	ranks       []*mapswitch.Rank
	coordinator *mapswitch.Coordinator
	record      mapswitch.Record
	events      []event
	step        uint64
	stepEnd     time.Duration
	heldTime    time.Duration
	// unreachable is the rank that does not receive promise requests; -1 for none.
	unreachable int
	committed   int // number of committed switches
}

// event is a message or a commit that takes effect at a virtual time.
type event struct {
	at  time.Duration
	run func()
}

// MeasureStall runs switches one after another and returns how long they stall the
// group. A lead of zero selects the computed one.
func MeasureStall(ranks int, lead uint64, unreachableRank bool, seed uint64) StallResult {
	s := newSwitchSimulation(ranks, lead, seed)
	var heldSteps []float64
	for i := range stallSwitches {
		s.unreachable = -1
		if unreachableRank && i%3 == 0 {
			s.unreachable = s.rng.IntN(ranks)
		}
		s.heldTime = 0
		effects, err := s.coordinator.Propose(s.now, group.Map{Slots: []uint16{uint16(i)}})
		if err == nil {
			s.execute(effects)
		}
		for end := s.now + proposalInterval; s.now < end; s.now += stallTick {
			s.advance()
		}
		heldSteps = append(heldSteps, s.heldTime.Seconds()/stepTime.Seconds())
	}
	slices.Sort(heldSteps)
	options := mapswitch.Options{LeadSteps: lead, StepTime: stepTime}
	return StallResult{
		Ranks:           ranks,
		Lead:            options.Lead(),
		UnreachableRank: unreachableRank,
		P50:             heldSteps[len(heldSteps)/2],
		P99:             heldSteps[len(heldSteps)*99/100],
		Max:             heldSteps[len(heldSteps)-1],
		Committed:       s.committed,
		Proposed:        stallSwitches,
	}
}

func newSwitchSimulation(ranks int, lead, seed uint64) *switchSimulation {
	s := &switchSimulation{rng: rand.New(rand.NewPCG(seed, 11)), unreachable: -1}
	s.record, _ = s.record.Apply(mapswitch.Entry{Kind: mapswitch.EntryCreate, Group: stallGroup, Token: 1})
	options := mapswitch.Options{StepTime: stepTime, LeadSteps: lead}
	s.coordinator = mapswitch.NewCoordinator(stallGroup, ranks, 1, s.record, options)
	for id := range ranks {
		rank := mapswitch.NewRank(id, stallGroup, 1)
		s.ranks = append(s.ranks, rank)
		s.send(rank.Tick(s.now))
	}
	for range 100 {
		s.advance()
		s.now += stallTick
	}
	return s
}

// advance runs the events that are due, ticks the state machines and starts the next
// step when the current one has ended.
func (s *switchSimulation) advance() {
	due := s.events
	s.events = nil
	for _, e := range due {
		if e.at <= s.now {
			e.run()
			continue
		}
		s.events = append(s.events, e)
	}
	s.execute(s.coordinator.Tick(s.now))
	for _, rank := range s.ranks {
		s.send(rank.Tick(s.now))
	}
	if s.now >= s.stepEnd {
		s.beginStep()
	}
}

// beginStep starts the next step if all ranks may run it; otherwise the group stalls
// for a tick.
func (s *switchSimulation) beginStep() {
	for _, rank := range s.ranks {
		if _, ok := rank.MayRun(s.step); !ok {
			s.heldTime += stallTick
			return
		}
	}
	s.step++
	s.stepEnd = s.now + stepTime
}

func (s *switchSimulation) schedule(delay time.Duration, run func()) {
	s.events = append(s.events, event{at: s.now + delay, run: run})
}

func (s *switchSimulation) messageDelay() time.Duration {
	if s.rng.IntN(100) == 0 {
		return time.Duration(s.rng.IntN(30_000)) * time.Microsecond
	}
	return time.Duration(500+s.rng.IntN(1000)) * time.Microsecond
}

func (s *switchSimulation) commitDelay() time.Duration {
	delay := time.Duration(2000+s.rng.IntN(4000)) * time.Microsecond
	if s.rng.IntN(100) == 0 {
		delay += 30 * time.Millisecond
	}
	return delay
}

func (s *switchSimulation) execute(effects []mapswitch.Effect) {
	for _, e := range effects {
		if e.Kind == mapswitch.Commit {
			s.schedule(s.commitDelay(), func() { s.commit(e.Entry) })
			continue
		}
		if e.Message.Kind != mapswitch.KindPromise || e.Message.Rank != s.unreachable {
			s.send([]mapswitch.Message{e.Message})
		}
	}
}

func (s *switchSimulation) commit(entry mapswitch.Entry) {
	record, err := s.record.Apply(entry)
	if err != nil {
		return // duplicate of an entry that has been applied
	}
	s.record = record
	if entry.Kind == mapswitch.EntryCommit {
		s.committed++
	}
	s.execute(s.coordinator.Committed(s.now, record))
}

func (s *switchSimulation) send(messages []mapswitch.Message) {
	for _, m := range messages {
		s.schedule(s.messageDelay(), func() { s.deliver(m) })
	}
}

func (s *switchSimulation) deliver(m mapswitch.Message) {
	switch m.Kind.Destination() {
	case mapswitch.ToRank:
		s.send(s.ranks[m.Rank].Step(s.now, m))
	case mapswitch.ToCoordinator:
		s.execute(s.coordinator.Step(s.now, m))
	case mapswitch.ToControl:
		s.send([]mapswitch.Message{mapswitch.AnswerRead(m, s.record, true)})
	case mapswitch.ToEngine:
		m.Kind = mapswitch.KindLoaded
		s.send(s.ranks[m.Rank].Step(s.now, m))
	}
}
