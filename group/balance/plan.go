package balance

import (
	"math"

	"github.com/lilackeel/lilackeel/group"
)

// MoveLimits bounds the experts that one switch may copy to a rank.
type MoveLimits struct {
	// PerLayer is the maximum number of experts in each layer, Total the maximum in all
	// layers together.
	PerLayer, Total int
	// MinGain is the amount by which a move must reduce the sum of the busiest ranks'
	// loads, relative to the mean load of a rank in a layer.
	MinGain float64
}

// minRelativeGain is the gain, relative to the mean load of a rank, at which the search
// ends. Smaller gains may be rounding errors of the sums, with which the search could
// continue forever.
const minRelativeGain = 1e-4

// plan is a map that is improved by the best moves, one at a time over all layers, with a
// growing number of copies that each rank may take. The duration of a switch grows with
// the largest number of copies that any rank has to take, so the copies are spread over
// the ranks.
type plan struct {
	current group.Map
	layers  []*layer
	// budget is the number of copies that each rank may still take in all layers together,
	// out of limit.
	budget  []int
	limit   int
	minGain float64
	// changes is the best change of each layer.
	changes []scoredChange
}

// newPlan returns a plan that starts from a map and allows no copies yet.
func newPlan(shape group.Shape, m group.Map, load, cost []float64, limits MoveLimits) *plan {
	p := &plan{
		current: m.Clone(), layers: make([]*layer, shape.Layers), budget: make([]int, shape.Ranks),
		minGain: max(limits.MinGain, minRelativeGain), changes: make([]scoredChange, shape.Layers),
	}
	for n := range p.layers {
		p.layers[n] = newLayer(shape, p.current.Layer(n), load[n*shape.Experts:(n+1)*shape.Experts], cost)
		p.layers[n].limitMoves(limits.PerLayer, p.budget)
	}
	return p
}

// extend raises the number of copies that each rank may take to limit, and applies the best
// moves that this allows.
func (p *plan) extend(limit int) {
	for rank := range p.budget {
		p.budget[rank] += limit - p.limit
	}
	p.limit = limit
	for n := range p.layers {
		clear(p.layers[n].exhausted)
		p.changes[n] = p.layers[n].findScoredChange()
	}
	for p.step() {
	}
}

// step applies the best move of all layers, and reports whether there was one.
func (p *plan) step() bool {
	chosen := -1
	for n := range p.changes {
		if p.changes[n].found && (chosen < 0 || p.changes[n].gain > p.changes[chosen].gain) {
			chosen = n
		}
	}
	if chosen < 0 || p.changes[chosen].gain <= p.minGain*p.layers[chosen].evenLoad() {
		return false
	}
	p.layers[chosen].apply(p.changes[chosen].change)
	// A move uses up budget of its ranks, which changes of other layers may rely on.
	for n := range p.changes {
		if n == chosen || p.changes[n].found && !p.layers[n].withinBudgets(p.changes[n].change) {
			p.changes[n] = p.layers[n].findScoredChange()
		}
	}
	return true
}

// scoredChange is the best change of one layer and its gain per move.
type scoredChange struct {
	change change
	gain   float64
	found  bool
}

// withinBudgets reports whether the ranks of a change may still take its experts.
func (l *layer) withinBudgets(c change) bool {
	if c.moves == 0 {
		return false
	}
	if !l.withinBudget(c.slot/l.shape.Slots, c.expert) {
		return false
	}
	return !c.swap || l.withinBudget(c.other/l.shape.Slots, l.slots[c.slot])
}

// norm is the objective that the search minimizes: a power mean of the ranks' loads, which
// the busiest ranks dominate. The highest load itself is not suitable: if an expert on two
// ranks makes both of them the busiest, no single move lowers the highest load, and a
// search that minimizes it stops early.
//
// norm returns the 16th root of the mean of the 16th powers, whose sum is total. It is
// within a quarter of the highest load at 32 ranks.
func norm(total float64, ranks int) float64 {
	return math.Sqrt(math.Sqrt(math.Sqrt(math.Sqrt(total / float64(ranks)))))
}

// power16 returns the 16th power of a load, which is relative to the even load.
func power16(load float64) float64 {
	load *= load
	load *= load
	load *= load
	return load * load
}

