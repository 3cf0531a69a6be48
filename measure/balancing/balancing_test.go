package balancing

import (
	"testing"

	"github.com/matryer/is"
)

// TestNetGainHoldsStillOnNoise runs the noise and the drift at 16 ranks: noise
// must bring no switch, drift must be followed at a fifth of greedy's bytes, and
// the same seed must give the same figures.
func TestNetGainHoldsStillOnNoise(t *testing.T) {
	is := is.New(t)
	workloads, err := Workloads()
	is.NoErr(err)
	size := Sizes()[0]
	figures := func(w Workload, evenness float64) Result {
		p, err := newBalanced(BalancerConfig(size.Shape, evenness))
		is.NoErr(err)
		return run(w, size, "", p, 3)
	}
	for _, w := range workloads {
		nawras, haneul := figures(w, nawrasEvenness), figures(w, haneulEvenness)
		switch w.Name {
		case "noise alone":
			is.Equal(nawras.Switches, 0)
			is.Equal(haneul.Switches, 0)
		case "midnight drift":
			greedy := run(w, size, "", newGreedy(size.Shape, 0), 3)
			is.True(nawras.SkewP99 <= aimNawrasSkew*greedy.SkewP99)
			is.True(nawras.Gigabytes <= aimNawrasBytes*greedy.Gigabytes)
			is.Equal(nawras, figures(w, nawrasEvenness)) // the same seed, the same figures
		}
	}
}

// TestSwitchStall demands that the computed lead keeps a group from holding in
// all but rare switches, also if a rank cannot be reached, and that a short
// lead does not.
func TestSwitchStall(t *testing.T) {
	is := is.New(t)
	computed := MeasureStall(16, 0, true, 1)
	is.Equal(computed.P50, 0.0)
	is.True(computed.Committed <= stallSwitches*2/3) // the others were aborted in time
	is.True(computed.Committed >= stallSwitches*2/3*95/100)
	is.True(MeasureStall(16, 2, false, 1).P50 > 0)
}
