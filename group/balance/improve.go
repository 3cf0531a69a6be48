package balance

import "github.com/lilackeel/lilackeel/group"

// change is a candidate improvement of a layer.
type change struct {
	// slot receives expert; for a swap, other receives what slot held.
	slot, other int
	expert      uint16
	swap        bool
	moves       int
	// peak is the highest load among the ranks touched and the next busiest.
	peak float64
}

// improveLayer changes a layer by the replicas and swaps that lower its busiest
// rank most per move, until a move gains no more than minGain or the moves are
// used up. It returns the number of moves.
func improveLayer(l *layer, minGain float64, moves int) int {
	used := 0
	for used < moves {
		rank, second := l.busiest()
		peak := l.rankLoads[rank]
		best, found := l.bestChange(rank, second, moves-used)
		if !found || (peak-best.peak)/float64(best.moves) <= max(minGain, peak*1e-9) {
			return used
		}
		l.apply(best)
		used += best.moves
	}
	return used
}

func (l *layer) apply(c change) {
	if !c.swap {
		l.set(c.slot, c.expert)
		return
	}
	from := l.slots[c.slot]
	l.set(c.slot, group.Empty)
	l.set(c.other, group.Empty)
	l.set(c.slot, c.expert)
	l.set(c.other, from)
}

// bestChange returns the change that reduces the load of the busiest rank most per move.
func (l *layer) bestChange(rank int, second float64, moves int) (change, bool) {
	best := change{peak: l.rankLoads[rank], moves: 1}
	found := false
	consider := func(c change) {
		gain, bestGain := l.rankLoads[rank]-c.peak, l.rankLoads[rank]-best.peak
		if gain*float64(best.moves) > bestGain*float64(c.moves) {
			best, found = c, true
		}
	}
	for i, expert := range l.rankSlots(rank) {
		if expert == group.Empty {
			continue
		}
		l.considerReplicas(rank, expert, second, consider)
		if moves >= 2 {
			l.considerSwaps(rank, rank*l.shape.Slots+i, second, consider)
		}
	}
	return best, found
}

// considerReplicas considers placing another replica of an expert of the busiest
// rank in an empty slot, or in place of a replica that can be removed.
func (l *layer) considerReplicas(rank int, expert uint16, second float64, consider func(change)) {
	before := l.replicaLoad(expert)
	after := l.load[expert] / float64(l.replicas[expert]+1)
	reduced := l.rankLoads[rank] - (before-after)*l.cost[rank]
	for slot, old := range l.slots {
		target := slot / l.shape.Slots
		if target == rank || l.rankLoads[target] >= l.rankLoads[rank] || old == expert || !l.replaceable(old) {
			continue
		}
		load := l.rankLoads[target] + (after-l.replicaLoad(old))*l.cost[target]
		if load >= l.rankLoads[rank] || l.holds(target, expert) {
			continue
		}
		peak := max(reduced, load, second)
		if old != group.Empty {
			peak = max(peak, l.withoutReplica(old, target, rank, reduced))
		}
		consider(change{slot: slot, expert: expert, moves: 1, peak: peak + l.zonePenalty(expert, target)})
	}
}

// withoutReplica returns the highest load among the other ranks that hold an
// expert, once its replica on the rank from is removed.
func (l *layer) withoutReplica(expert uint16, from, busiest int, reduced float64) float64 {
	extra := l.extraLoad(expert)
	var highest float64
	for _, rank := range l.holders[expert] {
		if rank == from {
			continue
		}
		load := l.rankLoads[rank]
		if rank == busiest {
			load = reduced
		}
		highest = max(highest, load+extra*l.cost[rank])
	}
	return highest
}

// considerSwaps considers exchanging an expert of the busiest rank with a lighter
// one of another rank.
func (l *layer) considerSwaps(rank, slot int, second float64, consider func(change)) {
	expert := l.slots[slot]
	share := l.replicaLoad(expert)
	for other, back := range l.slots {
		target := other / l.shape.Slots
		if l.rankLoads[target] >= l.rankLoads[rank] {
			continue
		}
		difference := share - l.replicaLoad(back)
		if difference <= 0 {
			continue
		}
		load := l.rankLoads[target] + difference*l.cost[target]
		if load >= l.rankLoads[rank] || !l.canSwap(rank, expert, target, back) {
			continue
		}
		reduced := l.rankLoads[rank] - difference*l.cost[rank]
		consider(change{slot: slot, other: other, expert: back, swap: true, moves: 2, peak: max(reduced, load, second)})
	}
}

// zonePenaltyShare is the share of a rank's load that is added to the score of a replica
// in a zone that already has one, so that an otherwise equal one is preferred: tokens of
// every zone should find replicas of hot experts in their own zone.
const zonePenaltyShare = 1e-3

func (l *layer) zonePenalty(expert uint16, target int) float64 {
	if len(l.shape.Zones) == 0 {
		return 0
	}
	for _, rank := range l.holders[expert] {
		if l.shape.Zone(rank) == l.shape.Zone(target) {
			return zonePenaltyShare * l.rankLoads[target]
		}
	}
	return 0
}

// Improve returns the map that results from at most the given number of best changes,
// regardless of the cost of the moves.
func Improve(shape group.Shape, m group.Map, load, cost []float64, moves int) group.Map {
	m = m.Clone()
	for n := range shape.Layers {
		l := newLayer(shape, m.Layer(n), load[n*shape.Experts:(n+1)*shape.Experts], cost)
		moves -= improveLayer(l, 0, moves)
	}
	return m
}
