package mapswitch

import (
	"fmt"
	"hash/maphash"
	"testing"
	"time"

	"github.com/lilackeel/lilackeel/proof"
)

func ms(n uint64) time.Duration { return time.Duration(n) * time.Millisecond }

// far is later than every timeout.
const far = uint64(time.Hour / time.Millisecond)

// healEvery is the share of states from which the network is healed.
const healEvery = 200

// bounds limit an exploration.
type bounds struct {
	ranks, coordinators, crashes int
	steps                        uint64
	switches, raises             int
	patient                      bool // no coordinator gives up
	states                       int  // at least this many must be visited
}

// node is a world with everything ever sent: any message may be delivered at any
// time, any number of times, or never.
type node struct {
	*world
	net     [8]uint64 // set of message numbers
	entries [1]uint64 // set of entry numbers
	crashes int
	begun   int
}

type explorer struct {
	bounds
	t        *testing.T
	options  Options
	seed     maphash.Seed
	seen     map[uint64]struct{}
	messages []Message
	numbers  map[Message]int
	log      []Entry
	logged   map[Entry]int
	healed   int
}

func explore(t *testing.T, b bounds) *explorer {
	x := &explorer{bounds: b, t: t, seed: maphash.MakeSeed(), seen: map[uint64]struct{}{}, numbers: map[Message]int{}, logged: map[Entry]int{}}
	x.options = Options{LeadSteps: 1, MaxRaises: b.raises}
	root := &node{world: newWorld(b.ranks)}
	stack := []*node{x.settle(root)}
	for len(stack) > 0 {
		n := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for _, act := range x.actions(n) {
			child := &node{world: n.world.clone(), net: n.net, entries: n.entries, crashes: n.crashes, begun: n.begun}
			act(child)
			x.settle(child)
			if child.broken != "" {
				t.Fatalf("after %d states: %s\nrecord %+v", len(x.seen), child.broken, child.record)
			}
			key := x.key(child)
			if _, ok := x.seen[key]; ok {
				continue
			}
			x.seen[key] = struct{}{}
			if len(x.seen)%healEvery == 0 {
				x.heal(child)
			}
			if !x.finished(child) {
				stack = append(stack, child)
			}
		}
	}
	return x
}

// optionsOf gives the first of several coordinators a longer lead, so that its
// successor may choose a lower step.
func (x *explorer) optionsOf(coordinator int) Options {
	options := x.options
	if coordinator == 0 && x.coordinators > 1 {
		options.LeadSteps++
	}
	return options
}

// settle files what was emitted and drops the times, which play no part.
func (x *explorer) settle(n *node) *node {
	for len(n.sent) > 0 {
		m := n.sent[0]
		n.sent = n.sent[1:]
		if m.Kind == KindAcknowledged || m.Kind == KindHolding || m.Kind == KindRefused && x.raises < 0 {
			continue
		}
		if m.Kind == KindRead && !m.Quorum {
			n.deliver(0, Answer(m, n.record, true)) // as good as a Decided
			continue
		}
		number, ok := x.numbers[m]
		if !ok {
			number = len(x.messages)
			x.numbers[m] = number
			x.messages = append(x.messages, m)
		}
		n.net[number/64] |= 1 << (number % 64)
	}
	for _, e := range n.proposed {
		number, ok := x.logged[e]
		if !ok {
			number = len(x.log)
			x.logged[e] = number
			x.log = append(x.log, e)
		}
		n.entries[number/64] |= 1 << (number % 64)
	}
	n.sent, n.proposed = nil, nil
	x.reduce(n)
	return n
}

