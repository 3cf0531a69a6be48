package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/feed"
	"github.com/lilackeel/lilackeel/standin"
)

// newColdFleet returns a fleet in which the first endpoints of the pool are cold.
func newColdFleet(t *testing.T, services, cold, hosts int, rate float64) *routedFleet {
	f := newRoutedFleet(t, services, hosts)
	f.delta.Site.Pools[0].ColdRate = rate
	for i := range cold {
		f.delta.Endpoints[i].Cold = true
	}
	return f
}

// announce publishes a change of the first endpoint to all entries.
func (f *routedFleet) announce(change func(e *fleetv1.Endpoint)) {
	next := proto.CloneOf(f.delta)
	next.FromRevision, next.ToRevision = f.delta.GetToRevision(), f.delta.GetToRevision()+1
	change(next.Endpoints[0])
	view := (&feed.View{}).Apply(f.delta)
	next.Site, next.Endpoints = nil, next.Endpoints[:1]
	view = view.Apply(next)
	for _, c := range f.configurers {
		c.apply(f.t.Context(), view, next)
	}
}

// Guards against a cold endpoint getting its share of the traffic from each entry as soon as it is
// announced, and against its responses, which name no limit, lifting its cold rate. Entries that
// start meanwhile count too.
func TestColdEndpointGetsColdRate(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const window = 4 * time.Second
	f := newColdFleet(t, 3, 1, 4, 1)
	started := time.Now()
	for range 4 {
		f.startEntry(12)
	}
	time.Sleep(time.Second)
	f.startEntry(12)
	time.Sleep(window)
	got := f.services[0].MaxArrivals(started, window)
	t.Logf("the cold endpoint got %d requests in %v, the others %d and %d; %d answered, %d refused, %d others", got, window,
		f.services[1].MaxArrivals(started, window), f.services[2].MaxArrivals(started, window), f.served.Load(), f.refused.Load(), f.other.Load())
	is.True(got <= allowed(1, window))
	is.True(got >= 1)                                   // the rate is used
	is.Equal(f.refused.Load()+f.other.Load(), int64(0)) // the rest goes elsewhere
	f.announce(func(e *fleetv1.Endpoint) { e.Cold = false })
	f.awaitArrivals(0, 14) // warm: it gets its share
	f.announce(func(e *fleetv1.Endpoint) { e.Cold, e.Incarnation = true, 2 })
	f.awaitFewArrivals(0, allowed(1, time.Second))
}

// awaitFewArrivals waits until a service has received at most the given number of requests within
// two seconds.
func (f *routedFleet) awaitFewArrivals(service, most int) {
	f.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f.services[service].MaxArrivals(time.Now().Add(-2*time.Second), time.Second) <= most {
			return
		}
	}
	f.t.Fatalf("service %d always got more than %d requests a second", service, most)
}

// Guards against retries reaching a cold endpoint beyond its rate: the other endpoints of the pool
// reject all requests.
func TestRetriesRespectColdRate(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const window = 4 * time.Second
	f := newColdFleet(t, 2, 1, 3, 1)
	f.services[1].SetFaults(standin.Faults{Status: http.StatusInternalServerError})
	started := time.Now()
	for range 3 {
		f.startEntry(15)
	}
	time.Sleep(window + time.Second)
	got := f.services[0].MaxArrivals(started, window)
	t.Logf("the cold endpoint got %d requests in %v; %d answered, %d refused, %d others", got, window, f.served.Load(), f.refused.Load(), f.other.Load())
	is.True(got <= allowed(1, window))
}

// Guards against requests waiting when a whole pool returns cold: what it cannot take is refused at
// once with a time to return.
func TestColdPoolRefusesTheRest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newColdFleet(t, 2, 2, 3, 1)
	f.startEntry(0.01)
	served, refused := f.countOutcomes(3 * time.Second)
	t.Logf("%d served and %d refused in 3 s by two endpoints that take 1 request per second each", served, refused)
	is.True(served >= 3)
	is.True(served <= 2*allowed(1, 3*time.Second))
	is.True(refused > 20)
}
