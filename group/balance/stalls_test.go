package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/group"
)

// TestSwitchesThatStopTheGroupAreLeftOut plays a group whose every switch is waited for
// a quarter of a second, as where packets are lost, and one whose switches are not.
func TestSwitchesThatStopTheGroupAreLeftOut(t *testing.T) {
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
	is.True(lossy >= 3)      // it is tried again now and then
	is.True(lossy*2 <= calm) // and otherwise left out
	var s StallEstimator
	s.RecordSwitch(0, 10*time.Millisecond)
	is.True(s.ExpectedCost(0) < borne) // a short wait costs no more than itself
}
