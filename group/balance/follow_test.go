package balance

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/group"
)

func followConfig() FollowConfig {
	return FollowConfig{
		Shape: followShape, Limits: MoveLimits{PerLayer: 2, Total: 3}, FixedRatio: 0.6, CopySeconds: 0.11, CopySlowdown: 0.15,
		StallSeconds: 0.03, LifetimeSeconds: 2, Smoothing: 0.3, JumpThreshold: 0.12,
	}
}

// follow passes an observation to the follower and carries out a switch at once. It
// reports whether there was one.
func follow(f *Follower, current *group.Map, load []float64) bool {
	f.Observe(load)
	decision := f.Decide(*current)
	if decision.Switch {
		*current = decision.Map
	}
	return decision.Switch
}

func TestNoiseAloneCausesNoFurtherSwitches(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(3, 4))
	f, current := NewFollower(followConfig()), group.RoundRobin(followShape)
	load := zipfLoad(followShape, rng)
	switches, late := 0, 0
	for i := range 200 {
		if follow(f, &current, noisy(load, rng)) {
			switches++
			if i > 20 {
				late++
			}
		}
	}
	is.True(switches >= 1)
	is.True(late <= 2) // an even map is kept
	is.True(f.Skew(current) < 1.25)
}

// TestAJumpIsFollowedAtOnce places a jump at several points within an observation. The
// follower must subtract the old demand from the mixture and switch to a map for the new
// one.
func TestAJumpIsFollowedAtOnce(t *testing.T) {
	for _, newShare := range []float64{0.3, 0.5, 0.8, 1} {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(5, 6))
		f, current := NewFollower(followConfig()), group.RoundRobin(followShape)
		for range 10 {
			old, next := zipfLoad(followShape, rng), zipfLoad(followShape, rng)
			for range 20 {
				follow(f, &current, noisy(old, rng))
			}
			mixture := make([]float64, len(old))
			for i := range mixture {
				mixture[i] = old[i]*(1-newShare) + next[i]*newShare
			}
			is.True(follow(f, &current, noisy(mixture, rng)))
			busiest, mean := StepLoad(followShape, current, next, ones(16))
			is.True(busiest/mean < 2.2)
			for range 3 {
				follow(f, &current, noisy(next, rng))
			}
			busiest, mean = StepLoad(followShape, current, next, ones(16))
			is.True(busiest/mean < 1.6)
		}
	}
}

func TestAFollowerWithoutObservationsProposesNothing(t *testing.T) {
	is := is.New(t)
	f := NewFollower(followConfig())
	is.True(!f.Decide(group.RoundRobin(followShape)).Switch)
	f.Observe(make([]float64, followShape.Layers*followShape.Experts))
	is.True(!f.Decide(group.RoundRobin(followShape)).Switch)
}

// TestFewCopiesComeFirst decides right after a jump: a switch of few copies, which is in
// force soonest, comes first, and a larger one only removes the remaining skew.
func TestFewCopiesComeFirst(t *testing.T) {
	is := is.New(t)
	config := followConfig()
	config.CoordinationSeconds = 0.09
	rng := rand.New(rand.NewPCG(7, 8))
	maxMoves := func(f *Follower, current group.Map) int {
		return slices.Max(group.Moves(current, f.Decide(current).Map))
	}
	first, second := 0, 0
	for range 20 {
		f, current := NewFollower(config), group.RoundRobin(followShape)
		load := zipfLoad(followShape, rng)
		for range 3 {
			f.Observe(noisy(load, rng))
		}
		first += maxMoves(f, current)
		current = f.Decide(current).Map
		if f.Decide(current).Switch {
			second += maxMoves(f, current)
		}
	}
	is.True(first <= 25)     // mostly one copy per rank
	is.True(second >= first) // and more at a time afterwards
}
