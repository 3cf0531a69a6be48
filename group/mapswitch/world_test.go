package mapswitch

import (
	"fmt"

	"github.com/lilackeel/lilackeel/group"
)

const testGroup = "g"

// testMap is a map that differs by n.
func testMap(n uint64) group.Map {
	return group.Map{Layers: 1, Ranks: 1, SlotsPerRank: 1, Slots: []uint16{uint16(n)}}
}

// world holds the machines of one group, its engines and the log's record. What
// the machines emit collects in sent and proposed.
type world struct {
	ranks    []Rank
	next     []uint64 // the step each engine is about to run
	coords   []Coordinator
	record   Record
	executed []uint64 // the epoch that each step was run with
	sent     []Message
	proposed []Entry
	broken   string
	// orders collects loads for engines that take their time; nil means that
	// engines load at once.
	orders *[]Message
	holds  []map[uint64]bool // the epochs that each engine has loaded
}

func newWorld(ranks int) *world {
	w := &world{ranks: make([]Rank, ranks), next: make([]uint64, ranks)}
	w.record, _ = Record{}.Apply(Entry{Kind: EntryCreate, Group: testGroup, Digest: testMap(0).Digest()})
	for i := range w.ranks {
		w.ranks[i] = *NewRank(i, testGroup, 1)
		w.tickRank(0, i)
	}
	for i, m := range w.sent {
		w.sent[i] = AnswerRead(m, w.record, true)
		w.emit(w.ranks[m.Rank].Step(0, w.sent[i]))
	}
	return w
}

func (w *world) clone() *world {
	c := *w
	c.ranks = append([]Rank(nil), w.ranks...)
	c.next = append([]uint64(nil), w.next...)
	c.executed = append([]uint64(nil), w.executed...)
	c.coords = append([]Coordinator(nil), w.coords...)
	for i := range c.coords {
		c.coords[i].members = append([]member(nil), c.coords[i].members...)
	}
	c.sent, c.proposed = nil, nil
	return &c
}

// emit collects messages; the engine beside a rank answers a load at once.
func (w *world) emit(out []Message) {
	for _, m := range out {
		if m.Kind == KindLoad && w.orders != nil {
			*w.orders = append(*w.orders, m)
			continue
		}
		if m.Kind == KindLoad {
			m.Kind = KindLoaded
			w.emit(w.ranks[m.Rank].Step(0, m))
			continue
		}
		w.sent = append(w.sent, m)
	}
}

func (w *world) effects(out []Effect) {
	for _, e := range out {
		if e.Kind == Commit {
			w.proposed = append(w.proposed, e.Entry)
			continue
		}
		w.sent = append(w.sent, e.Message)
	}
}

func (w *world) tickRank(now uint64, rank int) { w.emit(w.ranks[rank].Tick(ms(now))) }

// deliver hands a message to its receiver. Messages to coordinators reach all
// of them, so a cut-off one hears what it might.
func (w *world) deliver(now uint64, m Message) {
	switch m.Kind.Destination() {
	case ToRank:
		w.emit(w.ranks[m.Rank].Step(ms(now), m))
	case ToControl:
		w.sent = append(w.sent, AnswerRead(m, w.record, true))
	case ToCoordinator:
		for i := range w.coords {
			w.effects(w.coords[i].Step(ms(now), m))
		}
	}
}

// apply commits an entry and tells the coordinators.
func (w *world) apply(now uint64, e Entry) {
	record, err := w.record.Apply(e)
	if err != nil {
		return
	}
	w.record = record
	for i := range w.coords {
		w.effects(w.coords[i].Committed(ms(now), record))
	}
}

// replace starts a coordinator with the next token; the earlier ones live on.
func (w *world) replace(o Options) *Coordinator {
	w.coords = append(w.coords, *NewCoordinator(testGroup, len(w.ranks), uint64(len(w.coords)+1), w.record, o))
	return &w.coords[len(w.coords)-1]
}

func (w *world) completed() uint64 {
	lowest := w.next[0]
	for _, step := range w.next {
		lowest = min(lowest, step)
	}
	return lowest
}

// run lets one engine ask for its next step, if the lock-step allows it.
func (w *world) run(rank int) bool {
	step := w.next[rank]
	if step != w.completed() {
		return false
	}
	epoch, ok := w.ranks[rank].MayRun(step)
	if !ok {
		return false
	}
	if w.orders != nil && !w.holds[rank][epoch] {
		w.broken = fmt.Sprintf("rank %d runs step %d with epoch %d, which it has not loaded", rank, step, epoch)
	}
	if int(step) == len(w.executed) {
		w.executed = append(w.executed, epoch)
	}
	if w.executed[step] != epoch {
		w.broken = fmt.Sprintf("step %d ran with epochs %d and %d", step, w.executed[step], epoch)
	}
	w.next[rank]++
	return true
}

// crash restarts the process beside a rank, and with engine set the rank too,
// which then joins at the first step the group has not completed.
func (w *world) crash(now uint64, rank int, engine bool) {
	w.ranks[rank] = *NewRank(rank, testGroup, w.ranks[rank].incarnation+1)
	if engine {
		w.next[rank] = w.completed()
	}
	if w.orders != nil && engine {
		w.holds[rank] = map[uint64]bool{}
	}
	w.tickRank(now, rank)
}
