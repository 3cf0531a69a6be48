package balance

import (
	"math"

	"github.com/lilackeel/lilackeel/group"
)

// FollowConfig describes a group whose demand jumps every few seconds and stays
// as it is between two jumps, and whose experts are copied from rank to rank in
// fractions of a second: a switch has to pay before the next jump.
type FollowConfig struct {
	// Shape is the group's shape.
	Shape group.Shape
	// Reach bounds what one switch may bring to a rank.
	Reach Reach
	// Fixed is the part of a step, relative to the mean time that a rank spends on
	// experts, that no map changes.
	Fixed float64
	// CopySeconds is the time to copy one expert to a rank, CopySlow the part by
	// which steps take longer meanwhile.
	CopySeconds, CopySlow float64
	// OrderSeconds is the part of a switch's time in which nothing is copied: the
	// orders, the promises of all ranks and the decision.
	OrderSeconds float64
	// StallSeconds is what a switch costs besides, and MoveSeconds what the
	// deployment pays for each expert copied, in seconds of steps.
	StallSeconds, MoveSeconds float64
	// HoldSeconds is how long a new map is expected to be of use.
	HoldSeconds float64
	// Smoothing is the weight of the newest observation while demand stays, above
	// 0 and at most 1.
	Smoothing float64
	// Jump is the distance between two distributions, 0 to 1, from which on one is
	// another demand and not the noise of the same.
	Jump float64
}

// Follower decides when to switch the map of a group whose demand jumps. It is
// not safe for concurrent use.
type Follower struct {
	config FollowConfig
	layers []demand
	load   []float64
	cost   []float64
}

// demand is what is known of the demand in one layer. An observation in which a
// jump falls is a mixture of two demands: what is left of it without the former
// one is the first estimate of the next, which the next observation replaces.
type demand struct {
	estimate []float64
	// fresh is true for an estimate that is what was left of a mixture.
	fresh bool
}

// NewFollower returns a follower that has seen nothing.
func NewFollower(config FollowConfig) *Follower {
	shape := config.Shape
	f := &Follower{
		config: config, layers: make([]demand, shape.Layers),
		load: make([]float64, shape.Layers*shape.Experts), cost: make([]float64, shape.Ranks),
	}
	for rank := range f.cost {
		f.cost[rank] = 1
	}
	return f
}

// Observe takes in the tokens per step of every expert, by layer.
func (f *Follower) Observe(load []float64) {
	experts := f.config.Shape.Experts
	for n := range f.layers {
		f.layers[n].observe(load[n*experts:(n+1)*experts], &f.config)
		copy(f.load[n*experts:(n+1)*experts], f.layers[n].estimate)
	}
}

func (d *demand) observe(load []float64, config *FollowConfig) {
	share := shares(load)
	switch {
	case share == nil:
		return
	case d.estimate == nil:
		d.estimate, d.fresh = share, true
	case distance(share, d.estimate) < config.Jump:
		weight := config.Smoothing
		if d.fresh {
			weight = 1
		}
		for i := range d.estimate {
			d.estimate[i] += weight * (share[i] - d.estimate[i])
		}
		d.fresh = false
	case d.fresh:
		// The estimate was only what was left of a mixture; this is better.
		d.estimate = share
	default:
		d.estimate, d.fresh = without(share, d.estimate), true
	}
}

// leastPart is the part of a mixture that the next demand must have before what
// is left without the former one is told from noise.
const leastPart = 0.2

// without returns what is left of a mixture without the former demand. Its part
// shows in what the former's busiest expert has lost.
func without(mixture, former []float64) []float64 {
	busiest := 0
	for i := range former {
		if former[i] > former[busiest] {
			busiest = i
		}
	}
	old := min(mixture[busiest]/former[busiest], 1)
	if 1-old < leastPart {
		return mixture
	}
	left := make([]float64, len(mixture))
	for i := range left {
		left[i] = max(mixture[i]-old*former[i], 0)
	}
	return shares(left)
}

// shares returns a load as parts of its sum, nil if there is none.
func shares(load []float64) []float64 {
	var sum float64
	for _, tokens := range load {
		sum += tokens
	}
	if sum <= 0 {
		return nil
	}
	share := make([]float64, len(load))
	for i, tokens := range load {
		share[i] = tokens / sum
	}
	return share
}

// distance is the part of one distribution that would have to move to make it the
// other.
func distance(a, b []float64) float64 {
	var sum float64
	for i := range a {
		sum += math.Abs(a[i] - b[i])
	}
	return sum / 2
}

// Decide weighs the best maps within reach against the present one. Of those that
// pay it takes the one that saves most for the time until it is in force: after a
// jump a few copies of the most popular experts take off most of the skew, and
// streams are late until they are there; the rest is for the next switch.
func (f *Follower) Decide(current group.Map) Decision {
	var best Decision
	var bestRate float64
	reach := f.config.Reach
	for copies := 1; copies <= f.config.Reach.Copies; copies++ {
		reach.Copies = copies
		d, seconds := f.weigh(current, reach)
		if rate := d.Saving / seconds; d.Switch && rate > bestRate {
			best, bestRate = d, rate
		}
	}
	return best
}

// weigh returns the best map within a reach, and the time until it is in force.
func (f *Follower) weigh(current group.Map, reach Reach) (d Decision, seconds float64) {
	shape := f.config.Shape
	next := ImproveWithin(shape, current, f.load, f.cost, reach)
	before, mean := StepLoad(shape, current, f.load, f.cost)
	after, _ := StepLoad(shape, next, f.load, f.cost)
	if mean <= 0 {
		return Decision{}, 1
	}
	moves, most := 0, 0
	for _, count := range group.Moves(current, next) {
		moves += count
		most = max(most, count)
	}
	whole := before + f.config.Fixed*mean
	copying := float64(most) * f.config.CopySeconds
	d = Decision{Map: next, Moves: moves, Saving: (before - after) / whole, Hold: f.config.HoldSeconds}
	d.Gain = d.Saving * d.Hold
	d.Cost = copying*f.config.CopySlow + f.config.StallSeconds + float64(moves)*f.config.MoveSeconds
	d.Switch = moves > 0 && d.Gain > d.Cost
	return d, max(copying+f.config.OrderSeconds, minSwitchSeconds)
}

// minSwitchSeconds keeps a switch that copies nothing from having no time at all.
const minSwitchSeconds = 0.001

// Skew returns the load of the busiest ranks over the mean, under a map.
func (f *Follower) Skew(m group.Map) float64 {
	busiest, mean := StepLoad(f.config.Shape, m, f.load, f.cost)
	if mean <= 0 {
		return 1
	}
	return busiest / mean
}
