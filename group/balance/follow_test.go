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

// follow plays observations and carries out every switch at once.
func follow(f *Follower, current *group.Map, load []float64) bool {
	f.Observe(load)
	decision := f.Decide(*current)
	if decision.Switch {
		*current = decision.Map
	}
	return decision.Switch
}

func TestNoiseAloneSettlesAndSwitchesNoMore(t *testing.T) {
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
	is.True(late <= 2) // once even, it stays as it is
	is.True(f.Skew(current) < 1.25)
}

// TestAJumpIsFollowedAtOnce cuts a jump into an observation at several places:
// what is left of the mixture without the former demand shows the next one.
func TestAJumpIsFollowedAtOnce(t *testing.T) {
	for _, part := range []float64{0.3, 0.5, 0.8, 1} {
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
				mixture[i] = old[i]*(1-part) + next[i]*part
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

func TestAFollowerThatHasSeenNothingProposesNothing(t *testing.T) {
	is := is.New(t)
	f := NewFollower(followConfig())
	is.True(!f.Decide(group.RoundRobin(followShape)).Switch)
	f.Observe(make([]float64, followShape.Layers*followShape.Experts))
	is.True(!f.Decide(group.RoundRobin(followShape)).Switch)
}

// TestFewCopiesComeFirst weighs a switch right after a jump: the one that is in
// force soonest is taken if it saves most for its time, and a large one only for
// what is left.
func TestFewCopiesComeFirst(t *testing.T) {
	is := is.New(t)
	config := followConfig()
	config.CoordinationSeconds = 0.09
	rng := rand.New(rand.NewPCG(7, 8))
	most := func(f *Follower, current group.Map) int {
		return slices.Max(group.Moves(current, f.Decide(current).Map))
	}
	first, rest := 0, 0
	for range 20 {
		f, current := NewFollower(config), group.RoundRobin(followShape)
		load := zipfLoad(followShape, rng)
		for range 3 {
			f.Observe(noisy(load, rng))
		}
		first += most(f, current)
		current = f.Decide(current).Map
		if f.Decide(current).Switch {
			rest += most(f, current)
		}
	}
	is.True(first <= 25)   // one copy a rank, mostly
	is.True(rest >= first) // and more at a time afterwards
}
