package entry

import (
	"context"
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
	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/pick"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/feed"
	"github.com/lilackeel/lilackeel/standin"
)

const (
	// pause is what the endpoints of these tests ask for, pauseGrace the part of it in which
	// what was under way may still come.
	pause      = 3 * time.Second
	pauseGrace = 500 * time.Millisecond
	// allowedInPause is how many requests of one entry an endpoint may get in the rest of it.
	allowedInPause = 2
)

// pushBack makes a service reject everything and waits until its pause is known to all entries.
// It returns how many requests the service gets in the rest of the pause.
func (f *limitedFleet) pushBack(service int) (got int) {
	f.t.Helper()
	s := f.services[service]
	f.awaitArrivals(service, len(f.fronts)*2)
	s.SetFaults(standin.Faults{RetryAfter: strconv.FormatFloat(pause.Seconds(), 'f', -1, 64)})
	time.Sleep(pauseGrace) // all entries have been rejected
	known := time.Now()
	time.Sleep(pause - 2*pauseGrace)
	return s.MostArrivals(known, pause)
}

// Guards against an entry that goes on sending to an endpoint which has rejected a request and
// asked for a pause, by first attempts.
func TestAPauseThatAnEndpointAsksForIsKept(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newLimitedFleet(t, 3, 0)
	const entries = 2
	for range entries {
		f.startEntry(30)
	}
	got := f.pushBack(0)
	t.Logf("%d requests in a pause; %d answered, %d refused, %d others", got, f.served.Load(), f.refused.Load(), f.other.Load())
	is.True(got <= allowedInPause*entries)
	is.Equal(f.refused.Load()+f.other.Load(), int64(0)) // the other endpoints take it
	f.services[0].SetFaults(standin.Faults{})
	f.awaitArrivals(0, 10) // after the pause it gets its part again
}

// Guards against further attempts at an endpoint that has asked for a pause: the only one that
// has not been tried.
func TestFurtherAttemptsKeepAPause(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newLimitedFleet(t, 2, 0)
	f.services[1].SetFaults(standin.Faults{Status: http.StatusInternalServerError})
	f.startEntry(0.01)
	f.startCallers(f.fronts[0].URL, http.MethodPost, 30)
	got := f.pushBack(0)
	t.Logf("%d requests in a pause", got)
	is.True(got <= allowedInPause)
}

// newStreamFleet returns a pool of scripted endpoints, by one entry, with a route whose streams may be resumed.
func newStreamFleet(t *testing.T, handlers ...http.HandlerFunc) *limitedFleet {
	f := newLimitedFleet(t, 0, 0)
	route := f.delta.GetSite().GetRoutes()[0]
	route.Kind, route.Resumable = fleetv1.CallKind_CALL_KIND_STREAM, true
	for i, handle := range handlers {
		back := httptest.NewServer(handle)
		t.Cleanup(back.Close)
		f.serving(&fleetv1.Endpoint{Id: fmt.Sprint("e", i), Pool: "pool", Addr: strings.TrimPrefix(back.URL, "http://"), Slots: 64})
	}
	f.startEntry(0.01)
	return f
}

// Guards against streams that are resumed at an endpoint which has asked for a pause.
func TestResumedStreamsKeepAPause(t *testing.T) {
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
		f.ask(f.fronts[0].URL)
	}
	t.Logf("%d streams broke off, the other endpoint got %d requests", broken.Load(), rejected.Load())
	is.True(broken.Load() >= 30)
	is.True(rejected.Load() <= allowedInPause)
}

