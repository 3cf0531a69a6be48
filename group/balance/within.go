package balance

import "github.com/lilackeel/lilackeel/group"

// Reach bounds what one switch may bring to a rank.
type Reach struct {
	// Spare is the number of experts of one layer, Copies of all layers together.
	Spare, Copies int
	// Least is what a move must take off the sum of the busiest ranks, relative to
	// the mean load of a rank in a layer.
	Least float64
}

// leastGain ends the search where gains are no more than the rounding of sums,
// which could be gained again and again; relative to the mean load of a rank.
const leastGain = 1e-4

// ImproveWithin returns the map that the best moves lead to, one at a time over
// all layers, within the reach of one switch. The time that a switch takes grows
// with the most copies that any rank has to take, so they are spread.
func ImproveWithin(shape group.Shape, m group.Map, load, cost []float64, reach Reach) group.Map {
	m = m.Clone()
	layers := make([]*layer, shape.Layers)
	copies := make([]int, shape.Ranks)
	for rank := range copies {
		copies[rank] = reach.Copies
	}
	for n := range layers {
		layers[n] = newLayer(shape, m.Layer(n), load[n*shape.Experts:(n+1)*shape.Experts], cost)
		layers[n].bound(reach.Spare, copies)
	}
	best := make([]offer, len(layers))
	for n := range layers {
		best[n] = layers[n].offer()
	}
	for range shape.Layers * shape.SlotsPerLayer() {
		chosen := -1
		for n := range best {
			if best[n].found && (chosen < 0 || best[n].gain > best[chosen].gain) {
				chosen = n
			}
		}
		if chosen < 0 {
			return m
		}
		if best[chosen].gain <= max(reach.Least, leastGain)*layers[chosen].even() {
			return m
		}
		layers[chosen].apply(best[chosen].change)
		// A move uses up copies of its ranks, which others may have counted on.
		for n := range best {
			if n == chosen || !layers[n].stillOpen(best[n].change) {
				best[n] = layers[n].offer()
			}
		}
	}
	return m
}

// offer is the best change of one layer, and what it gains per move.
type offer struct {
	change change
	gain   float64
	found  bool
}

func (l *layer) offer() offer {
	rank, second := l.busiest()
	best, found := l.bestChange(rank, second, l.shape.SlotsPerLayer())
	if !found {
		return offer{}
	}
	return offer{change: best, gain: (l.rank[rank] - best.peak) / float64(best.moves), found: true}
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
