package balance

import (
	"slices"

	"github.com/lilackeel/lilackeel/group"
)

// Greedy builds a map from the loads alone: spare slots become replicas of the
// expert with the highest load per replica, then the replicas are assigned,
// heaviest first, to the least loaded rank that has a free slot. It ignores the
// map in force and thus the cost of the switch.
func Greedy(shape group.Shape, load, cost []float64) group.Map {
	m := group.NewMap(shape)
	for n := range shape.Layers {
		greedyLayer(shape, m.Layer(n), load[n*shape.Experts:(n+1)*shape.Experts], cost)
	}
	return m
}

func greedyLayer(shape group.Shape, slots []uint16, load, cost []float64) {
	replicas := chooseReplicas(shape, load)
	order := make([]int, shape.Experts)
	for e := range order {
		order[e] = e
	}
	share := func(e int) float64 { return load[e] / float64(replicas[e]) }
	slices.SortStableFunc(order, func(a, b int) int {
		if share(a) != share(b) {
			if share(a) > share(b) {
				return -1
			}
			return 1
		}
		return a - b
	})
	p := &packer{shape: shape, slots: slots, cost: cost, used: make([]int, shape.Ranks), rankLoads: make([]float64, shape.Ranks)}
	for _, e := range order {
		for range replicas[e] {
			p.place(uint16(e), share(e))
		}
	}
}

// chooseReplicas returns the number of replicas of each expert: one, plus the spare slots,
// which are given to the experts with the highest load per replica.
func chooseReplicas(shape group.Shape, load []float64) []int {
	replicas := make([]int, shape.Experts)
	for e := range replicas {
		replicas[e] = 1
	}
	for range shape.SlotsPerLayer() - shape.Experts {
		hottest := -1
		for e, n := range replicas {
			if n < shape.Ranks && (hottest < 0 || load[e]/float64(n) > load[hottest]/float64(replicas[hottest])) {
				hottest = e
			}
		}
		if hottest < 0 {
			break
		}
		replicas[hottest]++
	}
	return replicas
}

type packer struct {
	shape     group.Shape
	slots     []uint16
	cost      []float64
	used      []int
	rankLoads []float64
}

// place assigns one replica to the least loaded rank that can take it. A replica
// that fits nowhere is left out; its expert already has at least one.
func (p *packer) place(expert uint16, share float64) {
	best := -1
	for rank := range p.rankLoads {
		held := p.slots[rank*p.shape.Slots : rank*p.shape.Slots+p.used[rank]]
		if p.used[rank] == p.shape.Slots || slices.Contains(held, expert) {
			continue
		}
		if best < 0 || (p.rankLoads[rank]+share)*p.cost[rank] < (p.rankLoads[best]+share)*p.cost[best] {
			best = rank
		}
	}
	if best < 0 {
		return
	}
	p.slots[best*p.shape.Slots+p.used[best]] = expert
	p.used[best]++
	p.rankLoads[best] += share
}
