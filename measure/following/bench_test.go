package following

import (
	"math/rand/v2"
	"testing"

	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/balance"
)

// BenchmarkDecide measures one decision after a jump of demand, by shape: the CPU time that
// the control leader adds to each switch.
func BenchmarkDecide(b *testing.B) {
	for _, deployment := range append(Deployments(), LargeDeployment(0)) {
		b.Run(deployment.Name, func(b *testing.B) {
			d := newDemand(deployment.Shape, deployment.PopularityExponent, rand.New(rand.NewPCG(1, 1)))
			first := group.RoundRobin(deployment.Shape)
			var skew float64
			for b.Loop() {
				f := balance.NewFollower(deployment.Config)
				f.Observe(d.load)
				skew = f.Skew(f.Decide(first).Map)
			}
			b.ReportMetric(skew, "skew")
		})
	}
}
