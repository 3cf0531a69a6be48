package entry

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lilackeel/lilackeel/call"
)

// serverMetrics are the request metrics. They are global: all servers of a process share them.
type serverMetrics struct {
	inFlight           atomic.Int64
	attempts           *metrics.Counter
	retries            *metrics.Counter
	resumes            *metrics.Counter
	foreignResponses   *metrics.Counter
	duplicateResponses *metrics.Counter
	revokes            *metrics.Counter
	// processExits counts the attempts during which the endpoint's process has exited.
	processExits *metrics.Counter
	claimSeconds *metrics.Histogram
}

func newServerMetrics() *serverMetrics {
	m := &serverMetrics{
		attempts:           metrics.GetOrCreateCounter("lilackeel_entry_attempts_total"),
		retries:            metrics.GetOrCreateCounter("lilackeel_entry_retries_total"),
		resumes:            metrics.GetOrCreateCounter("lilackeel_entry_resumes_total"),
		foreignResponses:   metrics.GetOrCreateCounter("lilackeel_entry_foreign_responses_total"),
		duplicateResponses: metrics.GetOrCreateCounter("lilackeel_entry_duplicate_responses_total"),
		processExits:       metrics.GetOrCreateCounter("lilackeel_entry_ended_under_request_total"),
		revokes:            metrics.GetOrCreateCounter("lilackeel_entry_revokes_total"),
		claimSeconds:       metrics.GetOrCreateHistogram("lilackeel_entry_claim_seconds"),
	}
	metrics.GetOrCreateGauge("lilackeel_entry_requests_in_flight", func() float64 { return float64(m.inFlight.Load()) })
	return m
}

// recordEnded records the end of an admitted request.
func (m *serverMetrics) recordEnded(kind string, v *call.Verdict, c call.Counts, took time.Duration) {
	m.countOutcome(kind, v.Outcome)
	m.attempts.Add(c.Attempts)
	m.retries.Add(max(c.Attempts-c.Resumes-1, 0))
	m.resumes.Add(c.Resumes)
	m.foreignResponses.Add(c.Foreign)
	m.duplicateResponses.Add(c.Duplicates)
	metrics.GetOrCreateHistogram(fmt.Sprintf("lilackeel_entry_request_seconds{kind=%q}", kind)).Update(took.Seconds())
}

// recordAnswered records a request that the entry has answered itself.
func (m *serverMetrics) recordAnswered(kind string) { m.countOutcome(kind, call.Answered) }

// recordRefused records a request that was refused before any attempt.
func (m *serverMetrics) recordRefused(v *call.Verdict) {
	m.countOutcome("refused", v.Outcome)
	metrics.GetOrCreateCounter(fmt.Sprintf("lilackeel_entry_refusals_total{kind=%q}", v.Fault.Kind)).Inc()
}

// recordAgentRefusal records a dispatch that an agent's gate has refused.
func (m *serverMetrics) recordAgentRefusal(kind string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("lilackeel_entry_agent_refusals_total{kind=%q}", kind)).Inc()
}

func (m *serverMetrics) countOutcome(kind string, o call.Outcome) {
	metrics.GetOrCreateCounter(fmt.Sprintf("lilackeel_entry_requests_total{kind=%q,outcome=%q}", kind, o)).Inc()
}
