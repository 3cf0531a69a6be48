package following

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/lilackeel/lilackeel/group"
)

// JumpKind selects which distribution of demand follows a jump.
type JumpKind int

const (
	// ReturningJumps lead to a common part and one of jumpTopics topics: distributions return
	// exactly.
	ReturningJumps JumpKind = iota
	// MixedJumps move part of the demand to one of jumpTopics topics and leave the rest
	// as it was: topics return, but their mixture hardly ever does.
	MixedJumps
	// FreshJumps move part of the demand to a topic that was never seen before.
	FreshJumps
)

// String implements fmt.Stringer.
func (k JumpKind) String() string { return [...]string{"returning", "mixed", "fresh"}[k] }

// JumpModel describes demand that jumps every minJumpInterval to maxJumpInterval.
type JumpModel struct {
	Kind JumpKind
	// Share is the share of the demand that a jump moves, TopicExponent the exponent with which
	// the shares of a topic's experts fall along its ranking.
	Share, TopicExponent float64
}

// MeasuredShares returns a model with the share and the exponent measured on a deployment of 63
// ranks. Its jumps have a total variation of 0.17 to 0.26.
func MeasuredShares(kind JumpKind) JumpModel {
	return JumpModel{Kind: kind, Share: 0.6, TopicExponent: 0.66}
}

// MeasuredVariation returns a model whose jumps have a total variation in the measured range of
// 0.56 to 0.78, which the measured share and exponent do not give. All demand moves in a jump.
func MeasuredVariation(kind JumpKind) JumpModel {
	return JumpModel{Kind: kind, Share: 1, TopicExponent: 0.9}
}

const (
	jumpTopics      = 9
	minJumpInterval = 2100 * time.Millisecond
	maxJumpInterval = 2700 * time.Millisecond
	jumpsPerRun     = 16
	// jumpingSelections is the number of expert selections counted per layer and second. With
	// selectionsPerSecond, the noise alone would reach the threshold of a jump at 252 experts.
	jumpingSelections = 100000
)

// JumpsDuration is the mean duration of the demand before, between and after the jumps of a run.
const JumpsDuration = (jumpsPerRun + 1) * (minJumpInterval + maxJumpInterval) / 2

// jumpingDemand is demand that jumps at nearly regular times.
type jumpingDemand struct {
	shape group.Shape
	model JumpModel
	rng   *rand.Rand
	// topics and common are distributions of each layer over its experts; topic is the index
	// of the topic of the last jump.
	topics   [][]float64
	topic    int
	common   []float64
	load     []float64
	nextJump time.Duration
}

func newJumpingDemand(shape group.Shape, model JumpModel, rng *rand.Rand) *jumpingDemand {
	d := &jumpingDemand{shape: shape, model: model, rng: rng}
	d.common = d.newTopic()
	for range jumpTopics {
		d.topics = append(d.topics, d.newTopic())
	}
	d.load = d.mixTopic(d.common, d.topics[0])
	d.scheduleJump(0)
	return d
}

// newTopic returns a distribution of each layer over its experts, with a random ranking.
func (d *jumpingDemand) newTopic() []float64 {
	var sum float64
	for position := range d.shape.Experts {
		sum += math.Pow(float64(position+1), -d.model.TopicExponent)
	}
	topic := make([]float64, d.shape.Layers*d.shape.Experts)
	for layer := range d.shape.Layers {
		for position, expert := range d.rng.Perm(d.shape.Experts) {
			topic[layer*d.shape.Experts+expert] = math.Pow(float64(position+1), -d.model.TopicExponent) / sum
		}
	}
	return topic
}

func (d *jumpingDemand) scheduleJump(now time.Duration) {
	d.nextJump = now + minJumpInterval + time.Duration(d.rng.Int64N(int64(maxJumpInterval-minJumpInterval)))
}

// advance implements Demand.
func (d *jumpingDemand) advance(now time.Duration) []float64 {
	if now < d.nextJump {
		return d.load
	}
	d.scheduleJump(d.nextJump)
	d.topic = (d.topic + 1 + d.rng.IntN(jumpTopics-1)) % jumpTopics
	switch d.model.Kind {
	case ReturningJumps:
		d.load = d.mixTopic(d.common, d.topics[d.topic])
	case MixedJumps:
		d.load = d.mixTopic(d.load, d.topics[d.topic])
	default:
		d.load = d.mixTopic(d.load, d.newTopic())
	}
	return d.load
}

// mixTopic returns a distribution of which JumpModel.Share is of a topic and the rest as it was.
func (d *jumpingDemand) mixTopic(rest, topic []float64) []float64 {
	mixed := make([]float64, len(rest))
	for i := range mixed {
		mixed[i] = (1-d.model.Share)*rest[i] + d.model.Share*topic[i]
	}
	return mixed
}

// JumpingDeployment returns a group of 63 ranks with demand that jumps every 2.1 to 2.7 s.
// passShare is the fraction of the promised pause that a pass of evenly loaded ranks takes.
// Copying an expert of 320 MB takes 0.1 s and is charged at 1 ms of step time per gigabyte; the
// fixed part of a step is that of an engine whose pass of 7 steps takes 62 ms.
func JumpingDeployment(model JumpModel, passShare float64) Deployment {
	const copySeconds, fixed, spare, coordination = 0.1, 2.2, 2, 120 * time.Millisecond
	shape := group.Shape{Layers: 8, Experts: 252, Ranks: 63, Slots: 5}
	d := newDeployment("63 ranks x 8 layers x 252 experts", shape, model.TopicExponent, copySeconds, fixed, spare, coordination)
	d.Config.MoveSeconds = 0.00032
	d.SelectionsPerSecond = jumpingSelections
	d.Demand = func(shape group.Shape, rng *rand.Rand) Demand { return newJumpingDemand(shape, model, rng) }
	return d.WithLoad(passShare)
}

// WithCopyPrice returns the policy with the price of copies multiplied by a factor.
func (p Policy) WithCopyPrice(factor float64) Policy {
	config := *p.Config
	config.MoveSeconds *= factor
	p.Config = &config
	return p
}

// WithMinGain returns the policy with a lower bound on the gain of each move of a plan, as in
// balance.MoveLimits.
func (p Policy) WithMinGain(gain float64) Policy {
	config := *p.Config
	config.Limits.MinGain = gain
	p.Config = &config
	return p
}
