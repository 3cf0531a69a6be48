package entry

import (
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/ratelimit"
)

// RateLimits follows the limits that endpoints name. It is a routed.RateLimits. It is safe
// for concurrent use.
type RateLimits struct {
	table     *ratelimit.Table
	endpoints *endpoint.Table
	logger    *slog.Logger
	// first and again count the attempts at endpoints that name a limit.
	first, again *metrics.Counter
}

// NewRateLimits returns RateLimits that know of no limit.
func NewRateLimits(endpoints *endpoint.Table, logger *slog.Logger) *RateLimits {
	l := &RateLimits{
		table: ratelimit.NewTable(), endpoints: endpoints, logger: logger,
		first: metrics.GetOrCreateCounter(`lilackeel_entry_rate_limited_attempts_total{attempt="first"}`),
		again: metrics.GetOrCreateCounter(`lilackeel_entry_rate_limited_attempts_total{attempt="further"}`),
	}
	metrics.GetOrCreateGauge(`lilackeel_entry_rate_limited_endpoints`, func() float64 { return float64(l.table.Limited()) })
	return l
}

// Answered implements routed.RateLimits. What is no limit changes nothing.
func (l *RateLimits) Answered(e *endpoint.Endpoint, sent time.Duration, text string) {
	rate, ok := ratelimit.Parse(text)
	if !ok {
		return
	}
	l.note(e.ID, ratelimit.Limit{Rate: rate, Since: sent, At: time.Since(processStart)})
}

// note takes in a limit.
func (l *RateLimits) note(id string, limit ratelimit.Limit) {
	change, changed := l.table.Note(id, limit)
	if !changed {
		return
	}
	l.logger.Info("an endpoint names another rate limit", slog.String("endpoint", id),
		slog.String("limit", change.To.String()), slog.String("former", change.From.String()),
		slog.Int("sent", change.Sent), slog.Int("sent_again", change.Again))
}

// Sent implements routed.RateLimits.
func (l *RateLimits) Sent(e *endpoint.Endpoint, again bool) {
	switch {
	case !l.table.Sent(e.ID, again):
	case again:
		l.again.Inc()
	default:
		l.first.Inc()
	}
}

// Forget drops what is known of an endpoint that has left or started anew.
func (l *RateLimits) Forget(id string) { l.table.Forget(id) }
