package balance

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/group"
)

var followShape = group.Shape{Layers: 4, Experts: 64, Ranks: 16, Slots: 5}

// zipfLoad returns a load with newly drawn hot experts, as after a jump.
func zipfLoad(shape group.Shape, rng *rand.Rand) []float64 {
	load := make([]float64, shape.Layers*shape.Experts)
	for n := range shape.Layers {
		for place, expert := range rng.Perm(shape.Experts) {
			load[n*shape.Experts+expert] = 1000 / math.Pow(float64(place+1), 1.1)
		}
	}
	return load
}

// noisy returns a noisy observation of a load.
func noisy(load []float64, rng *rand.Rand) []float64 {
	observed := make([]float64, len(load))
	for i, tokens := range load {
		observed[i] = max(0, tokens+rng.NormFloat64()*math.Sqrt(tokens))
	}
	return observed
}

func TestASwitchStaysWithinItsLimits(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	limits := MoveLimits{PerLayer: 2, Total: 3}
	current := group.RoundRobin(followShape)
	for range 30 {
		load := zipfLoad(followShape, rng)
		p := newPlan(followShape, current, load, ones(16), limits)
		p.extend(limits.Total)
		next := p.current
		is.NoErr(next.Validate(followShape))
		for rank, copies := range group.Moves(current, next) {
			is.True(copies <= limits.Total) // in all layers together
			for layer := range followShape.Layers {
				added := 0
				for _, expert := range next.Rank(layer, rank) {
					if expert != group.Empty && !holds(current.Rank(layer, rank), expert) {
						added++
					}
				}
				is.True(added <= limits.PerLayer)
			}
		}
		before, mean := StepLoad(followShape, current, load, ones(16))
		after, _ := StepLoad(followShape, next, load, ones(16))
		is.True(after < before)
		is.True(after/mean < 2) // a third of a second of copying removes most of the skew
		current = next
	}
}

func holds(list []uint16, expert uint16) bool {
	for _, held := range list {
		if held == expert {
			return true
		}
	}
	return false
}
