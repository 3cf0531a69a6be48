package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/group"
)

// TestSwitchesThatStallTheGroupAreAvoided simulates a group that waits a quarter of a second
// for each switch, as happens with packet loss, and one that does not wait.
func TestSwitchesThatStallTheGroupAreAvoided(t *testing.T) {
	is := is.New(t)
	count := func(waited time.Duration) int {
		rng := rand.New(rand.NewPCG(5, 6))
		f, current := NewFollower(followConfig()), group.RoundRobin(followShape)
		var stalls StallEstimator
		switches := 0
		for i := range 200 {
			if i%20 == 0 {
				f.load = zipfLoad(followShape, rng)
			}
			now := time.Duration(i) * 150 * time.Millisecond
			f.SetStall(stalls.ExpectedCost(now).Seconds())
			if d := f.Decide(current); d.Switch {
				current = d.Map
				switches++
				stalls.RecordSwitch(now, waited)
			}
		}
		return switches
	}
	calm, lossy := count(0), count(250*time.Millisecond)
	is.True(calm >= 20)
	is.True(lossy >= 3)      // switching is retried from time to time
	is.True(lossy*2 <= calm) // and otherwise avoided
	var e StallEstimator
	e.RecordSwitch(0, 10*time.Millisecond)
	is.True(e.ExpectedCost(0) < toleratedStall) // a short wait costs only its own duration
}
