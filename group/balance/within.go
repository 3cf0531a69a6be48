package balance

import (
	"math"

	"github.com/lilackeel/lilackeel/group"
)

// Reach bounds what one switch may bring to a rank.
type MoveLimits struct {
	// Spare is the number of experts of one layer, Copies of all layers together.
	PerLayer, Total int
	// Least is what a move must take off the sum of the busiest ranks, relative to
	// the mean load of a rank in a layer.
	MinGain float64
}

// leastGain ends the search where gains are no more than the rounding of sums,
// which could be gained again and again; relative to the mean load of a rank.
const leastGain = 1e-4

// plan is a map that is improved by the best moves, one at a time over all layers, with a
// growing number of copies that each rank may take: the time that a switch takes grows
// with the most copies that any rank has to take, so they are spread.
type plan struct {
	current group.Map
	layers  []*layer
	// copies is what each rank may still take, in all layers together, under cap.
	copies []int
	cap    int
	least  float64
	best   []offer
}

// newPlan begins with a map and no copies allowed.
func newPlan(shape group.Shape, m group.Map, load, cost []float64, reach MoveLimits) *plan {
	p := &plan{
		current: m.Clone(), layers: make([]*layer, shape.Layers), copies: make([]int, shape.Ranks),
		least: max(reach.MinGain, leastGain), best: make([]offer, shape.Layers),
	}
	for n := range p.layers {
		p.layers[n] = newLayer(shape, p.current.Layer(n), load[n*shape.Experts:(n+1)*shape.Experts], cost)
		p.layers[n].bound(reach.PerLayer, p.copies)
	}
	return p
}

// extend lets each rank take up to cap copies, and takes the best moves that follow.
func (p *plan) extend(cap int) {
	for rank := range p.copies {
		p.copies[rank] += cap - p.cap
	}
	p.cap = cap
	for n := range p.layers {
		p.best[n] = p.layers[n].offer()
	}
	for p.step() {
	}
}

// step takes the best move of all layers, and reports whether there was one.
func (p *plan) step() bool {
	chosen := -1
	for n := range p.best {
		if p.best[n].found && (chosen < 0 || p.best[n].gain > p.best[chosen].gain) {
			chosen = n
		}
	}
	if chosen < 0 || p.best[chosen].gain <= p.least*p.layers[chosen].even() {
		return false
	}
	p.layers[chosen].apply(p.best[chosen].change)
	// A move uses up copies of its ranks, which others may have counted on.
	for n := range p.best {
		if n == chosen || p.best[n].found && !p.layers[n].stillOpen(p.best[n].change) {
			p.best[n] = p.layers[n].offer()
		}
	}
	return true
}

// offer is the best change of one layer, and what it gains per move.
type offer struct {
	change change
	gain   float64
	found  bool
}

// stillOpen reports whether the ranks of a change may still take its experts.
func (l *layer) stillOpen(c change) bool {
	if c.moves == 0 {
		return false
	}
	if !l.mayHost(c.slot/l.shape.Slots, c.expert) {
		return false
	}
	return !c.swap || l.mayHost(c.other/l.shape.Slots, l.slots[c.slot])
}

// norm is what the search lowers: a mean of the ranks' loads in which the busiest count
// most. The busiest load itself does not do: an expert on two ranks makes both the
// busiest, so that no move lowers the highest load by itself, and a search for that stops
// early.
//
// It is the 16th root of the mean of the 16th powers, which is within a quarter of the
// highest load at 32 ranks.
func norm(total float64, ranks int) float64 {
	return math.Sqrt(math.Sqrt(math.Sqrt(math.Sqrt(total / float64(ranks)))))
}

// power is a load, relative to an even one, to the 16th.
func power(load float64) float64 {
	load *= load
	load *= load
	load *= load
	return load * load
}

// search looks for the change of one layer that lowers the norm most per move, among
// those that ease its busiest rank.
type search struct {
	*layer
	unit float64
	// each is what one replica of each expert has to do.
	each []float64
	// powers are those of the ranks' loads, total their sum, before it the norm.
	powers []float64
	total  float64
	before float64
	// eased are the loads of the ranks that hold the expert, once it has another replica;
	// below zero for other ranks.
	eased []float64
	// lowest are the changes of one and of two moves that leave the lowest sum of powers.
	lowest [2]found
}

// found is a change and the sum of powers that it leads to.
type found struct {
	change change
	total  float64
}

