package balance

import (
	"math"
	"time"

	"github.com/lilackeel/lilackeel/group"
)

// FollowConfig describes a group whose demand jumps every few seconds and stays
// as it is between two jumps, and whose experts are copied from rank to rank in
// fractions of a second: a switch has to pay before the next jump.
type FollowConfig struct {
	// Shape is the group's shape.
	Shape group.Shape
	// Reach bounds what one switch may bring to a rank.
	Limits MoveLimits
	// Fixed is the part of a step, relative to the mean time that a rank spends on
	// experts, that no map changes.
	FixedRatio float64
	// CopySeconds is the time to copy one expert to a rank, CopySlow the part by
	// which steps take longer meanwhile.
	CopySeconds, CopySlowdown float64
	// OrderSeconds is the part of a switch's time in which nothing is copied: the
	// orders, the promises of all ranks and the decision.
	CoordinationSeconds float64
	// StallSeconds is what a switch costs besides, and MoveSeconds what the
	// deployment pays for each expert copied, in seconds of steps.
	StallSeconds, MoveSeconds float64
	// HoldSeconds is how long a new map is expected to be of use.
	LifetimeSeconds float64
	// Smoothing is the weight of the newest observation while demand stays, above
	// 0 and at most 1.
	Smoothing float64
	// Jump is the distance between two distributions, 0 to 1, from which on one is
	// another demand and not the noise of the same.
	JumpThreshold float64
}

// Follower decides when to switch the map of a group whose demand jumps. It is
// not safe for concurrent use.
type Follower struct {
	config FollowConfig
	layers []demand
	load   []float64
	cost   []float64
	// declined is the last decision not to switch.
	declined declined
	// stall is what SetStall has set.
	stall float64
	// unit and pause are what SetPace has set.
	unit, pause time.Duration
	// changed is the number of layers whose demand jumped in the last observation.
	changed int
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
	f.changed = 0
	for n := range f.layers {
		if f.layers[n].observe(load[n*experts:(n+1)*experts], &f.config) {
			f.changed++
		}
		copy(f.load[n*experts:(n+1)*experts], f.layers[n].estimate)
	}
}

// Jumped reports whether the last observation showed another demand than the ones
// before, in most layers: they change together.
func (f *Follower) Jumped() bool { return 2*f.changed > len(f.layers) }

// SetStall sets what a switch is expected to cost beside its copies, in seconds of steps,
// on top of FollowConfig.StallSeconds.
func (f *Follower) SetStall(seconds float64) { f.stall = seconds }

// SetPace sets the time of a step for each unit of its relative time, as Pace learns it,
// and the longest pause between two steps that callers were promised, zero for none. Until
// the former is known every shorter step is worth what it saves.
func (f *Follower) SetStepTime(unit, pause time.Duration) { f.unit, f.pause = unit, pause }

// Relative is the time of a step under a map, relative to the mean time that a rank spends
// on experts.
func (f *Follower) RelativeStepTime(m group.Map) float64 { return f.config.FixedRatio + f.Skew(m) }

func (f *Follower) stallSeconds() float64 { return f.config.StallSeconds + f.stall }

// SetHold sets for how long demand is expected to stay as it is, in seconds.
func (f *Follower) SetLifetime(seconds float64) { f.config.LifetimeSeconds = seconds }

// observe takes in an observation, and reports whether it shows another demand.
func (d *demand) observe(load []float64, config *FollowConfig) (jumped bool) {
	share := shares(load)
	switch {
	case share == nil:
		return false
	case d.estimate == nil:
		d.estimate, d.fresh = share, true
	case distance(share, d.estimate) < config.JumpThreshold:
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
		return true
	}
	return false
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

// Decide weighs the best maps within reach against the present one, from one copy a
// rank upwards. A switch of few copies is in force soon and leaves a part of the skew,
// which the next one takes off; a switch of many takes longer and saves the second one's
// orders. It takes the one that saves most until demand is expected to change, with
// what would still follow it.
func (f *Follower) Decide(current group.Map) Decision {
	shape := f.config.Shape
	before, mean := StepLoad(shape, current, f.load, f.cost)
	if mean <= 0 || f.settled(current, before/mean) {
		return Decision{}
	}
	p := newPlan(shape, current, f.load, f.cost, f.config.Limits)
	options := make([]option, 0, f.config.Limits.Total)
	for copies := 1; copies <= f.config.Limits.Total && worthMore(options); copies++ {
		p.extend(copies)
		options = append(options, f.weigh(current, p.current.Clone(), before, mean))
	}
	var best Decision
	var most float64
	for i, o := range options {
		if value := f.value(o, options[i+1:]); o.Switch && value > most {
			best, most = o.Decision, value
		}
	}
	if !best.Switch {
		f.declined = declined{digest: current.Digest(), skew: before / mean, hold: f.config.LifetimeSeconds, stall: f.stall, unit: f.unit}
	}
	return best
}

// futile is how many further copies a rank may bring less than the best number of them before
// more are not looked for: each takes some milliseconds of the leader's processor in a
// large group, for which all else waits.
const futile = 2

// worthMore reports whether options of more copies may be better than the best so far.
func worthMore(options []option) bool {
	best := 0
	for i, o := range options {
		if o.Gain-o.Cost > options[best].Gain-options[best].Cost {
			best = i
		}
	}
	return len(options)-1-best < futile || len(options) == 0
}

// declined is what a decision not to switch was made on. It stands until the skew has
// grown: looking for a better map takes tens of milliseconds in a large group.
type declined struct {
	digest uint64
	skew   float64
	hold   float64
	stall  float64
	unit   time.Duration
}

// noticeable is the change of the skew, and of the time for which demand is expected to
// stay, that makes a new look worth while.
const noticeable = 0.03

// slower is the change of the pace that makes a new look worth while; counted passes
// scatter by a tenth.
const slower = 1.15

// settled reports whether it was decided on the present map and skew not to switch.
func (f *Follower) settled(current group.Map, skew float64) bool {
	d := f.declined
	if f.stall < d.stall*(1-noticeable) || f.unit > time.Duration(float64(d.unit)*slower) {
		return false
	}
	return d.digest == current.Digest() && skew <= d.skew*(1+noticeable) && f.config.LifetimeSeconds <= d.hold*2
}

// Skew returns the load of the busiest ranks over the mean, under a map.
func (f *Follower) Skew(m group.Map) float64 {
	busiest, mean := StepLoad(f.config.Shape, m, f.load, f.cost)
	if mean <= 0 {
		return 1
	}
	return busiest / mean
}
