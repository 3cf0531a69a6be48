package balance

import (
	"math"
	"slices"
	"time"

	"github.com/lilackeel/lilackeel/group"
)

// FollowConfig describes a group whose demand jumps every few seconds and stays
// the same between two jumps, and whose experts are copied from rank to rank in
// fractions of a second: a switch has to pay off before the next jump.
type FollowConfig struct {
	// Shape is the group's shape.
	Shape group.Shape
	// Limits bounds the experts that one switch may copy to a rank.
	Limits MoveLimits
	// FixedRatio is the part of the step time that does not depend on the map, relative
	// to the mean time that a rank spends on experts.
	FixedRatio float64
	// CopySeconds is the time to copy one expert to a rank, CopySlowdown the fraction
	// by which steps take longer during copying.
	CopySeconds, CopySlowdown float64
	// CoordinationSeconds is the part of a switch's time in which nothing is copied:
	// the orders, the promises of all ranks and the decision.
	CoordinationSeconds float64
	// StallSeconds is what a switch costs in addition to its copies, and MoveSeconds
	// what the deployment pays for each expert copied, in seconds of step time.
	StallSeconds, MoveSeconds float64
	// LifetimeSeconds is how long a new map is expected to be of use.
	LifetimeSeconds float64
	// Smoothing is the weight of the newest observation while demand stays the same,
	// above 0 and at most 1.
	Smoothing float64
	// JumpThreshold is the total variation distance between two load distributions, 0
	// to 1, from which on they count as different demand rather than noise.
	JumpThreshold float64
}

// Follower decides when to switch the map of a group whose demand jumps. It is
// not safe for concurrent use.
type Follower struct {
	config FollowConfig
	layers []demand
	load   []float64
	// cost is the time that a unit of load takes on each rank, 1 being nominal, and highestCost
	// the highest of them.
	cost        []float64
	highestCost float64
	// lastRejection is the last decision not to switch.
	lastRejection rejection
	// stall is the cost set by SetStall.
	stall float64
	// unitTime and maxGap are the times set by SetStepTime.
	unitTime, maxGap time.Duration
	// changedLayers is the number of layers whose demand jumped in the last observation.
	changedLayers int
}

// demand is the estimated distribution of the load of one layer over its experts. An
// observation during which demand jumps is a mixture of the old and the new
// distribution: what remains of it after subtracting the old one is the first estimate
// of the new one, which the next observation replaces.
type demand struct {
	estimate []float64
	// provisional is true for a first observation and for an estimate that was
	// extracted from a mixture.
	provisional bool
}

// NewFollower returns a follower without any observations.
func NewFollower(config FollowConfig) *Follower {
	shape := config.Shape
	f := &Follower{
		config: config, layers: make([]demand, shape.Layers),
		load: make([]float64, shape.Layers*shape.Experts), cost: make([]float64, shape.Ranks), highestCost: 1,
	}
	for rank := range f.cost {
		f.cost[rank] = 1
	}
	return f
}

// Observe records the tokens per step of every expert, by layer.
func (f *Follower) Observe(load []float64) {
	experts := f.config.Shape.Experts
	f.changedLayers = 0
	for n := range f.layers {
		if f.layers[n].observe(load[n*experts:(n+1)*experts], &f.config) {
			f.changedLayers++
		}
		copy(f.load[n*experts:(n+1)*experts], f.layers[n].estimate)
	}
}

// Jumped reports whether the last observation showed a change of demand in most
// layers; layers change together.
func (f *Follower) Jumped() bool { return 2*f.changedLayers > len(f.layers) }

// SetStall sets the expected cost of a switch other than its copies, in seconds of step
// time, in addition to FollowConfig.StallSeconds.
func (f *Follower) SetStall(seconds float64) { f.stall = seconds }

// SetStepTime sets unit, the step time per unit of relative step time, as StepTimeEstimator
// estimates it, and maxGap, the longest gap between two tokens that the group's streams were
// promised, zero for none. While unit is zero, which means unknown, a shorter step is worth
// exactly the time that it saves.
func (f *Follower) SetStepTime(unit, maxGap time.Duration) { f.unitTime, f.maxGap = unit, maxGap }

// RelativeStepTime returns the time of a step under a map, relative to the mean time that a
// rank spends on experts.
func (f *Follower) RelativeStepTime(m group.Map) float64 { return f.fixedRatio() + f.Skew(m) }

// SetRankCosts sets the time that a unit of load takes on each rank, 1 being nominal. Initially
// all ranks are nominal.
func (f *Follower) SetRankCosts(costs []float64) {
	if slices.Equal(f.cost, costs) {
		return
	}
	copy(f.cost, costs)
	f.highestCost = slices.Max(f.cost)
	f.lastRejection = rejection{}
}

// fixedRatio is FollowConfig.FixedRatio on the slowest rank, for which the others wait.
func (f *Follower) fixedRatio() float64 { return f.config.FixedRatio * f.highestCost }

// BalancedStepTime returns the time of a step of evenly loaded nominal ranks, in the unit of
// RelativeStepTime.
func (f *Follower) BalancedStepTime() float64 { return f.config.FixedRatio + 1 }

func (f *Follower) stallSeconds() float64 { return f.config.StallSeconds + f.stall }

