// Command cmd prints how the policies follow demand that jumps.
package main

import (
	"fmt"
	"time"

	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/balance"
	"github.com/lilackeel/lilackeel/measure/following"
)

func main() {
	shape := group.Shape{Layers: 4, Experts: 64, Ranks: 16, Slots: 5}
	base := balance.FollowConfig{
		Shape: shape, Reach: balance.Reach{Spare: 2, Copies: 3}, Fixed: 0.6, CopySeconds: 0.11, CopySlow: 0.15,
		StallSeconds: 0.03, MoveSeconds: 0.005, HoldSeconds: 2, OrderSeconds: 0.09, Smoothing: 0.3, Jump: 0.12,
	}
	with := func(change func(*balance.FollowConfig)) *balance.FollowConfig {
		c := base
		change(&c)
		return &c
	}
	copies := func(n int) *balance.FollowConfig {
		return with(func(c *balance.FollowConfig) { c.Reach.Copies = n })
	}
	ms := time.Millisecond
	policies := []following.Policy{
		{Name: "first map"},
		{Name: "1 copy", Config: copies(1), Interval: 150 * ms, Delay: 80 * ms, Blind: true},
		{Name: "1 or 2 copies", Config: copies(2), Interval: 150 * ms, Delay: 80 * ms, Blind: true},
		{Name: "1 to 3 copies (in force)", Config: &base, Interval: 150 * ms, Delay: 80 * ms, Blind: true},
		{Name: "observing during switches", Config: &base, Interval: 150 * ms, Delay: 80 * ms},
		{Name: "every 100 ms, 60 ms late", Config: &base, Interval: 100 * ms, Delay: 60 * ms},
		{Name: "every 75 ms, 40 ms late", Config: &base, Interval: 75 * ms, Delay: 40 * ms},
		{Name: "knowing demand at once", Config: &base, Interval: 10 * ms, Knowing: true},
		{Name: "copies at 1 ms", Config: with(func(c *balance.FollowConfig) { c.MoveSeconds = 0.001 }), Interval: 150 * ms, Delay: 80 * ms, Blind: true},
		{Name: "copies at 10 ms", Config: with(func(c *balance.FollowConfig) { c.MoveSeconds = 0.01 }), Interval: 150 * ms, Delay: 80 * ms, Blind: true},
	}
	fmt.Printf("%-32s %6s %6s %6s %8s %9s\n", "policy", "step", "skew", "late", "copies/s", "switches/s")
	for _, p := range policies {
		var sum following.Result
		const seeds = 3
		for seed := range uint64(seeds) {
			r := following.Run(p, shape, base.Fixed, base.CopySlow, seed, 60*time.Second)
			sum.Step += r.Step / seeds
			sum.Skew += r.Skew / seeds
			sum.Late += r.Late / seeds
			sum.Copies += r.Copies / seeds
			sum.Switches += r.Switches / seeds
		}
		fmt.Printf("%-32s %6.3f %6.3f %6.3f %8.1f %9.2f\n", p.Name, sum.Step, sum.Skew, sum.Late, sum.Copies, sum.Switches)
	}
}
