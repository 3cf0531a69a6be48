package entry

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/feed"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/routed"
	"github.com/lilackeel/lilackeel/standin"
	"github.com/lilackeel/lilackeel/wait"
)

// routedFleet is a pool of plain services behind several entries, which are connected to hosts but
// to no control replica.
type routedFleet struct {
	t        *testing.T
	services []*standin.Service
	backends []*httptest.Server
	// headers are the names of the headers at the entries, the default ones if zero. onRequest, if
	// set, is called when a request has reached a service.
	headers     routed.Headers
	onRequest   func(service int, r *http.Request)
	delta       *fleetv1.Delta
	entries     []*httptest.Server
	configurers []*configurer
	callers     sync.WaitGroup
	// hosts are the addresses of the hosts, and stopFuncs stop them.
	hosts     []string
	stopFuncs []func()
	// arrived counts the requests that have reached each service, by service and path.
	arrivedMu sync.Mutex
	arrived   map[arrival]int
	// served counts the answers with status 200, refused those with status 429 or 503.
	served, refused, other atomic.Int64
}

// arrival is where a request has arrived.
type arrival struct {
	service int
	path    string
}

func (f *routedFleet) countArrival(service int, path string) {
	f.arrivedMu.Lock()
	defer f.arrivedMu.Unlock()
	f.arrived[arrival{service, path}]++
}

// arrivals returns how many requests with a path have reached a service.
func (f *routedFleet) arrivals(service int, path string) int {
	f.arrivedMu.Lock()
	defer f.arrivedMu.Unlock()
	return f.arrived[arrival{service, path}]
}

// maxRetryAfter is how long after the end of a pause the entries ask refused callers to retry at the
// latest.
const maxRetryAfter = time.Second

func newRoutedFleet(t *testing.T, services, hosts int) *routedFleet {
	f := &routedFleet{t: t, arrived: map[arrival]int{}}
	split := []*fleetv1.Split{{Pool: "pool", Weight: 1}}
	f.delta = &fleetv1.Delta{ToRevision: 1, Site: &fleetv1.Site{
		Version: 1, Pools: []*fleetv1.Pool{{Name: "pool"}},
		Routes: []*fleetv1.Route{{
			Name: "read", Host: "crew.example", PathPrefix: "/read/", Kind: fleetv1.CallKind_CALL_KIND_IDEMPOTENT,
			TimeoutMs: 2000, MaxAttempts: 2, Splits: split, Public: true,
		}},
	}}
	for i := range services {
		service := standin.NewService(time.Millisecond)
		backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.countArrival(i, r.URL.Path)
			if f.onRequest != nil {
				f.onRequest(i, r)
			}
			service.ServeHTTP(w, r)
		}))
		t.Cleanup(backend.Close)
		f.services, f.backends = append(f.services, service), append(f.backends, backend)
		f.addServingEndpoint(&fleetv1.Endpoint{Id: fmt.Sprint("e", i), Pool: "pool", Addr: strings.TrimPrefix(backend.URL, "http://"), Slots: 64})
	}
	for i := range hosts {
		addr, stop := startTestHost(t, "127.0.0.1:0")
		f.hosts, f.stopFuncs = append(f.hosts, addr), append(f.stopFuncs, stop)
		f.addServingEndpoint(&fleetv1.Endpoint{Id: fmt.Sprint("rank-", i), Pool: "ranks", Role: endpoint.RoleRank, Agent: fmt.Sprint("host-", i), AgentAddr: addr})
	}
	return f
}

// addServingEndpoint adds an endpoint that takes calls.
func (f *routedFleet) addServingEndpoint(e *fleetv1.Endpoint) {
	e.State, e.Live, e.Incarnation, e.Revision = fleetv1.EndpointState_ENDPOINT_STATE_SERVING, true, 1, 1
	f.delta.Endpoints = append(f.delta.Endpoints, e)
}

// stopHosts stops the first count hosts. They stay in the configuration.
func (f *routedFleet) stopHosts(count int) {
	for _, stop := range f.stopFuncs[:count] {
		stop()
	}
}

