package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/pick"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/feed"
	"github.com/lilackeel/lilackeel/standin"
)

const (
	// requestedPause is the pause that the endpoints of these tests request, pauseGrace the initial
	// part of it in which requests already in flight may still arrive.
	requestedPause = 3 * time.Second
	pauseGrace     = 500 * time.Millisecond
	// maxRequestsInPause is how many requests of one entry an endpoint may get in the rest of the
	// pause.
	maxRequestsInPause = 2
)

// pushBack makes a service reject all requests with a pause, waits until all entries know of it, and
// returns how many requests the service gets in the rest of the pause.
func (f *routedFleet) pushBack(service int) (got int) {
	f.t.Helper()
	s := f.services[service]
	f.awaitArrivals(service, len(f.entries)*2)
	s.SetFaults(standin.Faults{RetryAfter: strconv.FormatFloat(requestedPause.Seconds(), 'f', -1, 64)})
	time.Sleep(pauseGrace) // all entries have been rejected
	knownAt := time.Now()
	time.Sleep(requestedPause - 2*pauseGrace)
	return s.MaxArrivals(knownAt, requestedPause)
}

// Guards against first attempts at an endpoint that has rejected a request and requested a pause.
func TestFirstAttemptsRespectPause(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newRoutedFleet(t, 3, 0)
	const entries = 2
	for range entries {
		f.startEntry(30)
	}
	got := f.pushBack(0)
	t.Logf("%d requests in a pause; %d answered, %d refused, %d others", got, f.served.Load(), f.refused.Load(), f.other.Load())
	is.True(got <= maxRequestsInPause*entries)
	is.Equal(f.refused.Load()+f.other.Load(), int64(0)) // the other endpoints take the load
	f.services[0].SetFaults(standin.Faults{})
	f.awaitArrivals(0, 10) // after the pause it gets its share again
}

// Guards against retries at an endpoint that has requested a pause and is the only one that has not
// been tried.
func TestRetriesRespectPause(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newRoutedFleet(t, 2, 0)
	f.services[1].SetFaults(standin.Faults{Status: http.StatusInternalServerError})
	f.startEntry(0.01)
	f.startCallers(f.entries[0].URL, http.MethodPost, 30)
	got := f.pushBack(0)
	t.Logf("%d requests in a pause", got)
	is.True(got <= maxRequestsInPause)
}

// newStreamFleet returns one entry and a pool of endpoints with the given handlers, with a route
// whose streams may be resumed.
func newStreamFleet(t *testing.T, handlers ...http.HandlerFunc) *routedFleet {
	f := newRoutedFleet(t, 0, 0)
	route := f.delta.GetSite().GetRoutes()[0]
	route.Kind, route.Resumable = fleetv1.CallKind_CALL_KIND_STREAM, true
	for i, handle := range handlers {
		backend := httptest.NewServer(handle)
		t.Cleanup(backend.Close)
		f.addServingEndpoint(&fleetv1.Endpoint{Id: fmt.Sprint("e", i), Pool: "pool", Addr: strings.TrimPrefix(backend.URL, "http://"), Slots: 64})
	}
	f.startEntry(0.01)
	return f
}

