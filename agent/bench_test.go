package agent

import (
	"fmt"
	"net/http"
	"runtime"
	"testing"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/standin"
)

// liveBytes returns the bytes of heap and stack in use after a garbage collection.
func liveBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// BenchmarkOpenStreams reports the memory per open stream. The figure is an upper bound for the agent,
// since it includes the memory of the client and of the stand-in engine, which run in the same process.
func BenchmarkOpenStreams(b *testing.B) {
	engine := standin.NewEngine(standin.EngineConfig{Slots: 1 << 20})
	s := newFixture(b, map[string]http.Handler{"engine": engine})
	s.daemon.service.dispatcher.endpoints["engine"] = s.daemon.settings.Endpoints[0]
	engine.SetFaults(standin.Faults{Stall: true})
	before := liveBytes()
	b.ResetTimer()
	streams := min(b.N, 400)
	for range streams {
		d := completion(true, "4")
		d.Incarnation = s.daemon.lockedGate.incarnation()
		must(s.client.Dispatch(b.Context(), d))
	}
	s.waitUntil("all streams are in flight", func() bool { return s.daemon.lockedGate.inFlight() == streams })
	s.waitUntil("the engine runs all streams", func() bool { runs, _ := engine.Counts(); return runs == streams })
	b.StopTimer()
	b.ReportMetric((liveBytes()-before)/float64(streams), "B/stream")
	engine.SetFaults(standin.Faults{})
}

// BenchmarkDispatch runs complete dispatches through the agent and, for comparison, direct calls to the
// same endpoint in the same run.
func BenchmarkDispatch(b *testing.B) {
	s := newFixture(b, map[string]http.Handler{"service": standin.NewService(0)})
	connection := s.client
	b.Run("agent", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			d := &agentv1.DispatchRequest{Endpoint: "service", Method: http.MethodGet, Path: "/x", Incarnation: s.daemon.lockedGate.incarnation()}
			stream := must(connection.Dispatch(b.Context(), d))
			for {
				if _, err := stream.Recv(); err != nil {
					break
				}
			}
		}
	})
	b.Run("claimed", func(b *testing.B) {
		b.ReportAllocs()
		number := 0
		for b.Loop() {
			number++
			d := s.claimedCall(fmt.Sprint(b.N, "-", number))
			d.Method = http.MethodGet
			if got := s.dispatch(d); got.end == nil {
				b.Fatal(got.refused, got.broken, got.err)
			}
		}
	})
	b.Run("direct", func(b *testing.B) {
		b.ReportAllocs()
		url := s.daemon.settings.Endpoints[0].URL + "/x"
		for b.Loop() {
			response := must(http.Get(url))
			_ = response.Body.Close()
		}
	})
}