// search finds the change of one layer that lowers the norm most per move, among those
// that reduce the load of its busiest rank.
type search struct {
	*layer
	// meanLoad is the layer's evenLoad, the unit of the loads whose powers are taken.
	meanLoad float64
	// replicaLoads is the load of one replica of each expert.
	replicaLoads []float64
	// powers are the 16th powers of the ranks' loads, total is their sum and initialNorm
	// the norm before any change.
	powers      []float64
	total       float64
	initialNorm float64
	// reducedLoads are the loads that the ranks that hold an expert have once it has another
	// replica; below zero for other ranks.
	reducedLoads []float64
	// lowest are the changes of one and of two moves that lead to the lowest sum of powers.
	lowest [2]scored
}

// scored is a change and the sum of powers that it leads to.
type scored struct {
	change change
	total  float64
}

// findScoredChange returns the change of the layer that gains most per move.
func (l *layer) findScoredChange() scoredChange {
	s := search{layer: l, meanLoad: l.evenLoad(), powers: make([]float64, len(l.rankLoads)), reducedLoads: make([]float64, len(l.rankLoads))}
	if s.meanLoad <= 0 {
		return scoredChange{}
	}
	s.replicaLoads = make([]float64, len(l.load))
	for expert, tokens := range l.load {
		s.replicaLoads[expert] = tokens / float64(max(l.replicas[expert], 1))
	}
	for rank, load := range l.rankLoads {
		s.powers[rank] = power16(load / s.meanLoad)
		s.total += s.powers[rank]
	}
	s.initialNorm = norm(s.total, len(l.rankLoads))
	s.lowest[0].total, s.lowest[1].total = s.total, s.total
	busiest, _ := l.busiest()
	if !l.uneven {
		s.scoreRank(busiest)
		return s.best()
	}
	s.scoreSlowRanks(busiest)
	return s.best()
}

// scoreRank evaluates the changes that take load from a rank.
func (s *search) scoreRank(rank int) {
	for i, expert := range s.rankSlots(rank) {
		if expert == group.Empty {
			continue
		}
		slot := rank*s.shape.Slots + i
		s.scoreReplicas(expert)
		// A rank that may take no copies can only take back what it has given up, which is
		// seldom better than giving up more.
		if !s.uneven || s.mayCopy(rank) {
			s.scoreSwaps(rank, slot)
		}
		if s.uneven {
			s.scoreRemoval(rank, slot)
		}
	}
}

// scoreSlowRanks evaluates the changes that take load from the busiest rank or, if there are none,
// from the busiest slow rank for which there are some. Where many ranks are slow, the busiest may
// have no copies left while others could still give up load.
func (s *search) scoreSlowRanks(busiest int) {
	for rank := busiest; rank >= 0; rank = s.nextSlowRank() {
		if s.exhausted[rank] {
			continue
		}
		s.scoreRank(rank)
		if s.lowest[0].change.moves > 0 || s.lowest[1].change.moves > 0 {
			return
		}
		s.exhausted[rank] = true
	}
}

// nextSlowRank returns the slow rank with the highest load above the mean for which there may be
// changes, or -1.
func (s *search) nextSlowRank() int {
	next := -1
	for rank, load := range s.rankLoads {
		if !s.exhausted[rank] && s.cost[rank] > 1 && load > s.meanLoad && (next < 0 || load > s.rankLoads[next]) {
			next = rank
		}
	}
	return next
}

// scoreRemoval evaluates leaving a slot of a rank empty whose expert has other replicas.
func (s *search) scoreRemoval(rank, slot int) {
	expert := s.slots[slot]
	if s.replicas[expert] < 2 {
		return
	}
	for other := range s.reducedLoads {
		s.reducedLoads[other] = -1
	}
	load := max(s.rankLoads[rank]-s.replicaLoads[expert]*s.cost[rank], 0)
	sum := s.total + power16(load/s.meanLoad) - s.powers[rank]
	if sum += s.removalPenalty(expert, rank); s.improves(1, sum) {
		s.keep(change{slot: slot, expert: group.Empty, moves: 1}, sum)
	}
}

// improves reports whether a sum of powers is lower than those of all previous changes with
// the same number of moves. It is checked before the more expensive question whether the
// change is allowed at all. The norm decreases with the sum, so it is computed for the best
// changes only.
func (s *search) improves(moves int, total float64) bool { return total < s.lowest[moves-1].total }

