package entry

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/endpoint/lockstep"
	"github.com/lilackeel/lilackeel/endpoint/outlier"
	"github.com/lilackeel/lilackeel/endpoint/prefix"
	"github.com/lilackeel/lilackeel/endpoint/reach"
	"github.com/lilackeel/lilackeel/endpoint/suspicion"
	"github.com/lilackeel/lilackeel/feed"
	"github.com/lilackeel/lilackeel/quarantine"
	"github.com/lilackeel/lilackeel/routed"
)

// TestLateRequestsQueueForFirstConfiguration applies the first configuration of an entry, as after a
// restart of all machines. Callers that have waited for it request slots as soon as it is applied,
// before the load of the pool has been evaluated. As many may wait as the pool will have slots.
func TestLateRequestsQueueForFirstConfiguration(t *testing.T) {
	is := is.New(t)
	table, groups := endpoint.NewTable(), lockstep.New()
	loads := load.New(load.Config{}, table)
	admissions := NewAdmissionController(Config{Routed: true, MaxWait: 300 * time.Millisecond, MaxRetryAfter: time.Second})
	limits := NewRateLimits(Config{}, table, admissions, slog.New(slog.DiscardHandler))
	server := routed.NewServer(routed.Config{}, routed.Dependencies{
		Endpoints: table, Loads: loads, Groups: groups, RateLimits: &PermitClient{RateLimits: limits}, Budget: call.NewBudget(call.BudgetConfig{}), Logger: slog.New(slog.DiscardHandler),
	}, func() time.Duration { return time.Second })
	c := &configurer{
		directory: NewDirectory(), table: table, admission: admissions, loads: loads, groups: groups, routed: server,
		index: prefix.New(prefix.Config{}), outliers: outlier.New(outlier.Config{}), reach: reach.New(), limits: limits,
		reports: NewReportSubscriber(Config{}, nil, table, loads, nil, nil, groups, nil, quarantine.NewTracker(), limits, suspicion.NewTracker(1), slog.New(slog.DiscardHandler)),
	}
	delta := &fleetv1.Delta{ToRevision: 1, Site: &fleetv1.Site{
		Version: 1, Pools: []*fleetv1.Pool{{Name: "pool", Engine: &fleetv1.EngineModel{Sets: 12, Slots: 10}}},
	}}
	for i := range 64 {
		delta.Endpoints = append(delta.Endpoints, &fleetv1.Endpoint{
			Id: fmt.Sprintf("engine-%d", i), Pool: "pool", Addr: fmt.Sprintf("10.0.0.%d:80", i), Slots: 10,
			Kind: fleetv1.EndpointKind_ENDPOINT_KIND_ENGINE, State: fleetv1.EndpointState_ENDPOINT_STATE_SERVING, Live: true, Incarnation: 1,
		})
	}
	c.apply(context.Background(), (&feed.View{}).Apply(delta), delta)
	is.True(server.Published())
	waiting := 0
	for waiting < 1000 && admissions.lateQueues.enqueue("pool", 0, time.Second, time.Second, occupancyOf(admissions.gate("pool"), 0)) {
		waiting++
	}
	is.Equal(waiting, 640)
}
