// Command jumps prints step times and copies of a group whose demand jumps every 2.1 to 2.7 s,
// over 16 jumps: with the policy of the control leader, with other prices of copies and other
// lower bounds on the gain of a move, and with a planner that knows demand without delay.
package main

import (
	"fmt"

	"github.com/lilackeel/lilackeel/measure/following"
)

const seeds = 8

func main() {
	fmt.Printf("%6s %-10s %5s %-26s %9s %6s %6s %7s %9s\n", "filled", "jumps", "share", "policy", "sum", "skew", "beyond", "copies", "switches")
	for _, passShare := range []float64{0.8, 0.65, 0.45} {
		for _, model := range []following.JumpModel{
			following.MeasuredShares(following.ReturningJumps), following.MeasuredShares(following.MixedJumps),
			following.MeasuredShares(following.FreshJumps), following.MeasuredVariation(following.ReturningJumps),
			following.MeasuredVariation(following.FreshJumps),
		} {
			d := following.JumpingDeployment(model, passShare)
			for _, p := range policies(d) {
				printMean(passShare, model, p, d)
			}
		}
	}
}

func policies(d following.Deployment) []following.Policy {
	oracle := d.OraclePolicy()
	oracle.PauseAware = true
	regular := d.PauseAwarePolicy()
	regular.Name, regular.RegularJumps = "regular jumps", true
	out := []following.Policy{d.PauseAwarePolicy(), regular, oracle}
	for _, factor := range []float64{2, 3} {
		p := d.PauseAwarePolicy().WithCopyPrice(factor)
		p.Name = fmt.Sprintf("copy price x %g", factor)
		out = append(out, p)
	}
	for _, gain := range []float64{0.01} {
		p := d.PauseAwarePolicy().WithMinGain(gain)
		p.Name = fmt.Sprintf("gain of a move >= %g", gain)
		out = append(out, p)
	}
	return out
}

// printMean prints the mean result of a policy over all seeds. The sum of step times is in
// seconds of evenly loaded ranks.
func printMean(passShare float64, model following.JumpModel, p following.Policy, d following.Deployment) {
	seconds := following.JumpsDuration.Seconds() / seeds
	var sum, skew, beyond, copies, switches float64
	for seed := uint64(1); seed <= seeds; seed++ {
		r := following.Run(p, d, seed, following.JumpsDuration)
		sum += r.StepTime * seconds
		skew += r.Skew / seeds
		beyond += r.OverPauseShare / seeds
		copies += r.CopiesPerSecond * seconds
		switches += r.SwitchesPerSecond * seconds
	}
	fmt.Printf("%6.2f %-10s %5.2f %-26s %9.2f %6.3f %6.3f %7.0f %9.1f\n", passShare, model.Kind, model.Share, p.Name, sum, skew, beyond, copies, switches)
}
