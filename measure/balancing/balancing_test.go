package balancing

import (
	"testing"

	"github.com/matryer/is"
)

// TestNetGainDoesNotSwitchOnNoise runs the noise and drift workloads at 16 ranks.
// Noise alone must not cause a switch. Under drift, the policy must stay close to
// the p99 skew of greedy with at most a fifth of its bytes loaded, and the same
// seed must give the same result.
func TestNetGainDoesNotSwitchOnNoise(t *testing.T) {
	is := is.New(t)
	workloads, err := Workloads()
	is.NoErr(err)
	size := Sizes()[0]
	figures := func(w Workload, evenness float64) Result {
		p, err := newNetGain(BalancerConfig(size.Shape, evenness))
		is.NoErr(err)
		return simulate(w, size, "", p, 3)
	}
	for _, w := range workloads {
		nawras, haneul := figures(w, nawrasEvenness), figures(w, haneulEvenness)
		switch w.Name {
		case "noise alone":
			is.Equal(nawras.Switches, 0)
			is.Equal(haneul.Switches, 0)
		case "midnight drift":
			greedy := simulate(w, size, "", newGreedy(size.Shape, 0), 3)
			is.True(nawras.SkewP99 <= aimNawrasSkew*greedy.SkewP99)
			is.True(nawras.Gigabytes <= aimNawrasBytes*greedy.Gigabytes)
			is.Equal(nawras, figures(w, nawrasEvenness)) // same seed, same result
		}
	}
}

// TestSwitchStall checks that the median switch does not stall the group with the
// computed lead, even if a rank is unreachable in every third switch, and that it
// does with a lead of two steps.
func TestSwitchStall(t *testing.T) {
	is := is.New(t)
	computed := MeasureStall(16, 0, true, 1)
	is.Equal(computed.P50, 0.0)
	is.True(computed.Committed <= stallSwitches*2/3) // switches with an unreachable rank are aborted in time
	is.True(computed.Committed >= stallSwitches*2/3*95/100)
	is.True(MeasureStall(16, 2, false, 1).P50 > 0)
}