// SetLifetime sets for how long demand is expected to stay the same, in seconds.
func (f *Follower) SetLifetime(seconds float64) { f.config.LifetimeSeconds = seconds }

// observe records an observation and reports whether it shows a change of demand.
func (d *demand) observe(load []float64, config *FollowConfig) (jumped bool) {
	share := normalize(load)
	switch {
	case share == nil:
		return false
	case d.estimate == nil:
		d.estimate, d.provisional = share, true
	case totalVariation(share, d.estimate) < config.JumpThreshold:
		weight := config.Smoothing
		if d.provisional {
			weight = 1
		}
		for i := range d.estimate {
			d.estimate[i] += weight * (share[i] - d.estimate[i])
		}
		d.provisional = false
	case d.provisional:
		// The estimate was only provisional; the new observation is better.
		d.estimate = share
	default:
		d.estimate, d.provisional = subtractDemand(share, d.estimate), true
		return true
	}
	return false
}

// minNewShare is the share of the new demand in a mixture below which what remains
// after subtracting the old demand cannot be told from noise.
const minNewShare = 0.2

// subtractDemand returns what remains of a mixture after subtracting the old demand.
// The share of the old demand is estimated by how much the load of its busiest expert
// has dropped.
func subtractDemand(mixture, old []float64) []float64 {
	busiest := 0
	for i := range old {
		if old[i] > old[busiest] {
			busiest = i
		}
	}
	oldShare := min(mixture[busiest]/old[busiest], 1)
	if 1-oldShare < minNewShare {
		return mixture
	}
	rest := make([]float64, len(mixture))
	for i := range rest {
		rest[i] = max(mixture[i]-oldShare*old[i], 0)
	}
	return normalize(rest)
}

// normalize returns a load as fractions of its sum, or nil if the sum is zero.
func normalize(load []float64) []float64 {
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

// totalVariation returns the total variation distance between two distributions.
func totalVariation(a, b []float64) float64 {
	var sum float64
	for i := range a {
		sum += math.Abs(a[i] - b[i])
	}
	return sum / 2
}

// Decide compares the best maps within the limits with the current one, from one copy per
// rank upwards. A switch of few copies is in force soon and leaves some of the skew,
// which the next switch removes; a switch of many takes longer but saves the coordination
// time of a second one. Decide chooses the option that saves most until demand is expected
// to change, including the savings of a follow-up switch.
func (f *Follower) Decide(current group.Map) Decision {
	shape := f.config.Shape
	before, mean := StepLoad(shape, current, f.load, f.cost)
	if mean <= 0 || f.alreadyRejected(current, before/mean) {
		return Decision{}
	}
	p := newPlan(shape, current, f.load, f.cost, f.config.Limits)
	options := make([]option, 0, f.config.Limits.Total)
	for copies := 1; copies <= f.config.Limits.Total && shouldExtend(options); copies++ {
		p.extend(copies)
		options = append(options, f.evaluate(current, p.current.Clone(), before, mean))
	}
	var best Decision
	var bestValue float64
	for i, o := range options {
		if value := f.netValue(o, options[i+1:]); o.Switch && value > bestValue {
			best, bestValue = o.Decision, value
		}
	}
	if !best.Switch {
		f.lastRejection = rejection{digest: current.Digest(), skew: before / mean, lifetime: f.config.LifetimeSeconds, stall: f.stall, unitTime: f.unitTime}
	}
	return best
}

// maxWorseOptions is the number of options with more copies, none better than the best so
// far, after which Decide stops looking for others: in a large group each takes some
// milliseconds of the leader's processor time, during which everything else waits.
const maxWorseOptions = 2

// shouldExtend reports whether to evaluate an option with one more copy per rank.
func shouldExtend(options []option) bool {
	best := 0
	for i, o := range options {
		if o.Gain-o.Cost > options[best].Gain-options[best].Cost {
			best = i
		}
	}
	return len(options)-1-best < maxWorseOptions || len(options) == 0
}

// rejection holds the inputs of a decision not to switch. The decision stands until they
// change in favour of a switch, as when the skew grows: looking for a better map takes tens
// of milliseconds in a large group.
type rejection struct {
	digest   uint64
	skew     float64
	lifetime float64
	stall    float64
	unitTime time.Duration
}

// skewTolerance is the relative growth of the skew, and the relative decrease of the stall
// cost, beyond which a rejection is reconsidered.
const skewTolerance = 0.03

// stepTimeTolerance is the factor by which the step time must grow for a rejection to be
// reconsidered; measured step times vary by a tenth.
const stepTimeTolerance = 1.15

// alreadyRejected reports whether the last rejection still stands for the current map and
// skew.
func (f *Follower) alreadyRejected(current group.Map, skew float64) bool {
	d := f.lastRejection
	if f.stall < d.stall*(1-skewTolerance) || f.unitTime > time.Duration(float64(d.unitTime)*stepTimeTolerance) {
		return false
	}
	return d.digest == current.Digest() && skew <= d.skew*(1+skewTolerance) && f.config.LifetimeSeconds <= d.lifetime*2
}

// Skew returns the ratio of the load of the busiest ranks, weighted by their costs, to the mean
// load under a map, over all layers.
func (f *Follower) Skew(m group.Map) float64 {
	busiest, mean := StepLoad(f.config.Shape, m, f.load, f.cost)
	if mean <= 0 {
		return 1
	}
	return busiest / mean
}