// keep stores a change as the best one with its number of moves.
func (s *search) keep(c change, total float64) { s.lowest[c.moves-1] = scored{change: c, total: total} }

// best returns the change that gains most per move.
func (s *search) best() scoredChange {
	var best scoredChange
	for _, c := range s.lowest {
		if c.change.moves == 0 {
			continue
		}
		gain := (s.initialNorm - norm(max(c.total, 0), len(s.rankLoads))) * s.meanLoad / float64(c.change.moves)
		if gain > best.gain {
			best = scoredChange{change: c.change, gain: gain, found: true}
		}
	}
	return best
}

// scoreReplicas evaluates one more replica of an expert in each replaceable slot.
func (s *search) scoreReplicas(expert uint16) {
	n := float64(s.replicas[expert])
	before, after := s.load[expert]/n, s.load[expert]/(n+1)
	for rank := range s.reducedLoads {
		s.reducedLoads[rank] = -1
	}
	total := s.total
	for _, rank := range s.holders[expert] {
		s.reducedLoads[rank] = max(s.rankLoads[rank]-(before-after)*s.cost[rank], 0)
		total += power16(s.reducedLoads[rank]/s.meanLoad) - s.powers[rank]
	}
	for target, targetLoad := range s.rankLoads {
		if s.reducedLoads[target] >= 0 {
			continue
		}
		for slot := target * s.shape.Slots; slot < (target+1)*s.shape.Slots; slot++ {
			old := s.slots[slot]
			if !s.replaceable(old) {
				continue
			}
			load := targetLoad + (after-s.slotLoad(old))*s.cost[target]
			sum := total + power16(load/s.meanLoad) - s.powers[target]
			if !s.improves(1, sum) || !s.withinBudget(target, expert) {
				continue
			}
			if sum += s.removalPenalty(old, target); s.improves(1, sum) {
				s.keep(change{slot: slot, expert: expert, moves: 1}, sum)
			}
		}
	}
}

// slotLoad returns the load of one replica of the expert in a slot, zero for an empty slot.
func (s *search) slotLoad(expert uint16) float64 {
	if expert == group.Empty {
		return 0
	}
	return s.replicaLoads[expert]
}

// removalPenalty returns by how much the sum of powers grows on the other ranks that hold
// an expert, once its replica on the rank from is removed.
func (s *search) removalPenalty(expert uint16, from int) float64 {
	if expert == group.Empty {
		return 0
	}
	extra := s.extraLoad(expert)
	var sum float64
	for _, rank := range s.holders[expert] {
		if rank == from {
			continue
		}
		load := s.rankLoads[rank]
		if s.reducedLoads[rank] >= 0 {
			load = s.reducedLoads[rank]
		}
		sum += power16((load+extra*s.cost[rank])/s.meanLoad) - power16(load/s.meanLoad)
	}
	return sum
}

// scoreSwaps evaluates the exchange of the expert in a slot of the busiest rank with each
// expert of another rank that has less load per replica.
func (s *search) scoreSwaps(rank, slot int) {
	expert := s.slots[slot]
	share := s.replicaLoads[expert]
	othersTotal := s.total - s.powers[rank]
	for target, load := range s.rankLoads {
		if load >= s.rankLoads[rank] {
			continue // taking load from the busiest rank would make this one the busiest
		}
		for other := target * s.shape.Slots; other < (target+1)*s.shape.Slots; other++ {
			targetExpert := s.slots[other]
			if targetExpert == group.Empty || s.replicaLoads[targetExpert] >= share {
				continue
			}
			difference := share - s.replicaLoads[targetExpert]
			reduced, raised := s.rankLoads[rank]-difference*s.cost[rank], load+difference*s.cost[target]
			sum := othersTotal + power16(reduced/s.meanLoad) - s.powers[target] + power16(raised/s.meanLoad)
			if !s.improves(2, sum) || !s.canSwap(rank, expert, target, targetExpert) || !s.withinBudget(rank, targetExpert) || !s.withinBudget(target, expert) {
				continue
			}
			s.keep(change{slot: slot, other: other, expert: targetExpert, swap: true, moves: 2}, sum)
		}
	}
}
