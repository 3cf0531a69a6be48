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
	// pause is what the endpoints of these tests ask for, pauseGrace the part of it in which
	// what was under way may still come, allowedInPause what they may get in the rest.
	retryAfterPause    = 3 * time.Second
	pauseGrace         = 500 * time.Millisecond
	maxRequestsInPause = 2
)

// every runs something each interval until a time has passed.
func repeatFor(interval, total time.Duration, run func(number int)) {
	for began, number := time.Now(), 0; time.Since(began) < total; number++ {
		run(number)
		time.Sleep(interval)
	}
}

func serviceCall(number int) *agentv1.DispatchRequest {
	return &agentv1.DispatchRequest{RequestId: fmt.Sprint("s", number), Attempt: 1, Endpoint: "service", Method: http.MethodGet, Path: "/x"}
}

// Guards against an agent that goes on sending to an endpoint which has rejected a request and
// asked for a pause: calls, polls, read-backs and orders alike.
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
	// A time within the pause that each of them has asked for.
	known, rest := began.Add(pauseGrace), retryAfterPause-pauseGrace
	for name, got := range map[string]int{"engine": engine.MostArrivals(known, rest), "service": service.MostArrivals(known, rest)} {
		t.Logf("the %s got %d", name, got)
		is.New(t).True(got <= maxRequestsInPause)
	}
}

// Guards against dispatches that are held, or said to have failed, while their endpoint wants
// nothing, and against an endpoint that stays left out after its pause.
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
