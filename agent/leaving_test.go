package agent

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/standin"
)

// Guards against new calls to an endpoint whose responses announce that it is about to stop, and
// against an engine that stays excluded after its next process has answered.
func TestLeavingEndpointGetsNoNewCalls(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	engine := standin.NewEngine(standin.EngineConfig{Slots: 64})
	service := standin.NewService(0)
	s := newFixture(t, map[string]http.Handler{"engine": engine, "service": service})
	engine.SetFaults(standin.Faults{Leaving: true})
	service.SetFaults(standin.Faults{Leaving: true})
	s.waitUntil("a poll reveals that the engine is leaving", func() bool {
		got := s.dispatch(completion(false, "1"))
		return got.refusedKind() == fault.Leaving
	})
	s.dispatch(serviceCall(0))
	got := s.dispatch(serviceCall(1))
	is.Equal(got.refusedKind(), fault.Leaving)
	engine.SetFaults(standin.Faults{})
	s.waitUntil("the next process of the engine answers a poll", func() bool { return s.dispatch(completion(false, "1")).end != nil })
	service.SetFaults(standin.Faults{})
	time.Sleep(100 * time.Millisecond)
	got = s.dispatch(serviceCall(2))
	is.Equal(got.refusedKind(), fault.Leaving) // a service is only probed for connections, so it stays excluded while it listens
}

// Guards against a service that stays excluded after its leaving process has been replaced.
func TestRestartedServiceIsNotLeaving(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	service := standin.NewService(0)
	s := newFixture(t, map[string]http.Handler{"service": service})
	service.SetFaults(standin.Faults{Leaving: true})
	s.dispatch(serviceCall(0))
	got := s.dispatch(serviceCall(1))
	is.Equal(got.refusedKind(), fault.Leaving)
	addr := s.servers[0].Listener.Addr().String()
	s.servers[0].Close()
	time.Sleep(100 * time.Millisecond)
	service.SetFaults(standin.Faults{})
	next := httptest.NewUnstartedServer(service)
	_ = next.Listener.Close()
	next.Listener = listenAt(t, addr)
	next.Start()
	t.Cleanup(next.Close)
	s.waitUntil("the next process gets calls", func() bool { got := s.dispatch(serviceCall(2)); return got.end != nil })
}
