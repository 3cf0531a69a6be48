package mapswitch

import (
	"fmt"
	"hash/maphash"
	"testing"
	"time"

	"github.com/lilackeel/lilackeel/proof"
)

func ms(n uint64) time.Duration { return time.Duration(n) * time.Millisecond }

// afterTimeouts is a time in milliseconds after every timeout has expired.
const afterTimeouts = uint64(time.Hour / time.Millisecond)

// healInterval is the number of states between two from which the network is healed.
const healInterval = 200

// bounds limit an exploration.
type bounds struct {
	ranks, coordinators, crashes int
	steps                        uint64
	switches, raises             int
	noTimeouts                   bool // no coordinator aborts because of a timeout
	minStates                    int  // at least this many must be visited
}

// node is a state of the cluster together with everything ever sent: any message
// may be delivered at any time, any number of times, or never.
type node struct {
	*cluster
	net     [8]uint64 // set of message numbers
	entries [1]uint64 // set of entry numbers
	crashes int
	begun   int
}

type explorer struct {
	bounds
	t              *testing.T
	options        Options
	seed           maphash.Seed
	seen           map[uint64]struct{}
	messages       []Message
	messageNumbers map[Message]int
	entries        []Entry
	entryNumbers   map[Entry]int
	healed         int
}

func explore(t *testing.T, b bounds) *explorer {
	x := &explorer{bounds: b, t: t, seed: maphash.MakeSeed(), seen: map[uint64]struct{}{}, messageNumbers: map[Message]int{}, entryNumbers: map[Entry]int{}}
	x.options = Options{LeadSteps: 1, MaxStepRaises: b.raises}
	root := &node{cluster: newCluster(b.ranks)}
	stack := []*node{x.collect(root)}
	for len(stack) > 0 {
		n := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for _, act := range x.actions(n) {
			child := &node{cluster: n.cluster.clone(), net: n.net, entries: n.entries, crashes: n.crashes, begun: n.begun}
			act(child)
			x.collect(child)
			if child.violation != "" {
				t.Fatalf("after %d states: %s\nrecord %+v", len(x.seen), child.violation, child.record)
			}
			key := x.key(child)
			if _, ok := x.seen[key]; ok {
				continue
			}
			x.seen[key] = struct{}{}
			if len(x.seen)%healInterval == 0 {
				x.heal(child)
			}
			if !x.finished(child) {
				stack = append(stack, child)
			}
		}
	}
	return x
}

// coordinatorOptions gives the first of several coordinators a longer lead, so that
// its successor may choose a lower step.
func (x *explorer) coordinatorOptions(coordinator int) Options {
	options := x.options
	if coordinator == 0 && x.coordinators > 1 {
		options.LeadSteps++
	}
	return options
}

// collect adds what was emitted to the sets of messages and entries, and resets the
// times, which have no influence.
func (x *explorer) collect(n *node) *node {
	for len(n.sent) > 0 {
		m := n.sent[0]
		n.sent = n.sent[1:]
		if m.Kind == KindAcknowledged || m.Kind == KindHolding || m.Kind == KindRefused && x.raises < 0 {
			continue
		}
		if m.Kind == KindRead && !m.Quorum {
			n.deliver(0, AnswerRead(m, n.record, true)) // equivalent to a KindDecided
			continue
		}
		number, ok := x.messageNumbers[m]
		if !ok {
			number = len(x.messages)
			x.messageNumbers[m] = number
			x.messages = append(x.messages, m)
		}
		n.net[number/64] |= 1 << (number % 64)
	}
	for _, e := range n.proposed {
		number, ok := x.entryNumbers[e]
		if !ok {
			number = len(x.entries)
			x.entryNumbers[e] = number
			x.entries = append(x.entries, e)
		}
		n.entries[number/64] |= 1 << (number % 64)
	}
	n.sent, n.proposed = nil, nil
	x.canonicalize(n)
	return n
}

// canonicalize drops what can no longer have an effect, so that states that differ
// only in that are visited once.
func (x *explorer) canonicalize(n *node) {
	for i := range n.ranks {
		n.ranks[i].requested, n.ranks[i].lastRequest, n.ranks[i].holding = false, 0, false
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
		if n.net[i/64]&(1<<(i%64)) != 0 && n.obsolete(m) {
			n.net[i/64] &^= 1 << (i % 64)
		}
	}
	for i, e := range x.entries {
		if e.Epoch <= n.record.LastEpoch && e.Epoch != n.record.PendingEpoch {
			n.entries[i/64] &^= 1 << (i % 64)
		}
	}
}

// obsolete reports whether a message can no longer have an effect on its receiver.
func (n *node) obsolete(m Message) bool {
	r := n.ranks[m.Rank]
	known := r.recordRead && m.Record.Revision <= r.record.Revision
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
		past := n.coords[m.Token-1].phase != PhasePreparing && r.hasLoaded(m.Epoch) && m.Token <= r.highestToken
		return known && (decided || past)
	}
	return known && decided
}

