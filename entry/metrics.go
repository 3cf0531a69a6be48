package entry

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lilackeel/lilackeel/call"
)

// serverMetrics counts what happens to requests. The metrics belong to the
// process: servers of one process share them.
type serverMetrics struct {
	inFlight   atomic.Int64
	attempts   *metrics.Counter
	retries    *metrics.Counter
	resumes    *metrics.Counter
	foreign    *metrics.Counter
	duplicates *metrics.Counter
	revokes    *metrics.Counter
	// endedUnder counts the attempts under which the endpoint's process has ended.
	endedUnder   *metrics.Counter
	claimSeconds *metrics.Histogram
}

func newServerMetrics() *serverMetrics {
	m := &serverMetrics{
		attempts:     metrics.GetOrCreateCounter("lilackeel_entry_attempts_total"),
		retries:      metrics.GetOrCreateCounter("lilackeel_entry_retries_total"),
		resumes:      metrics.GetOrCreateCounter("lilackeel_entry_resumes_total"),
		foreign:      metrics.GetOrCreateCounter("lilackeel_entry_foreign_responses_total"),
		duplicates:   metrics.GetOrCreateCounter("lilackeel_entry_duplicate_responses_total"),
		endedUnder:   metrics.GetOrCreateCounter("lilackeel_entry_ended_under_request_total"),
		revokes:      metrics.GetOrCreateCounter("lilackeel_entry_revokes_total"),
		claimSeconds: metrics.GetOrCreateHistogram("lilackeel_entry_claim_seconds"),
	}
	metrics.GetOrCreateGauge("lilackeel_entry_requests_in_flight", func() float64 { return float64(m.inFlight.Load()) })
	return m
}

// ended notes a request that was run or tried.
func (m *serverMetrics) ended(kind string, v *call.Verdict, c call.Counts, took time.Duration) {
	m.outcome(kind, v.Outcome)
	m.attempts.Add(c.Attempts)
	m.retries.Add(max(c.Attempts-c.Resumes-1, 0))
	m.resumes.Add(c.Resumes)
	m.foreign.Add(c.Foreign)
	m.duplicates.Add(c.Duplicates)
	metrics.GetOrCreateHistogram(fmt.Sprintf("lilackeel_entry_request_seconds{kind=%q}", kind)).Update(took.Seconds())
}

// answered notes a request that the entry answered itself.
func (m *serverMetrics) answered(kind string) { m.outcome(kind, call.Answered) }

// refused notes a request that was refused before it was tried.
func (m *serverMetrics) refused(v *call.Verdict) {
	m.outcome("refused", v.Outcome)
	metrics.GetOrCreateCounter(fmt.Sprintf("lilackeel_entry_refusals_total{kind=%q}", v.Fault.Kind)).Inc()
}

// refusedByAgent notes a dispatch that an agent's gate refused.
func (m *serverMetrics) refusedByAgent(kind string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("lilackeel_entry_agent_refusals_total{kind=%q}", kind)).Inc()
}

func (m *serverMetrics) outcome(kind string, o call.Outcome) {
	metrics.GetOrCreateCounter(fmt.Sprintf("lilackeel_entry_requests_total{kind=%q,outcome=%q}", kind, o)).Inc()
}
