package following

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/lilackeel/lilackeel/group"
)

// The model of demand follows measurements on complete deployments. The shares of the most
// popular experts of a layer stay constant (17.7, 8.4, 5.5 and 4.1 percent of 64 experts)
// and fall as a power of the position in the ranking, Deployment.PopularityExponent, above a
// uniform share that all experts have. At each jump about half of the positions are taken by
// other experts.
const (
	// uniformShare is the part of the demand that is spread evenly over all experts.
	uniformShare = 0.27
	// swapProbability is the probability that the expert at a position of the ranking is
	// swapped with another one at a jump.
	swapProbability = 0.5
	// jumpInterval is the mean time between two jumps, jumpJitter its standard deviation.
	jumpInterval = 3400 * time.Millisecond
	jumpJitter   = 60 * time.Millisecond
)

// demand is the simulated load of the experts.
type demand struct {
	shape group.Shape
	rng   *rand.Rand
	// ranking lists the experts of each layer by popularity, the most popular first.
	ranking [][]int
	// shares are the shares of the demand of a layer, by position in the ranking.
	shares []float64
	// load is the present share of each expert, by layer and expert.
	load     []float64
	nextJump time.Duration
}

func newDemand(shape group.Shape, popularity float64, rng *rand.Rand) *demand {
	d := &demand{shape: shape, rng: rng, load: make([]float64, shape.Layers*shape.Experts)}
	var sum float64
	for position := range shape.Experts {
		weight := 1 / math.Pow(float64(position+1), popularity)
		d.shares = append(d.shares, weight)
		sum += weight
	}
	for position := range d.shares {
		d.shares[position] = (1-uniformShare)*d.shares[position]/sum + uniformShare/float64(shape.Experts)
	}
	for range shape.Layers {
		d.ranking = append(d.ranking, rng.Perm(shape.Experts))
	}
	d.updateLoad()
	d.nextJump = jumpInterval
	return d
}

// advance changes the demand if a jump is due, and returns the load of each expert.
func (d *demand) advance(now time.Duration) []float64 {
	if now < d.nextJump {
		return d.load
	}
	d.nextJump += jumpInterval + time.Duration(d.rng.NormFloat64()*float64(jumpJitter))
	for _, ranking := range d.ranking {
		for position := range ranking {
			if d.rng.Float64() < swapProbability {
				other := d.rng.IntN(len(ranking))
				ranking[position], ranking[other] = ranking[other], ranking[position]
			}
		}
	}
	d.updateLoad()
	return d.load
}

func (d *demand) updateLoad() {
	for layer, ranking := range d.ranking {
		for position, expert := range ranking {
			d.load[layer*d.shape.Experts+expert] = d.shares[position]
		}
	}
}
