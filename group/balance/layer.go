package balance

import (
	"math"
	"slices"

	"github.com/lilackeel/lilackeel/group"
)

// layer is the expert placement of one layer, with the resulting loads kept up to date.
type layer struct {
	shape     group.Shape
	slots     []uint16  // aliases the map
	load      []float64 // forecast load of each expert
	cost      []float64 // time that a unit of load takes on each rank; 1 is nominal
	uneven    bool      // the costs differ
	replicas  []int
	holders   [][]int   // the ranks that hold each expert
	rankLoads []float64 // cost-weighted load of each rank
	// exhausted are the ranks from which no change within the limits takes load, which saves
	// looking for one again.
	exhausted []bool
	// originalSlots are the slots before any change. layerBudget is how many experts of
	// this layer each rank may still take that it does not have in originalSlots,
	// totalBudget how many of all layers; nil for no such bounds.
	originalSlots []uint16
	layerBudget   []int
	totalBudget   []int
}

// limitMoves lets each rank take at most perLayer experts of this layer that it does not
// hold now, and at most totalBudget in all layers together. The layers share totalBudget.
func (l *layer) limitMoves(perLayer int, totalBudget []int) {
	l.originalSlots = slices.Clone(l.slots)
	l.totalBudget = totalBudget
	l.layerBudget = make([]int, l.shape.Ranks)
	for rank := range l.layerBudget {
		l.layerBudget[rank] = perLayer
	}
}

// needsCopy reports whether a rank would have to load an expert.
func (l *layer) needsCopy(rank int, expert uint16) bool {
	return expert != group.Empty && !slices.Contains(l.originalSlots[rank*l.shape.Slots:(rank+1)*l.shape.Slots], expert)
}

// chargeBudget updates the budgets after a rank takes (by 1) or gives up (by -1) an expert.
func (l *layer) chargeBudget(rank int, expert uint16, by int) {
	if l.layerBudget != nil && l.needsCopy(rank, expert) {
		l.layerBudget[rank] -= by
		l.totalBudget[rank] -= by
	}
}

// withinBudget reports whether the budgets of a rank allow it to take an expert.
func (l *layer) withinBudget(rank int, expert uint16) bool {
	return l.mayCopy(rank) || !l.needsCopy(rank, expert)
}

// mayCopy reports whether the budgets of a rank allow it to take an expert that it has to load.
func (l *layer) mayCopy(rank int) bool {
	return l.layerBudget == nil || l.layerBudget[rank] > 0 && l.totalBudget[rank] > 0
}

func newLayer(shape group.Shape, slots []uint16, load, cost []float64) *layer {
	l := &layer{shape: shape, slots: slots, load: load, cost: cost, uneven: slices.Min(cost) != slices.Max(cost)}
	l.replicas = make([]int, shape.Experts)
	l.rankLoads = make([]float64, shape.Ranks)
	l.exhausted = make([]bool, shape.Ranks)
	l.holders = make([][]int, shape.Experts)
	for slot, expert := range slots {
		if expert != group.Empty {
			l.replicas[expert]++
			l.holders[expert] = append(l.holders[expert], slot/shape.Slots)
		}
	}
	for rank := range l.rankLoads {
		l.rankLoads[rank] = l.rankLoad(rank)
	}
	return l
}

func (l *layer) rankSlots(rank int) []uint16 {
	return l.slots[rank*l.shape.Slots : (rank+1)*l.shape.Slots]
}

func (l *layer) replicaLoad(expert uint16) float64 {
	if expert == group.Empty {
		return 0
	}
	return l.load[expert] / float64(l.replicas[expert])
}

func (l *layer) rankLoad(rank int) float64 {
	var sum float64
	for _, expert := range l.rankSlots(rank) {
		sum += l.replicaLoad(expert)
	}
	return sum * l.cost[rank]
}

func (l *layer) holds(rank int, expert uint16) bool {
	return expert != group.Empty && slices.Contains(l.holders[expert], rank)
}

// replaceable reports whether a slot with the given contents may be overwritten: it is
// empty, or its expert has another replica.
func (l *layer) replaceable(old uint16) bool { return old == group.Empty || l.replicas[old] >= 2 }

// canSwap reports whether an expert of a rank and targetExpert of the rank target may be
// exchanged.
func (l *layer) canSwap(rank int, expert uint16, target int, targetExpert uint16) bool {
	return target != rank && targetExpert != group.Empty && !l.holds(rank, targetExpert) && !l.holds(target, expert)
}