// reduce drops what can have no effect any more, so that states which differ
// only in that are visited once.
func (x *explorer) reduce(n *node) {
	for i := range n.ranks {
		n.ranks[i].asked, n.ranks[i].lastAsk, n.ranks[i].holding = false, 0, false
	}
	for i := range n.coords {
		c := &n.coords[i]
		c.since, c.lastSend = 0, 0
		if c.phase == PhasePreparing || c.phase == PhasePromising && x.raises > 0 {
			continue
		}
		for j := range c.members {
			c.members[j] = member{promised: c.phase == PhasePromising && c.members[j].promised}
		}
	}
	for i, m := range x.messages {
		if n.net[i/64]&(1<<(i%64)) != 0 && n.spent(m) {
			n.net[i/64] &^= 1 << (i % 64)
		}
	}
	for i, e := range x.log {
		if e.Epoch <= n.record.LastEpoch && e.Epoch != n.record.PendingEpoch {
			n.entries[i/64] &^= 1 << (i % 64)
		}
	}
}

// spent reports whether a message can have no effect on its receiver any more.
func (n *node) spent(m Message) bool {
	r := n.ranks[m.Rank]
	known := r.read && m.Record.Revision <= r.record.Revision
	decided := m.Epoch != n.record.PendingEpoch
	switch m.Kind {
	case KindRead:
		return m.Incarnation != r.incarnation
	case KindRecord:
		return false
	case KindDecided:
		return known
	case KindPrepared:
		return decided || n.coords[m.Token-1].phase != PhasePreparing
	case KindPromised:
		return decided || n.coords[m.Token-1].phase != PhasePromising
	case KindPrepare:
		past := n.coords[m.Token-1].phase != PhasePreparing && r.hasLoaded(m.Epoch) && m.Token <= r.token
		return known && (decided || past)
	}
	return known && decided
}

// finished reports whether all ranks are beyond the last switch.
func (x *explorer) finished(n *node) bool {
	for _, r := range n.ranks {
		if r.record != n.record || r.at < n.record.FromStep {
			return false
		}
	}
	return n.record.LastEpoch == uint64(1+x.switches) && n.record.PendingEpoch == 0
}

func (x *explorer) key(n *node) uint64 {
	var h maphash.Hash
	h.SetSeed(x.seed)
	for i := range n.ranks {
		maphash.WriteComparable(&h, n.ranks[i])
		maphash.WriteComparable(&h, n.next[i])
	}
	for i := range n.coords {
		c := n.coords[i]
		for _, m := range c.members {
			maphash.WriteComparable(&h, m)
		}
		maphash.WriteComparable(&h, [4]uint64{uint64(c.phase), c.step, uint64(c.raises), c.record.Revision})
	}
	for _, epoch := range n.executed[n.completed():] {
		maphash.WriteComparable(&h, epoch)
	}
	maphash.WriteComparable(&h, n.record)
	maphash.WriteComparable(&h, n.net)
	maphash.WriteComparable(&h, n.entries)
	maphash.WriteComparable(&h, [2]int{n.crashes, n.begun})
	return h.Sum64()
}

// actions lists everything that may happen next.
func (x *explorer) actions(n *node) []func(*node) {
	var acts []func(*node)
	for i, m := range x.messages {
		if n.net[i/64]&(1<<(i%64)) != 0 {
			acts = append(acts, func(n *node) { n.deliver(0, m) })
		}
	}
	for i, e := range x.log {
		if n.entries[i/64]&(1<<(i%64)) != 0 {
			acts = append(acts, func(n *node) { n.apply(0, e) })
		}
	}
	for rank := range n.ranks {
		if n.next[rank] < x.steps {
			acts = append(acts, func(n *node) {
				if !n.run(rank) && n.ranks[rank].holding {
					n.tickRank(far, rank)
				}
			})
		}
		if n.crashes < x.crashes && (rank == 0 || x.crashes > 1) { // ranks are alike
			acts = append(acts, func(n *node) { n.crashes++; n.crash(0, rank, false) })
			if x.coordinators == 1 {
				acts = append(acts, func(n *node) { n.crashes++; n.crash(0, rank, true) })
			}
		}
	}
	if len(n.coords) < x.coordinators {
		acts = append(acts, func(n *node) { n.replace(x.optionsOf(len(n.coords))) })
	}
	for i := range n.coords {
		if _, aborts := n.coords[i].limit(); !aborts || !x.patient {
			acts = append(acts, func(n *node) { n.effects(n.coords[i].Tick(ms(far))) })
		}
		if n.begun < x.switches {
			acts = append(acts, func(n *node) { n.propose(0, i) })
		}
	}
	return acts
}

