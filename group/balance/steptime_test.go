package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/group"
)

// TestStepTimeIsEstimated simulates steps of 65 ms at a relative time of 3.9, sampled every
// 150 ms, and then a jump of demand that makes them longer at the same load.
func TestStepTimeIsEstimated(t *testing.T) {
	is := is.New(t)
	var e StepTimeEstimator
	is.Equal(e.UnitTime(), time.Duration(0)) // nothing observed yet
	steps := 0.0
	sample := func(now time.Duration, relative float64) {
		e.Observe(now, uint64(steps), relative)
		steps += 150 / (65 * relative / 3.9)
	}
	const unit = 65 * time.Millisecond * 10 / 39
	near := func() bool { return e.UnitTime() > unit*85/100 && e.UnitTime() < unit*115/100 }
	now := time.Duration(0)
	for ; now < 3*time.Second; now += 150 * time.Millisecond {
		sample(now, 3.9)
	}
	is.True(near())
	for ; now < 6*time.Second; now += 150 * time.Millisecond {
		sample(now, 5.5)
	}
	is.True(near()) // the steps are longer because of the skew, not the load
}

func TestAGroupWithoutStepsGivesNoStepTime(t *testing.T) {
	is := is.New(t)
	var e StepTimeEstimator
	for now := time.Duration(0); now < 3*time.Second; now += 150 * time.Millisecond {
		e.Observe(now, 7, 3.9)
	}
	is.Equal(e.UnitTime(), time.Duration(0))
	e.Observe(4*time.Second, 3, 3.9) // the group was formed again: step numbers restart
	e.Observe(4600*time.Millisecond, 13, 3.9)
	is.True(e.UnitTime() > 0)
}

// TestShorterStepsAreValuedByTheirBenefit compares the same demand in a group with short
// steps and in one whose step time is close to the promised maximum pause.
func TestShorterStepsAreValuedByTheirBenefit(t *testing.T) {
	is := is.New(t)
	const pause = 120 * time.Millisecond
	switches := func(stepTime time.Duration) (count int) {
		rng := rand.New(rand.NewPCG(11, 12))
		config := followConfig()
		config.CoordinationSeconds = 0.09
		f, current := NewFollower(config), group.RoundRobin(followShape)
		for range 10 {
			load := zipfLoad(followShape, rng)
			for range 20 {
				f.SetStepTime(time.Duration(float64(stepTime)/(config.FixedRatio+1)), pause)
				if follow(f, &current, noisy(load, rng)) {
					count++
				}
			}
		}
		return count
	}
	unknown, calm, busy := switches(0), switches(35*time.Millisecond), switches(100*time.Millisecond)
	t.Logf("switches after ten jumps: %d with unknown step time, %d at low load, %d at high load", unknown, calm, busy)
	is.True(calm >= 10)           // each jump is followed
	is.True(calm*3 < busy*2)      // with few further switches
	is.True(busy*10 >= unknown*9) // close to the promised pause about as many as with unknown step time
}

func TestLateShareGrowsWithStepTime(t *testing.T) {
	is := is.New(t)
	const pause = 120 * time.Millisecond
	is.Equal(LateShare(60*time.Millisecond, pause), 0.0)
	is.Equal(LateShare(pause, pause), 1.0)
	is.Equal(LateShare(3*pause, pause), 1.0)
	is.True(LateShare(96*time.Millisecond, pause) > 0.4 && LateShare(96*time.Millisecond, pause) < 0.6)
	is.Equal(LateShare(time.Second, 0), 0.0)
}