// extraLoad returns the load that each other replica of an expert gains when one replica is
// removed.
func (l *layer) extraLoad(expert uint16) float64 {
	n := float64(l.replicas[expert])
	return l.load[expert]/(n-1) - l.load[expert]/n
}

// busiest returns the rank with the highest load and the next highest load.
func (l *layer) busiest() (rank int, second float64) {
	for r, load := range l.rankLoads {
		if load > l.rankLoads[rank] {
			rank = r
		}
	}
	for r, load := range l.rankLoads {
		if r != rank {
			second = max(second, load)
		}
	}
	return rank, second
}

// set assigns an expert to a slot and updates the loads of all affected ranks.
func (l *layer) set(slot int, expert uint16) {
	rank := slot / l.shape.Slots
	old := l.slots[slot]
	l.slots[slot] = expert
	l.chargeBudget(rank, old, -1)
	l.chargeBudget(rank, expert, 1)
	l.removeHolder(old, rank)
	l.addHolder(expert, rank)
	l.updateHolders(old)
	l.updateHolders(expert)
	l.rankLoads[rank] = l.rankLoad(rank)
}

func (l *layer) removeHolder(expert uint16, rank int) {
	if expert == group.Empty {
		return
	}
	l.replicas[expert]--
	at := slices.Index(l.holders[expert], rank)
	l.holders[expert] = slices.Delete(l.holders[expert], at, at+1)
}

func (l *layer) addHolder(expert uint16, rank int) {
	if expert == group.Empty {
		return
	}
	l.replicas[expert]++
	l.holders[expert] = append(l.holders[expert], rank)
}

// updateHolders recomputes the loads of the ranks that hold an expert, after its number of
// replicas has changed.
func (l *layer) updateHolders(expert uint16) {
	if expert == group.Empty {
		return
	}
	for _, rank := range l.holders[expert] {
		l.rankLoads[rank] = l.rankLoad(rank)
	}
}

// expectedPeak returns the expected load of the busiest rank in one step. The tokens of
// a step vary around the mean loads, with at least the variance of a Poisson
// distribution; evening out differences smaller than this variation gains almost
// nothing. The smooth maximum (log-sum-exp) approximates the mean of the maximum.
func (l *layer) expectedPeak() float64 {
	rank, _ := l.busiest()
	highest := l.rankLoads[rank]
	deviation := math.Sqrt(l.evenLoad())
	if deviation == 0 || len(l.rankLoads) < 2 {
		return highest
	}
	steepness := math.Sqrt(2*math.Log(float64(len(l.rankLoads)))) / deviation
	var sum float64
	for _, load := range l.rankLoads {
		sum += math.Exp((load - highest) * steepness)
	}
	return highest + math.Log(sum)/steepness
}

// evenLoad returns the load that every rank would have if the load could be divided
// arbitrarily: no placement has a lower peak.
func (l *layer) evenLoad() float64 {
	var load, speed float64
	for _, tokens := range l.load {
		load += tokens
	}
	for _, cost := range l.cost {
		speed += 1 / cost
	}
	return load / speed
}

// StepLoad returns the sums over the layers of the load of the busiest rank and of the
// mean load of the ranks. load holds tokens by layer, then expert; cost is the time
// that a token takes on each rank, 1 being nominal. The ratio of the two sums is the
// skew.
func StepLoad(shape group.Shape, m group.Map, load, cost []float64) (busiest, mean float64) {
	replicas := make([]int, shape.Experts)
	for n := range shape.Layers {
		clear(replicas)
		for _, expert := range m.Layer(n) {
			if expert != group.Empty {
				replicas[expert]++
			}
		}
		highest, sum := maxAndTotalLoad(m, n, replicas, load[n*shape.Experts:], cost)
		busiest += highest
		mean += sum / float64(shape.Ranks)
	}
	return busiest, mean
}

func maxAndTotalLoad(m group.Map, n int, replicas []int, load, cost []float64) (highest, sum float64) {
	for rank := range m.Ranks {
		var total float64
		for _, expert := range m.Rank(n, rank) {
			if expert != group.Empty {
				total += load[expert] / float64(replicas[expert])
			}
		}
		sum += total
		highest = max(highest, total*cost[rank])
	}
	return highest, sum
}
