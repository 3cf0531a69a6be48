package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/group"
)

func randomLoad(rng *rand.Rand, shape group.Shape) []float64 {
	load := make([]float64, shape.Layers*shape.Experts)
	for i := range load {
		load[i] = 100 * math.Exp(0.9*rng.NormFloat64())
	}
	return load
}

func ones(n int) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = 1
	}
	return out
}

// TestMapsStayValid checks that every map built or improved is valid, that an improved
// map has no higher step load, and that the incrementally updated rank loads of an
// improved layer are correct.
func TestMapsStayValid(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		shape := group.Shape{Layers: 2, Experts: 20 + rng.IntN(30), Ranks: 8, Slots: 7, Zones: []int{0, 0, 0, 1, 1, 1, 2, 2}}
		load, cost := randomLoad(rng, shape), ones(shape.Ranks)
		cost[3] = 1.5
		is.NoErr(Greedy(shape, load, cost).Validate(shape)) // the seed determines the shape
		before := group.RoundRobin(shape)
		after := Improve(shape, before, load, cost, 40)
		is.NoErr(after.Validate(shape))
		old, _ := StepLoad(shape, before, load, cost)
		improved, _ := StepLoad(shape, after, load, cost)
		is.True(improved <= old)

		l := newLayer(shape, before.Clone().Layer(0), load[:shape.Experts], cost)
		improveLayer(l, 0, 40)
		for rank, sum := range l.rankLoads {
			is.True(math.Abs(sum-l.rankLoad(rank)) < 1e-6)
		}
	}
}

// benchConfig returns the configuration of a group of the given shape, with the evenness of
// the Nawras deployment in measure/balancing.
func benchConfig(shape group.Shape) Config {
	return Config{
		Shape: shape, Evenness: 0.9, StepTime: 4500 * time.Microsecond, TokenTime: 2.25e-3 / float64(1024*shape.Layers),
		Interval: 5 * time.Second, Lag: 10 * time.Second, ExpertBytes: 40 << 20, StoreRate: 1 << 30, LoadShare: 0.05,
		Stall: 5 * time.Millisecond, CacheTimePerMove: 2 * time.Millisecond, MaxMoves: 2 * shape.Ranks, MaxLifetime: 20 * time.Minute,
	}
}

// BenchmarkDecide measures a decision for a group in which the popularity of experts has
// just changed in every layer, so that the search uses all allowed moves.
func BenchmarkDecide(b *testing.B) {
	for _, shape := range []group.Shape{
		{Layers: 15, Experts: 64, Ranks: 16, Slots: 6},
		{Layers: 60, Experts: 64, Ranks: 16, Slots: 6},
		{Layers: 60, Experts: 128, Ranks: 32, Slots: 6},
		{Layers: 15, Experts: 256, Ranks: 64, Slots: 6},
		{Layers: 60, Experts: 256, Ranks: 64, Slots: 6},
	} {
		b.Run(fmt.Sprintf("%dranks_%dexperts_%dlayers", shape.Ranks, shape.Experts, shape.Layers), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			config := benchConfig(shape)
			config.Ablation.NoMargin = true // every layer is a candidate
			balancer, err := New(config)
			if err != nil {
				b.Fatal(err)
			}
			first := randomLoad(rng, shape)
			current := Improve(shape, Greedy(shape, first, ones(shape.Ranks)), first, ones(shape.Ranks), math.MaxInt)
			second := randomLoad(rng, shape)
			for i := range 70 {
				load := first
				if i > 50 {
					load = second
				}
				balancer.Observe(load, nil)
			}
			if d := balancer.Decide(current); d.Moves == 0 {
				b.Fatal("the balancer found no moves")
			}
			for b.Loop() {
				balancer.newObservations = true
				balancer.Decide(current)
			}
		})
	}
}
