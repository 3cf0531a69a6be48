package balance

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/group"
)

// TestAPlanImprovesWhereSeveralRanksAreTheBusiest improves the first map of large groups. An
// expert on two ranks makes both of them the busiest, so that no single move lowers the
// highest load; a search that minimized the highest load stopped at a skew of 1.9 with 32
// ranks.
func TestAPlanImprovesWhereSeveralRanksAreTheBusiest(t *testing.T) {
	for _, test := range []struct {
		shape    group.Shape
		exponent float64
		copies   int
	}{
		{group.Shape{Layers: 6, Experts: 64, Ranks: 8, Slots: 11}, 1.6, 5},
		{group.Shape{Layers: 4, Experts: 64, Ranks: 16, Slots: 5}, 1.1, 4},
		{group.Shape{Layers: 12, Experts: 128, Ranks: 32, Slots: 5}, 0.82, 6},
		{group.Shape{Layers: 12, Experts: 144, Ranks: 72, Slots: 3}, 0.53, 6},
	} {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(1, 2))
		load := make([]float64, test.shape.Layers*test.shape.Experts)
		for n := range test.shape.Layers {
			for place, expert := range rng.Perm(test.shape.Experts) {
				load[n*test.shape.Experts+expert] = 1 / math.Pow(float64(place+1), test.exponent)
			}
		}
		cost := ones(test.shape.Ranks)
		p := newPlan(test.shape, group.RoundRobin(test.shape), load, cost, MoveLimits{PerLayer: 4})
		last := math.Inf(1)
		for copies := 1; copies <= test.copies; copies++ {
			p.extend(copies)
			is.NoErr(p.current.Validate(test.shape))
			busiest, mean := StepLoad(test.shape, p.current, load, cost)
			is.True(busiest/mean <= last) // more copies never increase the skew
			last = busiest / mean
		}
		is.True(last < 1.25)
	}
}
