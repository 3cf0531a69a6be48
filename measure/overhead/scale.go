package overhead

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/lilackeel/lilackeel/standin"
)

// claimCalls is the number of claimed calls for each number at once.
const claimCalls = 4000

func newBody() io.Reader { return bytes.NewReader(chatBody(1)) }

// claims measures claimed calls, whose claims three replicas sync, and plain
// completions beside them.
func claims(w io.Writer, figures *Figures) error {
	dir, err := os.MkdirTemp("", "lilackeel-claims-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := StartFleet(FleetConfig{Engine: standin.EngineConfig{Slots: slots}, DataDir: dir})
	if err != nil {
		return err
	}
	defer f.Close()
	for _, calls := range []int{1, 16, 128} {
		result, err := callsAtOnce(calls, f.CallNonIdempotent)
		if err != nil {
			return err
		}
		plain, err := callsAtOnce(calls, func() error { return f.Complete(f.EntryURL, 1) })
		if err != nil {
			return err
		}
		result.PlainP50 = plain.P50
		figures.Claims = append(figures.Claims, result)
		fmt.Fprintf(w, "%3d claimed calls at once (claims synced by 3 replicas): p50 %6.0f us p99 %6.0f us, %.0f calls/s; completions without a claim p50 %6.0f us\n",
			calls, result.P50, result.P99, result.RequestsPerSecond, result.PlainP50)
	}
	return nil
}

// callsAtOnce makes calls, so many at a time.
func callsAtOnce(calls int, do func() error) (ClaimLatency, error) {
	var mu sync.Mutex
	var times []time.Duration
	begun := time.Now()
	err := atOnce(calls, func() error {
		own := make([]time.Duration, 0, claimCalls/calls)
		for range claimCalls / calls {
			called := time.Now()
			if err := do(); err != nil {
				return err
			}
			own = append(own, time.Since(called))
		}
		mu.Lock()
		defer mu.Unlock()
		times = append(times, own...)
		return nil
	})
	if err != nil {
		return ClaimLatency{}, err
	}
	result := ClaimLatency{Calls: calls, RequestsPerSecond: float64(len(times)) / time.Since(begun).Seconds()}
	result.P50, result.P99 = quantiles(times)
	return result, nil
}

// growth measures streamed completions with more and more endpoints.
func growth(w io.Writer, figures *Figures) error {
	for _, endpoints := range []int{16, 160, 2500} {
		result, err := withEndpoints(endpoints)
		if err != nil {
			return err
		}
		figures.Growth = append(figures.Growth, result)
		fmt.Fprintf(w, "%4d endpoints: streamed completion p50 %6.0f us p99 %6.0f us\n", endpoints, result.P50, result.P99)
	}
	return nil
}

// withEndpoints measures streamed completions, one at a time.
func withEndpoints(endpoints int) (EndpointScaling, error) {
	f, err := StartFleet(FleetConfig{Engine: standin.EngineConfig{Slots: slots}, Endpoints: endpoints})
	if err != nil {
		return EndpointScaling{}, err
	}
	defer f.Close()
	times := make([]time.Duration, 0, pickSamples)
	for i := range warmups + pickSamples {
		begun := time.Now()
		if err := f.Complete(f.EntryURL, 1); err != nil {
			return EndpointScaling{}, err
		}
		if i >= warmups {
			times = append(times, time.Since(begun))
		}
	}
	result := EndpointScaling{Endpoints: endpoints}
	result.P50, result.P99 = quantiles(times)
	return result, nil
}
