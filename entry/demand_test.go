package entry

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/routed"
	"github.com/lilackeel/lilackeel/workspace"
)

// newTestExchange returns the exchange of an entry with ten slots in the leveled pool "p", in which
// requests have held their slots for about 20 ms.
func newTestExchange(t *testing.T, name string, hosts []string) *DemandExchange {
	t.Helper()
	cfg := Config{Name: name, Routed: true, MaxWait: time.Second, MaxRetryAfter: 2 * time.Second, LeastShare: 0.02}
	permits := newTestPermitClient(t, cfg, hosts)
	x := NewDemandExchange(cfg, NewAdmissionController(cfg), permits, slog.New(slog.DiscardHandler))
	x.admission.SetLevels(map[string]bool{"p": true})
	x.admission.SetPoolCapacity("p", routed.PoolCapacity{OnTime: 10})
	release, err := x.admission.AdmitOnTime(t.Context(), "p", workspace.Request{Workspace: "w"})
	is.New(t).NoErr(err)
	time.Sleep(20 * time.Millisecond)
	release()
	return x
}

// arrive counts requests of a level.
func (x *DemandExchange) arrive(level, count int) {
	for range count {
		x.admission.shedding.count("p", level)
	}
}

// slots returns how many slots the gate has after an update of the capacity.
func (x *DemandExchange) slots() int {
	x.admission.SetPoolCapacity("p", routed.PoolCapacity{OnTime: 10})
	return x.admission.gate("p").Load().Slots
}

// Guards against an entry that does not learn of the demand of the others, also after the host is
// lost, and against one without hosts that limits itself by an old decision.
func TestEntriesLeaveSlotsToHigherLevelsElsewhere(t *testing.T) {
	is := is.New(t)
	var hosts []string
	stop := map[string]func(){}
	for range 3 {
		addr, stopHost := startTestHost(t, "127.0.0.1:0")
		hosts, stop[addr] = append(hosts, addr), stopHost
	}
	var entries []*DemandExchange
	for i := range 3 {
		entries = append(entries, newTestExchange(t, fmt.Sprint("entry-", i), hosts))
	}
	exchange := func() {
		time.Sleep(60 * time.Millisecond) // a complete interval of the counters
		for range 2 {
			for _, x := range entries {
				x.exchange(t.Context())
			}
		}
	}
	low := entries[2].admission
	entries[2].arrive(5, 50)
	exchange()
	is.Equal(entries[2].slots(), 10) // everything fits
	is.True(!low.shedding.goesFirst("p", 0))
	entries[0].arrive(0, 10_000)
	entries[1].arrive(0, 10_000)
	exchange()
	is.Equal(entries[2].slots(), 2)
	is.Equal(entries[0].slots(), 10)
	is.Equal(low.shedding.limitSlots("p", 10, 10, 0), 10) // before a hold time is measured
	is.True(!low.shedding.goesFirst("p", 5))
	retryAfter := low.lateRefusal("p", &workspace.Request{Level: 5}).RetryAfter
	is.True(retryAfter > 0 && retryAfter <= 2*time.Second)
	for _, addr := range entries[0].permits.permitHosts("p")[:1] {
		stop[addr]()
	}
	entries[0].arrive(0, 10_000)
	exchange()
	is.Equal(entries[2].slots(), 2)
	entries[2].permits.hosts = func() []string { return nil }
	entries[2].arrive(5, 10_000)
	exchange()
	is.Equal(entries[2].slots(), 10) // all of the demand that it knows is its own
	low.SetLevels(map[string]bool{}) // a site without levels
	is.Equal(entries[2].slots(), 10)
}

// Guards against entries that do not publish the demand for a pool whose routes have different
// priorities, or publish that for others.
func TestEntriesPublishDemandForLeveledPools(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newRoutedFleet(t, 1, 1)
	routes := f.delta.GetSite().GetRoutes()
	f.delta.Site.Routes = append(routes, &fleetv1.Route{
		Name: "low", Host: "crew.example", PathPrefix: "/low/", Kind: fleetv1.CallKind_CALL_KIND_IDEMPOTENT, Priority: 3,
		TimeoutMs: 2000, Splits: routes[0].GetSplits(), Public: true,
	}, &fleetv1.Route{Name: "other", Host: "other.example", PathPrefix: "/", Priority: 3, Splits: []*fleetv1.Split{{Pool: "other", Weight: 1}}})
	var entries []*Daemon
	for range 2 {
		d := f.startEntry(50)
		go d.demand.run(t.Context())
		entries = append(entries, d)
	}
	is.Equal(entries[0].demand.admission.shedding.names(), []string{"pool"})
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the entries have not learned of each other's demand")
		}
		covered := 0
		for _, d := range entries {
			d.demand.admission.shedding.update("pool", func(p *poolShedding, _ time.Duration) { covered += p.controller.Demand().Entries })
		}
		if covered == 4 {
			return
		}
	}
}
