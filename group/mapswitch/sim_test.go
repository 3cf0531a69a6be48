package mapswitch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/lilackeel/lilackeel/proof"
)

// event is an action scheduled for a time in milliseconds.
type event struct {
	at, order uint64
	act       func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// faultyUntil is when the network heals, endsAt when the run ends, in milliseconds.
const (
	faultyUntil = uint64(3000)
	endsAt      = uint64(6000)
)

// sim runs a cluster over a network that loses, duplicates and delays messages.
type sim struct {
	*cluster
	rng             *rand.Rand
	queue           events
	now             uint64
	order           uint64
	cutUntil        []uint64 // until when each rank is cut off in both directions
	inboundCutUntil []uint64 // until when nothing reaches each rank, while its own messages arrive
	stalledUntil    []uint64 // until when each engine is stalled
	loads           []Message
	begun           int
}

func newSim(ranks int, seed uint64) *sim {
	s := &sim{cluster: newCluster(ranks), rng: rand.New(rand.NewPCG(seed, 1))}
	s.cutUntil, s.inboundCutUntil, s.stalledUntil = make([]uint64, ranks), make([]uint64, ranks), make([]uint64, ranks)
	s.deferredLoads, s.loadedEpochs = &s.loads, make([]map[uint64]bool, ranks)
	for i := range s.loadedEpochs {
		s.loadedEpochs[i] = map[uint64]bool{1: true}
	}
	s.addCoordinator(Options{})
	for rank := range ranks {
		s.every(4, func() { s.runUnlessStalled(rank) })
		s.every(10, func() { s.tickRank(s.now, rank) })
	}
	s.every(10, func() {
		for i := range s.coords {
			s.collectEffects(s.coords[i].Tick(ms(s.now)))
		}
	})
	s.every(150, func() { s.propose() })
	s.every(60, func() { s.injectFault() })
	return s
}

func (s *sim) after(delay uint64, act func()) {
	s.order++
	heap.Push(&s.queue, event{at: s.now + delay, order: s.order, act: act})
}

func (s *sim) every(period uint64, act func()) {
	s.after(s.rng.Uint64N(period), func() { s.repeat(period, act) })
}

func (s *sim) repeat(period uint64, act func()) {
	act()
	s.after(period, func() { s.repeat(period, act) })
}

func (s *sim) runUnlessStalled(rank int) {
	if s.now >= s.stalledUntil[rank] {
		s.runStep(rank)
	}
}

func (s *sim) propose() {
	effects, err := s.coords[len(s.coords)-1].Propose(ms(s.now), testMap(s.now))
	if err == nil {
		s.begun++
	}
	s.collectEffects(effects)
}

func (s *sim) injectFault() {
	if s.now >= faultyUntil {
		return
	}
	rank := s.rng.IntN(len(s.ranks))
	switch s.rng.IntN(6) {
	case 0:
		s.crash(s.now, rank, s.rng.IntN(2) == 0)
	case 1:
		s.cutUntil[rank] = s.now + 300
	case 2:
		s.stalledUntil[rank] = s.now + 100
	case 4:
		s.inboundCutUntil[rank] = s.now + 300
	case 3:
		if len(s.coords) < 8 {
			s.addCoordinator(Options{})
		}
	}
}

// transmit schedules the delivery of what was emitted.
func (s *sim) transmit() {
	for _, m := range s.sent {
		copies := 1
		if s.now < faultyUntil {
			copies = []int{0, 1, 1, 1, 1, 1, 1, 1, 1, 2}[s.rng.IntN(10)]
		}
		for range copies {
			s.after(s.latency(), func() { s.receive(m) })
		}
	}
	for _, e := range s.proposed {
		s.after(s.latency()+3, func() { s.apply(s.now, e) })
	}
	for _, m := range s.loads {
		s.after(5+s.rng.Uint64N(20), func() {
			s.loadedEpochs[m.Rank][m.Epoch] = true
			m.Kind = KindLoaded
			s.emit(s.ranks[m.Rank].Step(ms(s.now), m))
		})
	}
	s.sent, s.proposed, s.loads = nil, nil, nil
}

func (s *sim) latency() uint64 {
	if s.now < faultyUntil && s.rng.IntN(20) == 0 {
		return s.rng.Uint64N(600)
	}
	return 1 + s.rng.Uint64N(3)
}

func (s *sim) receive(m Message) {
	inboundCut := m.Kind.Destination() == ToRank && s.now < s.inboundCutUntil[m.Rank]
	if s.now >= s.cutUntil[m.Rank] && !inboundCut {
		s.deliver(s.now, m)
	}
}

func (s *sim) runUntil(until uint64) {
	for len(s.queue) > 0 && s.now < until && s.violation == "" {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.act()
		s.transmit()
	}
}

// TestLargeGroupsUnderFaults runs groups of 4, 16 and 64 ranks with various seeds
// through restarts, stalls, network cuts and replaced coordinators, then heals the
// network and checks that the groups make progress.
func TestLargeGroupsUnderFaults(t *testing.T) {
	proof.Cell{Promise: proof.OneMapPerStep, Faults: []proof.Fault{proof.Kill, proof.Restart, proof.StalledRank, proof.OneWayPartition, proof.FullPartition, proof.DelayedMessages, proof.DuplicatedMessages, proof.ReorderedMessages, proof.LostMessages}, Step: "every step of switches of 4, 16 and 64 ranks", Combined: true,
		Guard: "each alone: the promise, the check that a map is loaded, revisions only grow"}.Log(t)
	for _, size := range []struct{ ranks, seeds int }{{4, 60}, {16, 30}, {64, 8}} {
		t.Run(fmt.Sprint(size.ranks, "ranks"), func(t *testing.T) {
			t.Parallel()
			var committed, begun, coordinators uint64
			for seed := range uint64(size.seeds) {
				s := newSim(size.ranks, seed)
				s.runUntil(faultyUntil + 1000)
				middle := s.completedSteps()
				s.runUntil(endsAt)
				if s.violation != "" {
					t.Fatalf("seed %d: %s", seed, s.violation)
				}
				if s.completedSteps() < middle+300 {
					t.Fatalf("seed %d: stuck at step %d\n%+v\n%+v", seed, s.completedSteps(), s.record, s.coords[len(s.coords)-1])
				}
				begun += uint64(s.begun)
				committed += s.record.Epoch
				coordinators += uint64(len(s.coords))
			}
			t.Logf("%d seeds: %d switches begun, last epochs sum to %d, %d coordinators", size.seeds, begun, committed, coordinators)
		})
	}
}
