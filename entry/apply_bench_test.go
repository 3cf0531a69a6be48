package entry

import (
	"context"
	"fmt"
	"testing"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/endpoint/outlier"
	"github.com/lilackeel/lilackeel/endpoint/prefix"
	"github.com/lilackeel/lilackeel/feed"
)

// BenchmarkApplyConfiguration applies a change of one workspace to an entry with the given number
// of workspaces, 2,500 endpoints and 7 pools.
func BenchmarkApplyConfiguration(b *testing.B) {
	for _, workspaces := range []int{10, 1_000, 37_000} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			table := endpoint.NewTable()
			c := &configurer{
				directory: NewDirectory(), table: table, admission: NewAdmissionController(Config{Peers: 40}),
				loads: load.New(load.Config{}, table), index: prefix.New(prefix.Config{}), outliers: outlier.New(outlier.Config{}),
			}
			view, delta := largeConfiguration(workspaces)
			c.directory.Apply(view)
			c.admission.ApplyLimits(delta.GetWorkspaces(), nil)
			for i := range 7 {
				c.admission.gate(fmt.Sprintf("pool-%d", i))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				change := &fleetv1.Delta{
					FromRevision: view.Revision, ToRevision: view.Revision + 1,
					Workspaces: []*fleetv1.Workspace{{Name: "workspace-5", Importance: int32(i%9 + 1)}},
				}
				view = view.Apply(change)
				c.apply(context.Background(), view, change)
			}
		})
	}
}

// largeConfiguration returns a configuration of the target size, as a view and as the delta from an
// empty configuration.
func largeConfiguration(workspaces int) (*feed.View, *fleetv1.Delta) {
	delta := &fleetv1.Delta{ToRevision: 1}
	for i := range workspaces {
		delta.Workspaces = append(delta.Workspaces, &fleetv1.Workspace{
			Name: fmt.Sprintf("workspace-%d", i), Importance: 2, KeyDigests: []string{fmt.Sprintf("%064x", i)},
		})
	}
	for i := range 2_500 {
		delta.Endpoints = append(delta.Endpoints, &fleetv1.Endpoint{Id: fmt.Sprintf("engine-%d", i), Pool: "pool", Slots: 16})
	}
	return (&feed.View{}).Apply(delta), delta
}