// finished reports whether all ranks are beyond the last switch.
func (x *explorer) finished(n *node) bool {
	for _, r := range n.ranks {
		if r.record != n.record || r.position < n.record.FromStep {
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
		maphash.WriteComparable(&h, n.nextStep[i])
	}
	for i := range n.coords {
		c := n.coords[i]
		for _, m := range c.members {
			maphash.WriteComparable(&h, m)
		}
		maphash.WriteComparable(&h, [4]uint64{uint64(c.phase), c.step, uint64(c.stepRaises), c.record.Revision})
	}
	for _, epoch := range n.executedEpochs[n.completedSteps():] {
		maphash.WriteComparable(&h, epoch)
	}
	maphash.WriteComparable(&h, n.record)
	maphash.WriteComparable(&h, n.net)
	maphash.WriteComparable(&h, n.entries)
	maphash.WriteComparable(&h, [2]int{n.crashes, n.begun})
	return h.Sum64()
}

// actions returns every action that may happen next.
func (x *explorer) actions(n *node) []func(*node) {
	var acts []func(*node)
	for i, m := range x.messages {
		if n.net[i/64]&(1<<(i%64)) != 0 {
			acts = append(acts, func(n *node) { n.deliver(0, m) })
		}
	}
	for i, e := range x.entries {
		if n.entries[i/64]&(1<<(i%64)) != 0 {
			acts = append(acts, func(n *node) { n.apply(0, e) })
		}
	}
	for rank := range n.ranks {
		if n.nextStep[rank] < x.steps {
			acts = append(acts, func(n *node) {
				if !n.runStep(rank) && n.ranks[rank].holding {
					n.tickRank(afterTimeouts, rank)
				}
			})
		}
		if n.crashes < x.crashes && (rank == 0 || x.crashes > 1) { // ranks are symmetric
			acts = append(acts, func(n *node) { n.crashes++; n.crash(0, rank, false) })
			if x.coordinators == 1 {
				acts = append(acts, func(n *node) { n.crashes++; n.crash(0, rank, true) })
			}
		}
	}
	if len(n.coords) < x.coordinators {
		acts = append(acts, func(n *node) { n.addCoordinator(x.coordinatorOptions(len(n.coords))) })
	}
	for i := range n.coords {
		if _, aborts := n.coords[i].phaseLimit(); !aborts || !x.noTimeouts {
			acts = append(acts, func(n *node) { n.collectEffects(n.coords[i].Tick(ms(afterTimeouts))) })
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
	n.collectEffects(effects)
}

// heal delivers everything in order and checks that the group runs steps again and
// agrees on the record. A new coordinator takes over if a switch is pending;
// otherwise there is no coordinator at all.
func (x *explorer) heal(n *node) {
	x.healed++
	c := n.cluster.clone()
	if c.addCoordinator(x.options); c.record.PendingEpoch == 0 {
		c.coords = nil
	}
	start := c.completedSteps()
	for round := range uint64(60) {
		now := (round + 1) * 25
		if len(c.coords) > 0 {
			c.collectEffects(c.coords[len(c.coords)-1].Tick(ms(now)))
		}
		for rank := range c.ranks {
			c.runStep(rank)
			c.tickRank(now, rank)
		}
		for len(c.sent) > 0 || len(c.proposed) > 0 {
			sent, proposed := c.sent, c.proposed
			c.sent, c.proposed = nil, nil
			for _, e := range proposed {
				c.apply(now, e)
			}
			for _, m := range sent {
				c.deliver(now, m)
			}
		}
	}
	if c.violation != "" || c.record.PendingEpoch != 0 || c.completedSteps() < start+10 {
		x.t.Fatalf("group stuck at step %d (from %d) after the network healed: %s\n%+v\n%+v\n%+v", c.completedSteps(), start, c.violation, c.record, c.ranks, c.coords)
	}
	for _, r := range c.ranks {
		if r.record != c.record && c.coords != nil {
			x.t.Fatalf("rank %d has record %+v, the log has %+v", r.id, r.record, c.record)
		}
	}
}

// TestEveryInterleaving visits every reachable state of small groups: messages are
// delayed, duplicated, lost and reordered, processes and ranks restart, and the
// coordinator is replaced while the old one keeps running.
func TestEveryInterleaving(t *testing.T) {
	proof.Cell{Promise: proof.OneMapPerStep, Faults: []proof.Fault{proof.Kill, proof.Restart, proof.Freeze, proof.StalledRank, proof.DelayedMessages, proof.DuplicatedMessages, proof.ReorderedMessages, proof.LostMessages, proof.ClockStep}, Step: "every step of a switch, in every order", Combined: true,
		Guard: "each alone: the promise, a pending switch found after a restart, both uses of the fencing token, incarnation of a read, revisions only grow"}.Log(t)
	for _, b := range []bounds{
		{ranks: 2, coordinators: 1, crashes: 1, steps: 3, switches: 1, raises: -1, minStates: 10_000},
		{ranks: 2, coordinators: 2, crashes: 0, steps: 4, switches: 1, raises: -1, minStates: 10_000},
		{ranks: 2, coordinators: 2, crashes: 1, steps: 3, switches: 1, raises: -1, noTimeouts: true, minStates: 10_000},
		{ranks: 2, coordinators: 1, crashes: 0, steps: 4, switches: 2, raises: -1, minStates: 10_000},
		{ranks: 2, coordinators: 1, crashes: 0, steps: 4, switches: 1, raises: 1, minStates: 10_000},
		{ranks: 3, coordinators: 1, crashes: 0, steps: 3, switches: 1, raises: -1, minStates: 10_000},
	} {
		t.Run(fmt.Sprintf("%+v", b), func(t *testing.T) {
			t.Parallel()
			x := explore(t, b)
			t.Logf("%d states, %d messages, %d entries, %d healed", len(x.seen), len(x.messages), len(x.entries), x.healed)
			if len(x.seen) < b.minStates {
				t.Fatalf("visited %d states, want at least %d", len(x.seen), b.minStates)
			}
		})
	}
}