// answerOf sends one request and returns its status and Retry-After in seconds.
func (f *limitedFleet) answerOf(front int) (status int, retryAfter float64, took time.Duration) {
	f.t.Helper()
	r, err := http.NewRequest(http.MethodGet, f.fronts[front].URL+"/read/x", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = "crew.example"
	began := time.Now()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		f.t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	retryAfter, _ = strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, retryAfter, time.Since(began)
}

// Guards against a pool whose endpoints have all asked for a pause: nobody may be sent there,
// who cannot wait for its end is refused at once with a turn after it, and who can is answered.
func TestAWholePoolInAPause(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newLimitedFleet(t, 2, 0)
	f.startEntry(0.01)
	for _, s := range f.services {
		s.SetFaults(standin.Faults{RetryAfter: "3"})
	}
	began := time.Now()
	f.answerOf(0) // both are asked, and ask for the pause
	last := 0.0
	for range 10 {
		left := pause - time.Since(began)
		status, turn, took := f.answerOf(0)
		is.Equal(status, http.StatusServiceUnavailable)
		is.True(took < 200*time.Millisecond) // at once
		is.True(turn >= left.Seconds()-0.1)  // no sooner than the pause ends
		is.True(turn >= last)                // each a turn of its own
		last = turn
	}
	for _, s := range f.services {
		is.True(s.MostArrivals(began.Add(pauseGrace), pause) <= allowedInPause)
		s.SetFaults(standin.Faults{})
	}
	time.Sleep(pause - 400*time.Millisecond - time.Since(began))
	status, _, took := f.answerOf(0)
	t.Logf("answered with %d after %v near the end of the pause", status, took)
	is.Equal(status, http.StatusOK)
	is.True(took > 200*time.Millisecond) // it waited
}

// Guards against a pause that outlives the process that asked for it.
func TestAReplacedEndpointIsNotInAPause(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newLimitedFleet(t, 1, 0)
	f.startEntry(0.01)
	f.services[0].SetFaults(standin.Faults{RetryAfter: "60"})
	status, _, _ := f.answerOf(0)
	is.Equal(status, http.StatusServiceUnavailable)
	f.services[0].SetFaults(standin.Faults{})
	reborn := f.delta.GetEndpoints()[0]
	reborn.Incarnation, reborn.Revision = 2, 2
	delta := &fleetv1.Delta{FromRevision: 1, ToRevision: 2, Endpoints: []*fleetv1.Endpoint{reborn}}
	f.configurers[0].apply(t.Context(), (&feed.View{}).Apply(f.delta).Apply(delta), delta)
	status, _, _ = f.answerOf(0)
	is.Equal(status, http.StatusOK)
}

// leftPicker picks an endpoint unless that is excluded.
type leftPicker struct{ endpoint endpoint.Endpoint }

func (p leftPicker) Pick(_ time.Duration, _ *rand.Rand, r *pick.Request) (endpoint.Endpoint, pick.Explain, error) {
	if slices.Contains(r.Exclude, p.endpoint.ID) {
		return endpoint.Endpoint{}, pick.Explain{}, fault.New(fault.Unavailable, "all endpoints are excluded", "ask again")
	}
	return p.endpoint, pick.Explain{}, nil
}

// Guards against requests that an agent has to refuse one by one while its endpoint is in a pause:
// who cannot wait for its end is refused at once, and who can is sent then.
func TestAPauseThatAnAgentReportsIsKept(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		pause  time.Duration
		served bool
	}{{400 * time.Millisecond, true}, {time.Minute, false}} {
		is := is.New(t)
		var asked atomic.Int64
		f := &fakes{}
		f.agent = func(_ context.Context, _ *agentv1.DispatchRequest, send func(*agentv1.DispatchResponse)) error {
			if asked.Add(1) == 1 {
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
		only := endpoint.Endpoint{ID: "e1", Pool: "pool", AgentAddr: "agent", Incarnation: 5, Slots: 8, Revision: 1}
		table.Apply([]endpoint.Endpoint{only}, nil)
		s.Picker, s.RateLimits = leftPicker{only}, NewRateLimits(Config{}, table, NewAdmissionController(Config{}), slog.New(slog.DiscardHandler))
		s.config.DefaultDeadline = 5 * time.Second
		began := time.Now()
		w, _ := ask(s, t.Context(), chatPath, streamBody)
		t.Logf("a pause of %v: %d after %v, %d dispatches, Retry-After %s", c.pause, w.Code, time.Since(began), asked.Load(), w.Header().Get("Retry-After"))
		is.Equal(w.Code == http.StatusOK, c.served)
		is.Equal(time.Since(began) >= c.pause, c.served)
		if !c.served {
			is.Equal(w.Header().Get("Retry-After"), "60")
			is.Equal(asked.Load(), int64(1))
			again, _ := ask(s, t.Context(), chatPath, streamBody)
			is.Equal(again.Code, http.StatusServiceUnavailable)
			is.Equal(asked.Load(), int64(1)) // the agent is not asked again
		}
	}
}
