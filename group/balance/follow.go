package balance

import "github.com/lilackeel/lilackeel/group"

// FollowConfig describes a group whose demand shifts within seconds, and whose
// experts are copied from rank to rank in fractions of one: a switch has to pay
// within the time that demand stays as it is.
type FollowConfig struct {
	// Shape is the group's shape.
	Shape group.Shape
	// Spare is the number of experts of a layer that one switch may bring to a
	// rank.
	Spare int
	// Fixed is the part of a step, relative to the mean time that a rank spends on
	// experts, that no map changes.
	Fixed float64
	// CopySeconds is the time to copy one expert to a rank, CopySlow the part by
	// which steps take longer meanwhile.
	CopySeconds, CopySlow float64
	// StallSeconds is what a switch costs besides.
	StallSeconds float64
	// HoldSeconds is how long demand is expected to stay as it is.
	HoldSeconds float64
	// Smoothing is the weight of the newest observation, above 0 and at most 1.
	Smoothing float64
}

// Follower decides when to switch the map of a group whose demand shifts within
// seconds. It takes the latest demand at little less than its word: the counts of
// half a second are far above their noise, and what they show is gone soon.
type Follower struct {
	config FollowConfig
	load   []float64
	seen   bool
	cost   []float64
}

// NewFollower returns a follower that has seen nothing.
func NewFollower(config FollowConfig) *Follower {
	f := &Follower{config: config, load: make([]float64, config.Shape.Layers*config.Shape.Experts), cost: make([]float64, config.Shape.Ranks)}
	for rank := range f.cost {
		f.cost[rank] = 1
	}
	return f
}

// Observe takes in the tokens per step of every expert, by layer.
func (f *Follower) Observe(load []float64) {
	weight := f.config.Smoothing
	if !f.seen {
		weight = 1
	}
	f.seen = true
	for i := range f.load {
		f.load[i] += weight * (load[i] - f.load[i])
	}
}

// Decide weighs the best map within reach against the present one.
func (f *Follower) Decide(current group.Map) Decision {
	if !f.seen {
		return Decision{}
	}
	shape := f.config.Shape
	next := ImproveWithin(shape, current, f.load, f.cost, f.config.Spare)
	before, mean := StepLoad(shape, current, f.load, f.cost)
	after, _ := StepLoad(shape, next, f.load, f.cost)
	if mean <= 0 {
		return Decision{}
	}
	moves, most := 0, 0
	for _, count := range group.Moves(current, next) {
		moves += count
		most = max(most, count)
	}
	whole := before + f.config.Fixed*mean
	d := Decision{Map: next, Moves: moves, Saving: (before - after) / whole, Hold: f.config.HoldSeconds}
	d.Gain = d.Saving * d.Hold
	d.Cost = float64(most)*f.config.CopySeconds*f.config.CopySlow + f.config.StallSeconds
	d.Switch = moves > 0 && d.Gain > d.Cost
	return d
}

// Skew returns the load of the busiest ranks over the mean, under a map.
func (f *Follower) Skew(m group.Map) float64 {
	busiest, mean := StepLoad(f.config.Shape, m, f.load, f.cost)
	if mean <= 0 {
		return 1
	}
	return busiest / mean
}
