package following

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestJumpsReturnOrNeverDo guards the comparison of policies against a model whose jumps are
// too small to count as jumps, or whose kinds do not differ in whether a distribution returns.
func TestJumpsReturnOrNeverDo(t *testing.T) {
	for _, c := range []struct {
		model           JumpModel
		lowest, highest float64
	}{
		{MeasuredShares(ReturningJumps), 0.24, 0.27},
		{MeasuredShares(MixedJumps), 0.16, 0.25},
		{MeasuredShares(FreshJumps), 0.21, 0.25},
		{MeasuredVariation(ReturningJumps), 0.56, 0.78},
		{MeasuredVariation(FreshJumps), 0.56, 0.78},
	} {
		is := is.New(t)
		deployment := JumpingDeployment(c.model, 0.8)
		d := deployment.newDemand(rand.New(rand.NewPCG(1, 1)))
		seen := [][]float64{d.advance(0)}
		returned := 0
		for now := time.Duration(0); now < JumpsDuration; now += tickInterval {
			load := d.advance(now)
			if &load[0] == &seen[len(seen)-1][0] {
				continue
			}
			jump := meanDistance(load, seen[len(seen)-1], deployment.Shape.Layers)
			is.True(jump > c.lowest && jump < c.highest)
			for _, before := range seen {
				if meanDistance(load, before, deployment.Shape.Layers) < deployment.Config.JumpThreshold {
					returned++
					break
				}
			}
			seen = append(seen, load)
		}
		t.Logf("%v: %d distributions, %d returned", c.model, len(seen), returned)
		is.True(len(seen) >= jumpsPerRun)
		is.Equal(returned > 0, c.model.Kind != FreshJumps)
	}
}

// meanDistance returns the mean over the layers of the total variation distance.
func meanDistance(a, b []float64, layers int) float64 {
	var sum float64
	for i := range a {
		sum += math.Abs(a[i] - b[i])
	}
	return sum / 2 / float64(layers)
}

// TestLeaderFollowsRegularJumps guards the control leader's policy on 63 ranks: switches must
// remove most of the skew of the initial map whether or not distributions return.
func TestLeaderFollowsRegularJumps(t *testing.T) {
	for _, kind := range []JumpKind{ReturningJumps, FreshJumps} {
		is := is.New(t)
		d := JumpingDeployment(MeasuredShares(kind), 0.8)
		static, leader := Run(Policy{}, d, 1, JumpsDuration/2), Run(d.PauseAwarePolicy(), d, 1, JumpsDuration/2)
		t.Logf("%s: skew %.2f initial map, %.2f control leader", kind, static.Skew, leader.Skew)
		is.True(static.Skew > 2.5)
		is.True(leader.Skew < 1.8)
	}
}

// TestRegularJumpsSaveCopiesAtHighLoad guards against copies for maps that the next jump makes
// useless, and against any effect where passes are well within the promised pause.
func TestRegularJumpsSaveCopiesAtHighLoad(t *testing.T) {
	for _, kind := range []JumpKind{ReturningJumps, FreshJumps} {
		is := is.New(t)
		compare := func(passShare float64) (before, after Result) {
			d := JumpingDeployment(MeasuredShares(kind), passShare)
			regular := d.PauseAwarePolicy()
			regular.RegularJumps = true
			return Run(d.PauseAwarePolicy(), d, 1, JumpsDuration), Run(regular, d, 1, JumpsDuration)
		}
		before, after := compare(0.8)
		t.Logf("%s: copies per second %.1f and %.1f, step time %.3f and %.3f", kind, before.CopiesPerSecond, after.CopiesPerSecond, before.StepTime, after.StepTime)
		is.True(after.CopiesPerSecond < 0.95*before.CopiesPerSecond)
		is.True(after.StepTime < 1.005*before.StepTime)
		before, after = compare(0.45)
		is.Equal(before, after)
	}
}
