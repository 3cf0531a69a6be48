package agent

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/standin"
)

// Guards against an endpoint that advertises a rate limit and gets more requests than that from all
// entries and the agent's own polls together.
func TestCombinedRateStaysWithinEndpointLimit(t *testing.T) {
	t.Parallel()
	const window = 4 * time.Second
	engine := standin.NewEngine(standin.EngineConfig{Slots: 64})
	service := standin.NewService(0)
	s := newFixture(t, map[string]http.Handler{"engine": engine, "service": service})
	engine.SetFaults(standin.Faults{RateLimit: "1"})
	service.SetFaults(standin.Faults{RateLimit: "0.5"})
	since := time.Now()
	var entries sync.WaitGroup
	for entry := range 5 {
		entries.Go(func() {
			for number := 0; time.Since(since) < window+2*time.Second; number++ {
				call := completion(false, "1")
				call.RequestId, call.Entry = fmt.Sprint("c", entry, "-", number), fmt.Sprint("entry-", entry)
				s.dispatch(call)
				s.dispatch(&agentv1.DispatchRequest{
					RequestId: fmt.Sprint("s", entry, "-", number), Attempt: 1, Endpoint: "service",
					Method: http.MethodGet, Path: "/x", Entry: call.GetEntry(),
				})
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	entries.Wait()
	known := since.Add(time.Second)
	for name, c := range map[string]struct{ got, allowed int }{
		"engine":  {engine.MaxArrivals(known, window), 11},
		"service": {service.MaxArrivals(known, window), 8},
	} {
		t.Logf("the %s got %d in %v, allowed %d", name, c.got, window, c.allowed)
		is.New(t).True(c.got <= c.allowed)
		is.New(t).True(c.got >= 1) // requests within the limit are sent
	}
}
