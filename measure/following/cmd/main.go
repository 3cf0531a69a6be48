// Command cmd prints how closely expert maps track demand that jumps, for published
// deployment shapes: with the initial map alone, with the policy of the control leader, and
// with a planner that knows demand without delay.
package main

import (
	"fmt"
	"time"

	"github.com/lilackeel/lilackeel/measure/following"
)

const (
	seeds  = 3
	length = time.Minute
)

func main() {
	fmt.Printf("%-36s %-26s %6s %6s %6s %8s %9s\n", "site", "policy", "step", "skew", "late", "copies/s", "switches/s")
	for _, deployment := range following.Deployments() {
		for _, policy := range []following.Policy{{Name: "initial map"}, deployment.LeaderPolicy(), deployment.OraclePolicy()} {
			r := meanResult(policy, deployment)
			fmt.Printf("%-36s %-26s %6.3f %6.3f %6.3f %8.1f %9.2f\n", deployment.Name, policy.Name, r.StepTime, r.Skew, r.LateShare, r.CopiesPerSecond, r.SwitchesPerSecond)
		}
	}
	fmt.Printf("\n%-36s %6s %-26s %6s %6s %8s %9s\n", "site", "filled", "policy", "skew", "beyond", "copies/s", "switches/s")
	for _, deployment := range following.Deployments() {
		for _, passShare := range []float64{0.4, 0.55, 0.7, 0.8, 0.9} {
			loaded := deployment.WithLoad(passShare)
			for _, policy := range []following.Policy{loaded.LeaderPolicy(), loaded.PauseAwarePolicy()} {
				r := meanResult(policy, loaded)
				fmt.Printf("%-36s %6.2f %-26s %6.3f %6.3f %8.1f %9.2f\n", deployment.Name, passShare, policy.Name, r.Skew, r.OverPauseShare, r.CopiesPerSecond, r.SwitchesPerSecond)
			}
		}
	}
}

// meanResult returns the mean result over all seeds.
func meanResult(policy following.Policy, deployment following.Deployment) following.Result {
	var sum following.Result
	for seed := range uint64(seeds) {
		r := following.Run(policy, deployment, seed, length)
		sum.StepTime += r.StepTime / seeds
		sum.Skew += r.Skew / seeds
		sum.LateShare += r.LateShare / seeds
		sum.OverPauseShare += r.OverPauseShare / seeds
		sum.CopiesPerSecond += r.CopiesPerSecond / seeds
		sum.SwitchesPerSecond += r.SwitchesPerSecond / seeds
	}
	return sum
}
