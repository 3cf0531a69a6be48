package mapswitch

import (
	"fmt"

	"github.com/lilackeel/lilackeel/group"
)

const testGroup = "g"

// testMap returns a map whose contents differ for each n.
func testMap(n uint64) group.Map {
	return group.Map{Layers: 1, Ranks: 1, SlotsPerRank: 1, Slots: []uint16{uint16(n)}}
}

// cluster holds the state machines of one group, its engines and the log's record.
// What the state machines emit is collected in sent and proposed.
type cluster struct {
	ranks          []Rank
	nextStep       []uint64 // the step each engine is about to run
	coords         []Coordinator
	record         Record
	executedEpochs []uint64 // the epoch that each step was run with
	sent           []Message
	proposed       []Entry
	violation      string
	// deferredLoads collects load orders for engines that load with a delay; if it is
	// nil, engines load at once.
	deferredLoads *[]Message
	loadedEpochs  []map[uint64]bool // the epochs that each engine has loaded
}

func newCluster(ranks int) *cluster {
	c := &cluster{ranks: make([]Rank, ranks), nextStep: make([]uint64, ranks)}
	c.record, _ = Record{}.Apply(Entry{Kind: EntryCreate, Group: testGroup, Digest: testMap(0).Digest()})
	for i := range c.ranks {
		c.ranks[i] = *NewRank(i, testGroup, 1)
		c.tickRank(0, i)
	}
	for i, m := range c.sent {
		c.sent[i] = AnswerRead(m, c.record, true)
		c.emit(c.ranks[m.Rank].Step(0, c.sent[i]))
	}
	return c
}

func (c *cluster) clone() *cluster {
	copied := *c
	copied.ranks = append([]Rank(nil), c.ranks...)
	copied.nextStep = append([]uint64(nil), c.nextStep...)
	copied.executedEpochs = append([]uint64(nil), c.executedEpochs...)
	copied.coords = append([]Coordinator(nil), c.coords...)
	for i := range copied.coords {
		copied.coords[i].members = append([]member(nil), copied.coords[i].members...)
	}
	copied.sent, copied.proposed = nil, nil
	return &copied
}

// emit collects messages. Load orders are deferred if deferredLoads is set, and
// otherwise confirmed at once.
func (c *cluster) emit(out []Message) {
	for _, m := range out {
		if m.Kind == KindLoad && c.deferredLoads != nil {
			*c.deferredLoads = append(*c.deferredLoads, m)
			continue
		}
		if m.Kind == KindLoad {
			m.Kind = KindLoaded
			c.emit(c.ranks[m.Rank].Step(0, m))
			continue
		}
		c.sent = append(c.sent, m)
	}
}

func (c *cluster) collectEffects(out []Effect) {
	for _, e := range out {
		if e.Kind == Commit {
			c.proposed = append(c.proposed, e.Entry)
			continue
		}
		c.sent = append(c.sent, e.Message)
	}
}

func (c *cluster) tickRank(now uint64, rank int) { c.emit(c.ranks[rank].Tick(ms(now))) }

// deliver passes a message to its receiver. Messages to coordinators reach all of
// them, so that replaced ones also receive everything they might.
func (c *cluster) deliver(now uint64, m Message) {
	switch m.Kind.Destination() {
	case ToRank:
		c.emit(c.ranks[m.Rank].Step(ms(now), m))
	case ToControl:
		c.sent = append(c.sent, AnswerRead(m, c.record, true))
	case ToCoordinator:
		for i := range c.coords {
			c.collectEffects(c.coords[i].Step(ms(now), m))
		}
	}
}

// apply commits an entry and notifies the coordinators.
func (c *cluster) apply(now uint64, e Entry) {
	record, err := c.record.Apply(e)
	if err != nil {
		return
	}
	c.record = record
	for i := range c.coords {
		c.collectEffects(c.coords[i].Committed(ms(now), record))
	}
}

// addCoordinator starts a coordinator with the next token; the earlier ones keep
// running.
func (c *cluster) addCoordinator(o Options) *Coordinator {
	c.coords = append(c.coords, *NewCoordinator(testGroup, len(c.ranks), uint64(len(c.coords)+1), c.record, o))
	return &c.coords[len(c.coords)-1]
}

func (c *cluster) completedSteps() uint64 {
	lowest := c.nextStep[0]
	for _, step := range c.nextStep {
		lowest = min(lowest, step)
	}
	return lowest
}

// runStep lets one engine ask for its next step, if all ranks have completed the
// previous one.
func (c *cluster) runStep(rank int) bool {
	step := c.nextStep[rank]
	if step != c.completedSteps() {
		return false
	}
	epoch, ok := c.ranks[rank].MayRun(step)
	if !ok {
		return false
	}
	if c.deferredLoads != nil && !c.loadedEpochs[rank][epoch] {
		c.violation = fmt.Sprintf("rank %d ran step %d with epoch %d, which it has not loaded", rank, step, epoch)
	}
	if int(step) == len(c.executedEpochs) {
		c.executedEpochs = append(c.executedEpochs, epoch)
	}
	if c.executedEpochs[step] != epoch {
		c.violation = fmt.Sprintf("step %d ran with epochs %d and %d", step, c.executedEpochs[step], epoch)
	}
	c.nextStep[rank]++
	return true
}

// crash restarts the agent process of a rank and, if engine is set, also the engine,
// which then rejoins at the first step that the group has not completed.
func (c *cluster) crash(now uint64, rank int, engine bool) {
	c.ranks[rank] = *NewRank(rank, testGroup, c.ranks[rank].incarnation+1)
	if engine {
		c.nextStep[rank] = c.completedSteps()
	}
	if c.deferredLoads != nil && engine {
		c.loadedEpochs[rank] = map[uint64]bool{}
	}
	c.tickRank(now, rank)
}
