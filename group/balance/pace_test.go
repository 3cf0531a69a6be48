package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/group"
)

// TestThePaceIsLearnt plays passes of 65 ms at a relative time of 3.9, seen each 150 ms, and
// then a jump that makes them longer without more load.
func TestThePaceIsLearnt(t *testing.T) {
	is := is.New(t)
	var p StepTimeEstimator
	is.Equal(p.UnitTime(), time.Duration(0)) // nothing is known
	passes := 0.0
	look := func(now time.Duration, relative float64) {
		p.Observe(now, uint64(passes), relative)
		passes += 150 / (65 * relative / 3.9)
	}
	const unit = 65 * time.Millisecond * 10 / 39
	near := func() bool { return p.UnitTime() > unit*85/100 && p.UnitTime() < unit*115/100 }
	now := time.Duration(0)
	for ; now < 3*time.Second; now += 150 * time.Millisecond {
		look(now, 3.9)
	}
	is.True(near())
	for ; now < 6*time.Second; now += 150 * time.Millisecond {
		look(now, 5.5)
	}
	is.True(near()) // the skew makes them longer, not the load
}

func TestAGroupThatStandsStillSaysNothingOfItsPace(t *testing.T) {
	is := is.New(t)
	var p StepTimeEstimator
	for now := time.Duration(0); now < 3*time.Second; now += 150 * time.Millisecond {
		p.Observe(now, 7, 3.9)
	}
	is.Equal(p.UnitTime(), time.Duration(0))
	p.Observe(4*time.Second, 3, 3.9) // formed anew: steps begin again
	p.Observe(4600*time.Millisecond, 13, 3.9)
	is.True(p.UnitTime() > 0)
}

// TestAShorterPassIsWorthWhatCallersGetOfIt compares the same demand in a calm group and in
// one whose passes come near the pause that is promised.
func TestAShorterPassIsWorthWhatCallersGetOfIt(t *testing.T) {
	is := is.New(t)
	const pause = 120 * time.Millisecond
	switches := func(pass time.Duration) (count int) {
		rng := rand.New(rand.NewPCG(11, 12))
		config := followConfig()
		config.CoordinationSeconds = 0.09
		f, current := NewFollower(config), group.RoundRobin(followShape)
		for range 10 {
			load := zipfLoad(followShape, rng)
			for range 20 {
				f.SetStepTime(time.Duration(float64(pass)/(config.FixedRatio+1)), pause)
				if follow(f, &current, noisy(load, rng)) {
					count++
				}
			}
		}
		return count
	}
	unknown, calm, busy := switches(0), switches(35*time.Millisecond), switches(100*time.Millisecond)
	t.Logf("switches after ten jumps: %d where the pace is not known, %d calm, %d busy", unknown, calm, busy)
	is.True(calm >= 10)           // each jump is followed
	is.True(calm*3 < busy*2)      // and little else
	is.True(busy*10 >= unknown*9) // near the promise all is as where nothing is known
}

func TestStreamsAreLateByWhatPassesTake(t *testing.T) {
	is := is.New(t)
	const pause = 120 * time.Millisecond
	is.Equal(LateShare(60*time.Millisecond, pause), 0.0)
	is.Equal(LateShare(pause, pause), 1.0)
	is.Equal(LateShare(3*pause, pause), 1.0)
	is.True(LateShare(96*time.Millisecond, pause) > 0.4 && LateShare(96*time.Millisecond, pause) < 0.6)
	is.Equal(LateShare(time.Second, 0), 0.0)
}