func (n *node) propose(now uint64, coordinator int) {
	effects, err := n.coords[coordinator].Propose(ms(now), testMap(1))
	if err == nil {
		n.begun++
	}
	n.effects(effects)
}

// heal delivers everything in order and demands that the group makes steps again
// and agrees on the record. A new coordinator takes over if a switch is pending;
// otherwise there is none at all.
func (x *explorer) heal(n *node) {
	x.healed++
	w := n.world.clone()
	if w.replace(x.options); w.record.PendingEpoch == 0 {
		w.coords = nil
	}
	start := w.completed()
	for round := range uint64(60) {
		now := (round + 1) * 25
		if len(w.coords) > 0 {
			w.effects(w.coords[len(w.coords)-1].Tick(ms(now)))
		}
		for rank := range w.ranks {
			w.run(rank)
			w.tickRank(now, rank)
		}
		for len(w.sent) > 0 || len(w.proposed) > 0 {
			sent, proposed := w.sent, w.proposed
			w.sent, w.proposed = nil, nil
			for _, e := range proposed {
				w.apply(now, e)
			}
			for _, m := range sent {
				w.deliver(now, m)
			}
		}
	}
	if w.broken != "" || w.record.PendingEpoch != 0 || w.completed() < start+10 {
		x.t.Fatalf("healed network, group stuck at step %d (from %d): %s\n%+v\n%+v\n%+v", w.completed(), start, w.broken, w.record, w.ranks, w.coords)
	}
	for _, r := range w.ranks {
		if r.record != w.record && w.coords != nil {
			x.t.Fatalf("rank %d knows %+v, the log has %+v", r.id, r.record, w.record)
		}
	}
}

// TestEveryInterleaving visits every state of small groups: messages late,
// doubled, lost and crossed, processes and ranks restarted, the coordinator
// replaced while the old one goes on.
func TestEveryInterleaving(t *testing.T) {
	proof.Cell{Promise: proof.OneMapPerStep, Faults: []proof.Fault{proof.Kill, proof.Restart, proof.Freeze, proof.StalledRank, proof.DelayedMessages, proof.DuplicatedMessages, proof.ReorderedMessages, proof.LostMessages, proof.ClockStep}, Step: "every step of a switch, in every order", Combined: true,
		Guard: "each alone: the promise, a pending switch found after a restart, both uses of the fencing token, incarnation of a read, revisions only grow"}.Log(t)
	for _, b := range []bounds{
		{ranks: 2, coordinators: 1, crashes: 1, steps: 3, switches: 1, raises: -1, states: 10_000},
		{ranks: 2, coordinators: 2, crashes: 0, steps: 4, switches: 1, raises: -1, states: 10_000},
		{ranks: 2, coordinators: 2, crashes: 1, steps: 3, switches: 1, raises: -1, patient: true, states: 10_000},
		{ranks: 2, coordinators: 1, crashes: 0, steps: 4, switches: 2, raises: -1, states: 10_000},
		{ranks: 2, coordinators: 1, crashes: 0, steps: 4, switches: 1, raises: 1, states: 10_000},
		{ranks: 3, coordinators: 1, crashes: 0, steps: 3, switches: 1, raises: -1, states: 10_000},
	} {
		t.Run(fmt.Sprintf("%+v", b), func(t *testing.T) {
			t.Parallel()
			x := explore(t, b)
			t.Logf("%d states, %d messages, %d entries, %d healed", len(x.seen), len(x.messages), len(x.log), x.healed)
			if len(x.seen) < b.states {
				t.Fatalf("visited %d states, want at least %d", len(x.seen), b.states)
			}
		})
	}
}