// restartHosts restarts the first count hosts with empty state.
func (f *routedFleet) restartHosts(count int) {
	for i := range count {
		_, f.stopFuncs[i] = startTestHost(f.t, f.hosts[i])
	}
}

// startEntry starts an entry, and callers that send it requests at the given rate per second.
func (f *routedFleet) startEntry(rate float64) *Daemon {
	f.t.Helper()
	d, err := New(Config{
		Name: fmt.Sprint("entry-", len(f.entries)), Zone: "a", Listen: "127.0.0.1:0", Feed: []string{"127.0.0.1:1"}, Control: []string{"127.0.0.1:1"},
		Routed: true, Headers: f.headers, MaxHeaderBytes: 4 << 10, MaxBodyBytes: 1 << 10, BodyTimeout: time.Second, WriteTimeout: time.Second, MaxBufferedBytes: 64 << 10,
		RetryAfter: 250 * time.Millisecond, RetryRatio: 0.1, RetryBurst: 10, MaxWait: 300 * time.Millisecond, MaxRetryAfter: maxRetryAfter,
		ReportInterval: 20 * time.Millisecond, Peers: 1, Link: link.Config{},
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		f.t.Fatal(err)
	}
	d.configurer.apply(f.t.Context(), (&feed.View{}).Apply(f.delta), f.delta)
	go d.runCapacityUpdates(f.t.Context())
	front := httptest.NewServer(d.routed)
	f.entries, f.configurers = append(f.entries, front), append(f.configurers, d.configurer)
	f.t.Cleanup(func() {
		f.callers.Wait()
		front.Close()
		_ = d.pool.Close()
	})
	go d.configurer.reports.publishSuspicions(f.t.Context())
	go d.configurer.reports.publishCrashReports(f.t.Context())
	f.startCallers(front.URL, http.MethodGet, rate)
	return d
}

// startCallers starts callers that send requests to an entry at the given mean rate per second.
func (f *routedFleet) startCallers(url, method string, rate float64) {
	f.callers.Go(func() {
		for f.t.Context().Err() == nil {
			wait.For(f.t.Context(), time.Duration(rand.ExpFloat64()/rate*float64(time.Second)))
			f.callers.Go(func() { f.send(url, method) })
		}
	})
}

// sendGet sends one GET request and counts its answer.
func (f *routedFleet) sendGet(url string) { f.send(url, http.MethodGet) }

func (f *routedFleet) send(url, method string) { f.sendTo(url, method, "/read/x") }

func (f *routedFleet) sendTo(url, method, path string) {
	r, err := http.NewRequest(method, url+path, nil)
	if err != nil {
		f.t.Error(err)
		return
	}
	r.Host = "crew.example"
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		f.served.Add(1)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		f.refused.Add(1)
	default:
		f.other.Add(1)
	}
}

// allowed returns how many requests an endpoint that advertises a limit may get within
// a window: one and a half times the limit, plus five.
func allowed(limit float64, window time.Duration) int { return int(1.5*limit*window.Seconds()) + 5 }

// Guards against entries applying an advertised limit each on its own, or not at all. The limit
// applies to the sum over all entries. Endpoints are called directly, without agents.
func TestEntriesShareRateLimit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const window = 4 * time.Second
	f := newRoutedFleet(t, 3, 4)
	f.services[0].SetFaults(standin.Faults{RateLimit: "1"})
	for range 5 {
		f.startEntry(12)
	}
	time.Sleep(1500 * time.Millisecond) // all entries know the limit
	knownAt := time.Now()
	time.Sleep(window + time.Second)
	got := f.services[0].MaxArrivals(knownAt, window)
	t.Logf("the limited endpoint got %d requests in %v, the others %d and %d; %d answered, %d refused, %d others", got, window,
		f.services[1].MaxArrivals(knownAt, window), f.services[2].MaxArrivals(knownAt, window), f.served.Load(), f.refused.Load(), f.other.Load())
	is.True(got <= allowed(1, window))
	is.True(got >= 1)                                   // the limit is used
	is.Equal(f.refused.Load()+f.other.Load(), int64(0)) // the rest goes elsewhere
}
