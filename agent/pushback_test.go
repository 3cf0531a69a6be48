package agent

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/standin"
)

const (
	// retryAfterPause is the pause that the endpoints request. Requests that were already in flight may
	// arrive during its first part, pauseGrace; in the rest an endpoint may get at most
	// maxRequestsInPause.
	retryAfterPause    = 3 * time.Second
	pauseGrace         = 500 * time.Millisecond
	maxRequestsInPause = 2
)

// repeatFor calls run once per interval until the total time has passed.
func repeatFor(interval, total time.Duration, run func(number int)) {
	for began, number := time.Now(), 0; time.Since(began) < total; number++ {
		run(number)
		time.Sleep(interval)
	}
}

func serviceCall(number int) *agentv1.DispatchRequest {
	return &agentv1.DispatchRequest{RequestId: fmt.Sprint("s", number), Attempt: 1, Endpoint: "service", Method: http.MethodGet, Path: "/x"}
}

// Guards against an agent that continues to send calls, polls, read-backs or orders to an endpoint that
// has rejected a request and requested a pause.
func TestRetryAfterPauseIsKept(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(standin.EngineConfig{Slots: 64})
	service := standin.NewService(0)
	s := newFixture(t, map[string]http.Handler{"engine": engine, "service": service})
	engine.SetFaults(standin.Faults{RetryAfter: "3"})
	service.SetFaults(standin.Faults{RetryAfter: "3"})
	began := time.Now()
	repeatFor(20*time.Millisecond, retryAfterPause, func(number int) {
		call := completion(false, "1")
		call.RequestId = fmt.Sprint("c", number)
		s.dispatch(call)
		s.dispatch(serviceCall(number))
		_, _ = s.client.Order(t.Context(), &agentv1.OrderRequest{
			OrderId: fmt.Sprint("o", number), Endpoint: "engine", Kind: agentv1.OrderKind_ORDER_KIND_LOAD_MODEL, Model: "draft", Fence: 5,
		})
	})
	// From known on, both endpoints have requested a pause, which covers the rest.
	known, rest := began.Add(pauseGrace), retryAfterPause-pauseGrace
	for name, got := range map[string]int{"engine": engine.MaxArrivals(known, rest), "service": service.MaxArrivals(known, rest)} {
		t.Logf("the %s got %d", name, got)
		is.New(t).True(got <= maxRequestsInPause)
	}
}

// Guards against dispatches that are delayed or reported as failed while their endpoint is in a pause,
// and against an endpoint that stays excluded after its pause.
func TestDispatchDuringPauseIsRefusedWithRemainingTime(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	service := standin.NewService(0)
	s := newFixture(t, map[string]http.Handler{"service": service})
	service.SetFaults(standin.Faults{RetryAfter: "2"})
	s.dispatch(serviceCall(0))
	service.SetFaults(standin.Faults{})
	got := s.dispatch(serviceCall(1))
	is.Equal(got.refusedKind(), fault.RateLimited)
	is.True(got.refused.GetRetryAfterMs() > 1000)
	time.Sleep(2 * time.Second)
	got = s.dispatch(serviceCall(2))
	is.True(got.end != nil)
	got = s.dispatch(serviceCall(3))
	is.True(got.end != nil)
}