// Guards against streams being resumed at an endpoint that has requested a pause.
func TestResumedStreamsRespectPause(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var rejected, broken atomic.Int64
	f := newStreamFleet(t, func(w http.ResponseWriter, _ *http.Request) {
		rejected.Add(1)
		w.Header().Set("Lilackeel-Not-Run", "1")
		w.Header().Set("Retry-After", "30")
		w.WriteHeader(http.StatusServiceUnavailable)
	}, func(w http.ResponseWriter, _ *http.Request) {
		broken.Add(1)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	for range 40 {
		f.sendGet(f.entries[0].URL)
	}
	t.Logf("%d streams were interrupted, the other endpoint got %d requests", broken.Load(), rejected.Load())
	is.True(broken.Load() >= 30)
	is.True(rejected.Load() <= maxRequestsInPause)
}

// request sends one request and returns the status, the delay before a retry according to the body,
// and the time taken. The Retry-After header must state that delay rounded up to whole seconds.
func (f *routedFleet) request(entry int) (status int, retryAfter, took time.Duration) {
	f.t.Helper()
	r, err := http.NewRequest(http.MethodGet, f.entries[entry].URL+"/read/x", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = "crew.example"
	startedAt := time.Now()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		f.t.Fatal(err)
	}
	text, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	took = time.Since(startedAt)
	var body call.ErrorBody
	if response.StatusCode != http.StatusOK && json.Unmarshal(text, &body) != nil {
		f.t.Errorf("the body of status %d is not an error: %s", response.StatusCode, text)
	}
	retryAfter = time.Duration(body.Error.RetryAfterMS) * time.Millisecond
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if rounded := time.Duration(seconds * float64(time.Second)); rounded < retryAfter || rounded > retryAfter+time.Second {
		f.t.Errorf("Retry-After is %v, the body says %v", rounded, retryAfter)
	}
	return response.StatusCode, retryAfter, took
}

// Covers a pool in which all endpoints have requested a pause. No request may be sent to it. A
// request that cannot wait for the end of the pause is refused immediately, with a Retry-After
// beyond it; one that can wait is answered.
func TestPausedPool(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const requests = 10
	f := newRoutedFleet(t, 2, 0)
	for _, e := range f.delta.GetEndpoints() {
		e.Slots = 1 // turns are further apart than a refusal takes
	}
	f.startEntry(0.01)
	f.request(0) // the entry knows for how long a request holds a slot
	for _, s := range f.services {
		s.SetFaults(standin.Faults{RetryAfter: "3"})
	}
	startedAt := time.Now()
	f.request(0) // both endpoints are tried and request the pause
	// spacing returns the time between two turns. It shrinks once more if the slot of the first request
	// is freed after its answer.
	spacing := func() time.Duration {
		_, rate := f.configurers[0].reports.limits.earliestReopening(time.Since(processStart), "pool")
		return time.Duration(float64(time.Second) / rate)
	}
	step := spacing()
	lastTurn := startedAt.Add(requestedPause + maxRetryAfter)
	var first time.Time
	for i := range requests {
		sentAt := time.Now()
		status, retryAfter, took := f.request(0)
		is.Equal(status, http.StatusServiceUnavailable)
		is.True(took < 200*time.Millisecond) // immediately
		// The turn that the entry gave lies between these two; a delay is rounded down to 1 ms.
		earliest, latest := sentAt.Add(retryAfter), sentAt.Add(took+retryAfter+time.Millisecond)
		is.True(latest.Sub(startedAt) >= requestedPause) // not before the pause ends
		if i == 0 {
			first = earliest
		}
		step = min(step, spacing())
		is.True(latest.Sub(first) >= time.Duration(i)*step || !latest.Before(lastTurn)) // retries are spread out
	}
	is.True((requests-1)*step >= 10*time.Millisecond) // much longer than a refusal takes
	for _, s := range f.services {
		is.True(s.MaxArrivals(startedAt.Add(pauseGrace), requestedPause) <= maxRequestsInPause)
		s.SetFaults(standin.Faults{})
	}
	time.Sleep(requestedPause - 400*time.Millisecond - time.Since(startedAt))
	status, _, took := f.request(0)
	t.Logf("answered with %d after %v near the end of the pause", status, took)
	is.Equal(status, http.StatusOK)
	is.True(time.Since(startedAt) >= requestedPause) // it waited
}

// Guards against a pause that outlives the process that requested it.
func TestRestartedEndpointIsNotPaused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newRoutedFleet(t, 1, 0)
	f.startEntry(0.01)
	f.services[0].SetFaults(standin.Faults{RetryAfter: "60"})
	status, _, _ := f.request(0)
	is.Equal(status, http.StatusServiceUnavailable)
	f.services[0].SetFaults(standin.Faults{})
	restarted := f.delta.GetEndpoints()[0]
	restarted.Incarnation, restarted.Revision = 2, 2
	delta := &fleetv1.Delta{FromRevision: 1, ToRevision: 2, Endpoints: []*fleetv1.Endpoint{restarted}}
	f.configurers[0].apply(t.Context(), (&feed.View{}).Apply(f.delta).Apply(delta), delta)
	status, _, _ = f.request(0)
	is.Equal(status, http.StatusOK)
}

// singleEndpointPicker picks its endpoint unless it is excluded.
type singleEndpointPicker struct{ endpoint endpoint.Endpoint }

func (p singleEndpointPicker) Pick(_ time.Duration, _ *rand.Rand, r *pick.Request) (endpoint.Endpoint, pick.Explain, error) {
	if slices.Contains(r.Exclude, p.endpoint.ID) {
		return endpoint.Endpoint{}, pick.Explain{}, fault.New(fault.Unavailable, "all endpoints are excluded", "retry later")
	}
	return p.endpoint, pick.Explain{}, nil
}

// Guards against requests being sent to an agent, only to be refused by it, while its endpoint has
// requested a pause. A request that cannot wait for the end of the pause is refused immediately, and
// one that can is sent after it.
func TestPauseReportedByAgentIsRespected(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		pause  time.Duration
		served bool
	}{{400 * time.Millisecond, true}, {time.Minute, false}} {
		is := is.New(t)
		var dispatches atomic.Int64
		f := &fakes{}
		f.agent = func(_ context.Context, _ *agentv1.DispatchRequest, send func(*agentv1.DispatchResponse)) error {
			if dispatches.Add(1) == 1 {
				send(&agentv1.DispatchResponse{Kind: &agentv1.DispatchResponse_Refused{Refused: &agentv1.Refused{
					Kind: string(fault.RateLimited), RetryAfterMs: c.pause.Milliseconds(),
				}}})
				return io.EOF
			}
			send(headOf("text/plain", ""))
			send(chunkOf(0, "done"))
			send(endOf(4))
			return io.EOF
		}
		s := f.server()
		table := endpoint.NewTable()
		single := endpoint.Endpoint{ID: "e1", Pool: "pool", AgentAddr: "agent", Incarnation: 5, Slots: 8, Revision: 1}
		table.Apply([]endpoint.Endpoint{single}, nil)
		s.Picker, s.RateLimits = singleEndpointPicker{single}, NewRateLimits(Config{}, table, NewAdmissionController(Config{}), slog.New(slog.DiscardHandler))
		s.config.DefaultDeadline = 5 * time.Second
		startedAt := time.Now()
		w, _ := sendPost(s, t.Context(), chatPath, streamBody)
		t.Logf("a pause of %v: %d after %v, %d dispatches, Retry-After %s", c.pause, w.Code, time.Since(startedAt), dispatches.Load(), w.Header().Get("Retry-After"))
		is.Equal(w.Code == http.StatusOK, c.served)
		is.Equal(time.Since(startedAt) >= c.pause, c.served)
		if !c.served {
			is.Equal(w.Header().Get("Retry-After"), "60")
			is.Equal(dispatches.Load(), int64(1))
			second, _ := sendPost(s, t.Context(), chatPath, streamBody)
			is.Equal(second.Code, http.StatusServiceUnavailable)
			is.Equal(dispatches.Load(), int64(1)) // no further dispatch to the agent
		}
	}
}
