package routed

import (
	"sync"
	"time"
)

// waitEstimator estimates how long callers state that they will wait in their first attempt,
// as a fraction of the route's timeout. A caller that retries after a refusal states less,
// reduced by the elapsed time. This is the only way to recognize a retry, as each attempt is a
// separate request. The timeout itself is no reference because callers allow different times
// from the start: with waits of 0.85 to 1 of the timeout, two in three first attempts were
// classified as late. No other lock is acquired while its lock is held.
type waitEstimator struct {
	mu sync.Mutex
	// lowQuantile is the fraction of the timeout that all but lowQuantileShare of the requests
	// reach or exceed.
	lowQuantile float64
	count       int
}

const (
	// lowQuantileShare is the share of requests that may allow less than a first attempt; more
	// than that are retries in the long run.
	lowQuantileShare = 0.1
	// estimateStep is how far one request moves the estimate. In a retry storm in which half
	// of all callers retry, the estimate falls by a twentieth within 60 requests, after which
	// late requests are no longer recognized; it recovers after ten times as many requests
	// without retries.
	estimateStep = 0.002
	// initialSamples is the number of requests whose minimum is the initial estimate.
	initialSamples = 20
)

// observe records the fraction of the timeout that a caller allows.
func (e *waitEstimator) observe(fraction float64) {
	fraction = min(fraction, 1)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.count++
	switch {
	case e.count == 1 || e.count <= initialSamples && fraction < e.lowQuantile:
		e.lowQuantile = fraction
	case e.count <= initialSamples:
	case fraction < e.lowQuantile:
		e.lowQuantile -= estimateStep * (1 - lowQuantileShare)
	default:
		e.lowQuantile = min(e.lowQuantile+estimateStep*lowQuantileShare, 1)
	}
}

// late reports whether a caller that allows wait, on a route with the given timeout and
// objective, must be retrying and can no longer be served on time.
func (e *waitEstimator) late(wait, timeout, objective time.Duration) bool {
	if objective <= 0 || timeout <= 0 {
		return false
	}
	e.mu.Lock()
	low := e.lowQuantile
	e.mu.Unlock()
	return wait < time.Duration(low*float64(timeout))-objective
}
