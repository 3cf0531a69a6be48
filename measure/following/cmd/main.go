// Command cmd prints how closely the maps of published shapes follow demand that jumps:
// with the first map alone, as the control leader does it, and as a planner would that
// knows demand at once.
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
	for _, site := range following.Deployments() {
		for _, policy := range []following.Policy{{Name: "first map"}, site.LeaderPolicy(), site.OraclePolicy()} {
			r := mean(policy, site)
			fmt.Printf("%-36s %-26s %6.3f %6.3f %6.3f %8.1f %9.2f\n", site.Name, policy.Name, r.StepTime, r.Skew, r.LateShare, r.CopiesPerSecond, r.SwitchesPerSecond)
		}
	}
	fmt.Printf("\n%-36s %6s %-26s %6s %6s %8s %9s\n", "site", "filled", "policy", "skew", "beyond", "copies/s", "switches/s")
	for _, site := range following.Deployments() {
		for _, filled := range []float64{0.4, 0.55, 0.7, 0.8, 0.9} {
			loaded := site.WithLoad(filled)
			for _, policy := range []following.Policy{loaded.LeaderPolicy(), loaded.PauseAwarePolicy()} {
				r := mean(policy, loaded)
				fmt.Printf("%-36s %6.2f %-26s %6.3f %6.3f %8.1f %9.2f\n", site.Name, filled, policy.Name, r.Skew, r.OverPauseShare, r.CopiesPerSecond, r.SwitchesPerSecond)
			}
		}
	}
}

// mean is the mean result over the seeds.
func mean(policy following.Policy, site following.Deployment) following.Result {
	var sum following.Result
	for seed := range uint64(seeds) {
		r := following.Run(policy, site, seed, length)
		sum.StepTime += r.StepTime / seeds
		sum.Skew += r.Skew / seeds
		sum.LateShare += r.LateShare / seeds
		sum.OverPauseShare += r.OverPauseShare / seeds
		sum.CopiesPerSecond += r.CopiesPerSecond / seeds
		sum.SwitchesPerSecond += r.SwitchesPerSecond / seeds
	}
	return sum
}
