package following

import (
	"math/rand/v2"
	"testing"

	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/balance"
)

// BenchmarkDecide is one decision after a jump, by shape: the time that the leader's
// processor adds to each switch.
func BenchmarkDecide(b *testing.B) {
	for _, site := range append(Deployments(), LargeDeployment(0)) {
		b.Run(site.Name, func(b *testing.B) {
			d := newDemand(site.Shape, site.PopularityExponent, rand.New(rand.NewPCG(1, 1)))
			first := group.RoundRobin(site.Shape)
			var skew float64
			for b.Loop() {
				f := balance.NewFollower(site.Config)
				f.Observe(d.load)
				skew = f.Skew(f.Decide(first).Map)
			}
			b.ReportMetric(skew, "skew")
		})
	}
}
