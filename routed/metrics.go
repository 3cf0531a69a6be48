package routed

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lilackeel/lilackeel/call"
)

// serverMetrics contains the metrics of a Server.
type serverMetrics struct {
	inFlight atomic.Int64
	// connections is the number of open connections of callers.
	connections atomic.Int64
	attempts    *metrics.Counter
	resumes     *metrics.Counter
	// processExits counts the attempts during which the endpoint's process exited.
	processExits *metrics.Counter
	// partRefusals counts the refusals of requests with a quarantined prompt part.
	partRefusals *metrics.Counter
}

func newServerMetrics() *serverMetrics {
	m := &serverMetrics{
		attempts:     metrics.GetOrCreateCounter(`lilackeel_routed_attempts_total`),
		resumes:      metrics.GetOrCreateCounter(`lilackeel_routed_resumes_total`),
		partRefusals: metrics.GetOrCreateCounter(`lilackeel_routed_prompt_part_refusals_total`),
		processExits: metrics.GetOrCreateCounter(`lilackeel_routed_ended_under_request_total`),
	}
	metrics.GetOrCreateGauge(`lilackeel_routed_requests_in_flight`, func() float64 { return float64(m.inFlight.Load()) })
	metrics.GetOrCreateGauge(`lilackeel_routed_caller_connections`, func() float64 { return float64(m.connections.Load()) })
	return m
}

// recordRefused counts a request that was rejected before processing.
func (m *serverMetrics) recordRefused(v *call.Verdict) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`lilackeel_routed_refusals_total{kind=%q,status="%d"}`, string(v.Fault.Kind), v.HTTPStatus())).Inc()
}

// recordEarlyEnd counts a response without a length that ended before its request was written.
func (m *serverMetrics) recordEarlyEnd() {
	metrics.GetOrCreateCounter(`lilackeel_routed_early_ends_total`).Inc()
}

// recordEnded counts a request that was processed.
func (m *serverMetrics) recordEnded(pool, outcome string, took time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`lilackeel_routed_requests_total{pool=%q,outcome=%q}`, pool, outcome)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`lilackeel_routed_request_seconds{pool=%q}`, pool)).Update(took.Seconds())
}