// offer returns the best change.
func (l *layer) offer() offer {
	s := search{layer: l, unit: l.even(), powers: make([]float64, len(l.rank)), eased: make([]float64, len(l.rank))}
	if s.unit <= 0 {
		return offer{}
	}
	s.each = make([]float64, len(l.load))
	for expert, tokens := range l.load {
		s.each[expert] = tokens / float64(max(l.replicas[expert], 1))
	}
	for rank, load := range l.rank {
		s.powers[rank] = power(load / s.unit)
		s.total += s.powers[rank]
	}
	s.before = norm(s.total, len(l.rank))
	s.lowest[0].total, s.lowest[1].total = s.total, s.total
	busiest, _ := l.busiest()
	for i, expert := range l.of(busiest) {
		if expert == group.Empty {
			continue
		}
		s.replicate(expert)
		s.swap(busiest, busiest*l.shape.Slots+i)
	}
	return s.best()
}

// better reports whether a sum of powers is lower than those of all changes so far of as many
// moves. It is asked before what takes longer: whether the change is allowed at all. The
// norm falls with the sum, and is worked out for the best changes only.
func (s *search) better(moves int, total float64) bool { return total < s.lowest[moves-1].total }

// take keeps a change as the best of as many moves.
func (s *search) take(c change, total float64) { s.lowest[c.moves-1] = found{change: c, total: total} }

// best returns the change that gains most per move.
func (s *search) best() offer {
	var best offer
	for _, c := range s.lowest {
		if c.change.moves == 0 {
			continue
		}
		gain := (s.before - norm(max(c.total, 0), len(s.rank))) * s.unit / float64(c.change.moves)
		if gain > best.gain {
			best = offer{change: c.change, gain: gain, found: true}
		}
	}
	return best
}

// replicate weighs one more replica of an expert in each slot that can be spared.
func (s *search) replicate(expert uint16) {
	n := float64(s.replicas[expert])
	before, after := s.load[expert]/n, s.load[expert]/(n+1)
	for rank := range s.eased {
		s.eased[rank] = -1
	}
	total := s.total
	for _, rank := range s.hosts[expert] {
		s.eased[rank] = max(s.rank[rank]-(before-after)*s.cost[rank], 0)
		total += power(s.eased[rank]/s.unit) - s.powers[rank]
	}
	for target, laden := range s.rank {
		if s.eased[target] >= 0 {
			continue
		}
		for slot := target * s.shape.Slots; slot < (target+1)*s.shape.Slots; slot++ {
			old := s.slots[slot]
			if !s.spareable(old) {
				continue
			}
			load := laden + (after-s.shareOf(old))*s.cost[target]
			sum := total + power(load/s.unit) - s.powers[target]
			if !s.better(1, sum) || !s.mayHost(target, expert) {
				continue
			}
			if sum += s.without(old, target); s.better(1, sum) {
				s.take(change{slot: slot, expert: expert, moves: 1}, sum)
			}
		}
	}
}

// shareOf is what one replica of the expert in a slot has to do, zero for an empty slot.
func (s *search) shareOf(expert uint16) float64 {
	if expert == group.Empty {
		return 0
	}
	return s.each[expert]
}

// without returns by how much the sum of powers grows on the other ranks that hold an
// expert, once its replica on a rank is gone.
func (s *search) without(expert uint16, from int) float64 {
	if expert == group.Empty {
		return 0
	}
	extra := s.extra(expert)
	var sum float64
	for _, rank := range s.hosts[expert] {
		if rank == from {
			continue
		}
		load := s.rank[rank]
		if s.eased[rank] >= 0 {
			load = s.eased[rank]
		}
		sum += power((load+extra*s.cost[rank])/s.unit) - power(load/s.unit)
	}
	return sum
}

// swap weighs to exchange the expert of a slot of the busiest rank with a lighter one of
// another rank.
func (s *search) swap(rank, slot int) {
	expert := s.slots[slot]
	share := s.each[expert]
	without := s.total - s.powers[rank]
	for target, load := range s.rank {
		if load >= s.rank[rank] {
			continue // what the busiest rank gives away would make this one as busy
		}
		for other := target * s.shape.Slots; other < (target+1)*s.shape.Slots; other++ {
			back := s.slots[other]
			if back == group.Empty || s.each[back] >= share {
				continue
			}
			difference := share - s.each[back]
			eased, laden := s.rank[rank]-difference*s.cost[rank], load+difference*s.cost[target]
			sum := without + power(eased/s.unit) - s.powers[target] + power(laden/s.unit)
			if !s.better(2, sum) || !s.mayExchange(rank, expert, target, back) || !s.mayHost(rank, back) || !s.mayHost(target, expert) {
				continue
			}
			s.take(change{slot: slot, other: other, expert: back, swap: true, moves: 2}, sum)
		}
	}
}
