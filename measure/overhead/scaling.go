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

// claimCalls is the number of calls at each concurrency level.
const claimCalls = 4000

func newChatBody() io.Reader { return bytes.NewReader(chatBody(1)) }

// measureClaims measures non-idempotent calls, whose claims are replicated and
// synced to disk by three replicas, and completions for comparison.
func measureClaims(w io.Writer, figures *Figures) error {
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
	for _, concurrency := range []int{1, 16, 128} {
		result, err := measureConcurrentCalls(concurrency, f.CallNonIdempotent)
		if err != nil {
			return err
		}
		plain, err := measureConcurrentCalls(concurrency, func() error { return f.Complete(f.EntryURL, 1) })
		if err != nil {
			return err
		}
		result.PlainP50 = plain.P50
		figures.Claims = append(figures.Claims, result)
		fmt.Fprintf(w, "%3d concurrent claimed calls (claims synced by 3 replicas): p50 %6.0f us p99 %6.0f us, %.0f calls/s; completions without a claim p50 %6.0f us\n",
			concurrency, result.P50, result.P99, result.RequestsPerSecond, result.PlainP50)
	}
	return nil
}

// measureConcurrentCalls makes about claimCalls calls with the given concurrency.
func measureConcurrentCalls(concurrency int, call func() error) (ClaimLatency, error) {
	var mu sync.Mutex
	var times []time.Duration
	start := time.Now()
	err := runConcurrently(concurrency, func() error {
		ownTimes := make([]time.Duration, 0, claimCalls/concurrency)
		for range claimCalls / concurrency {
			callStart := time.Now()
			if err := call(); err != nil {
				return err
			}
			ownTimes = append(ownTimes, time.Since(callStart))
		}
		mu.Lock()
		defer mu.Unlock()
		times = append(times, ownTimes...)
		return nil
	})
	if err != nil {
		return ClaimLatency{}, err
	}
	result := ClaimLatency{Calls: concurrency, RequestsPerSecond: float64(len(times)) / time.Since(start).Seconds()}
	result.P50, result.P99 = quantiles(times)
	return result, nil
}

// measureScaling measures streamed completions for increasing numbers of endpoints.
func measureScaling(w io.Writer, figures *Figures) error {
	for _, endpoints := range []int{16, 160, 2500} {
		result, err := measureEndpoints(endpoints)
		if err != nil {
			return err
		}
		figures.Growth = append(figures.Growth, result)
		fmt.Fprintf(w, "%4d endpoints: streamed completion p50 %6.0f us p99 %6.0f us\n", endpoints, result.P50, result.P99)
	}
	return nil
}

// measureEndpoints measures sequential streamed completions in a fleet with the given
// number of endpoints.
func measureEndpoints(endpoints int) (EndpointScaling, error) {
	f, err := StartFleet(FleetConfig{Engine: standin.EngineConfig{Slots: slots}, Endpoints: endpoints})
	if err != nil {
		return EndpointScaling{}, err
	}
	defer f.Close()
	times := make([]time.Duration, 0, scalingCalls)
	for i := range warmupCalls + scalingCalls {
		start := time.Now()
		if err := f.Complete(f.EntryURL, 1); err != nil {
			return EndpointScaling{}, err
		}
		if i >= warmupCalls {
			times = append(times, time.Since(start))
		}
	}
	result := EndpointScaling{Endpoints: endpoints}
	result.P50, result.P99 = quantiles(times)
	return result, nil
}
