package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/group"
)

// A group of 63 engines with a step time of stepMs, plus tokenMs for the tokens of a rank, of which
// expertShare is the experts' part.
const (
	stepMs      = 4.84
	tokenMs     = 3.6
	expertShare = 0.85
)

var unevenShape = group.Shape{Layers: 8, Experts: 252, Ranks: 63, Slots: 5}

func unevenConfig() FollowConfig {
	return FollowConfig{
		Shape: unevenShape, Limits: MoveLimits{PerLayer: 2, Total: 10}, FixedRatio: (stepMs + (1-expertShare)*tokenMs) / (expertShare * tokenMs),
		CopySeconds: 0.05, CopySlowdown: 0.15, CoordinationSeconds: 0.09, StallSeconds: 0.005, MoveSeconds: 0.00032,
		LifetimeSeconds: 2, Smoothing: 0.3, JumpThreshold: 0.12,
	}
}

// unevenLoad returns a load that falls by a power law over the experts of each layer.
func unevenLoad(rng *rand.Rand) []float64 {
	load := make([]float64, unevenShape.Layers*unevenShape.Experts)
	for n := range unevenShape.Layers {
		for place, expert := range rng.Perm(unevenShape.Experts) {
			load[n*unevenShape.Experts+expert] = math.Pow(float64(place+1), -0.66)
		}
	}
	return load
}

// slowCosts returns the costs of a group with a number of slow ranks.
func slowCosts(ranks int, slowdown float64) []float64 {
	costs := ones(unevenShape.Ranks)
	for i := range ranks {
		costs[(i*unevenShape.Ranks/ranks+7)%unevenShape.Ranks] = slowdown
	}
	return costs
}

// decide carries out up to three switches and returns their number and that of their copies.
func decide(f *Follower, current *group.Map) (switches, copies int) {
	for ; switches < 3; switches++ {
		decision := f.Decide(*current)
		if !decision.Switch {
			break
		}
		*current, copies = decision.Map, copies+decision.Moves
	}
	return switches, copies
}

// settle returns a follower of a nominal group that has the best map for a load.
func settle(seed uint64) (*Follower, group.Map) {
	f, current := NewFollower(unevenConfig()), group.RoundRobin(unevenShape)
	f.Observe(unevenLoad(rand.New(rand.NewPCG(seed, 2))))
	decide(f, &current)
	return f, current
}

// evenSkew returns the skew if load could be divided arbitrarily among ranks of the given costs.
func evenSkew(costs []float64) float64 {
	var speed float64
	for _, cost := range costs {
		speed += 1 / cost
	}
	return float64(len(costs)) / speed
}

// Guards against a search that ends because the busiest rank has no copies left: for 14 slow ranks
// it ended at 1.40, and for 25 ranks slow by a factor of 12 at 6.9.
func TestSlowRanksGiveUpTheirExperts(t *testing.T) {
	for _, c := range []struct {
		ranks    int
		slowdown float64
		// removed is the least part of the excess skew that up to three switches remove.
		removed float64
	}{{1, 1.6, 0.75}, {1, 2.26, 0.88}, {14, 2.26, 0.83}, {25, 12, 0.65}} {
		t.Run(fmt.Sprintf("%d by %v", c.ranks, c.slowdown), func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(2) {
				f, current := settle(seed)
				nominal, initial := f.Skew(current), current
				costs := slowCosts(c.ranks, c.slowdown)
				f.SetRankCosts(costs)
				before, even := f.Skew(current), evenSkew(costs)
				switches, copies := decide(f, &current)
				after := f.Skew(current)
				t.Logf("skew %.2f, slow %.2f, after %d switches with %d copies %.2f; even %.2f", nominal, before, switches, copies, after, even)
				is.NoErr(current.Validate(unevenShape))
				is.True(before-after >= c.removed*(before-even))
				if c.slowdown < 3 {
					is.True(f.RelativeStepTime(current) <= 1.045*(f.fixedRatio()+even))
				}

				f.SetRankCosts(ones(unevenShape.Ranks)) // the ranks recover
				decide(f, &current)
				is.True(f.RelativeStepTime(current) <= 1.06*f.RelativeStepTime(initial))
			}
		})
	}
}

// Guards against a slowdown that leaves traces in the decisions for nominal ranks, and against a
// rejection that stands although a rank has become slow.
func TestNominalCostsChangeNoDecision(t *testing.T) {
	is := is.New(t)
	plain, current := settle(1)
	informed, _ := settle(1)
	is.True(!informed.Decide(current).Switch)
	informed.SetRankCosts(slowCosts(1, 2.26))
	is.True(informed.Decide(current).Switch)
	informed.SetRankCosts(ones(unevenShape.Ranks))
	load := unevenLoad(rand.New(rand.NewPCG(8, 8)))
	plain.Observe(load)
	informed.Observe(load)
	is.Equal(informed.RelativeStepTime(current), plain.RelativeStepTime(current))
	is.Equal(informed.Decide(current), plain.Decide(current))
}

// TestWhenASlowRankIsWorthASwitch prints the pass time of 7 steps for nominal ranks, with slow
// ranks, with the requests of the slow ranks moved to the others, and with the map changed too.
// It guards against switches that make passes longer.
func TestWhenASlowRankIsWorthASwitch(t *testing.T) {
	is := is.New(t)
	const steps = 7
	initial, first := settle(1)
	t.Logf("nominal %.0f ms", steps*(stepMs+(1-expertShare)*tokenMs+expertShare*tokenMs*initial.Skew(first)))
	t.Log("ranks slowdown  slow  requests moved  map changed  both  switches  copies")
	for _, ranks := range []int{1, 3, 7, 14, 25} {
		for _, slowdown := range []float64{1.1, 1.2, 1.3, 1.6, 2.26, 4, 12} {
			f, current := settle(1)
			f.SetRankCosts(slowCosts(ranks, slowdown))
			own := (1 - expertShare) * tokenMs
			moved := max(slowdown*stepMs, stepMs+own*float64(unevenShape.Ranks)/float64(unevenShape.Ranks-ranks))
			pass := func(ownPart float64) float64 { return steps * (ownPart + expertShare*tokenMs*f.Skew(current)) }
			slow, requestsMoved := pass(slowdown*(stepMs+own)), pass(moved)
			switches, copies := decide(f, &current)
			t.Logf("%5d %8.2f %5.0f %15.0f %12.0f %5.0f %9d %7d", ranks, slowdown, slow, requestsMoved, pass(slowdown*(stepMs+own)), pass(moved), switches, copies)
			is.True(pass(moved) <= requestsMoved)
		}
	}
}

// BenchmarkDecideWithSlowRanks measures a decision after ranks have become slow; with none, after a
// jump of demand.
func BenchmarkDecideWithSlowRanks(b *testing.B) {
	for _, c := range []struct {
		ranks    int
		slowdown float64
	}{{0, 1}, {1, 2.26}, {14, 2.26}, {25, 2.26}, {25, 12}} {
		b.Run(fmt.Sprintf("%d_by_%v", c.ranks, c.slowdown), func(b *testing.B) {
			f, current := settle(1)
			if c.ranks == 0 {
				f.Observe(unevenLoad(rand.New(rand.NewPCG(9, 9))))
			}
			f.SetRankCosts(slowCosts(c.ranks, c.slowdown))
			for b.Loop() {
				f.lastRejection = rejection{}
				f.Decide(current)
			}
		})
	}
}
