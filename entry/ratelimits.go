package entry

import (
	"cmp"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/ratelimit"
)

// RateLimits holds the rate limits that endpoints advertise and the pauses that they request, as
// far as this entry knows them. It is safe for concurrent use. No other lock is taken while its
// lock is held.
type RateLimits struct {
	// peers is the configured number of entries, maxWait the longest delay after which a refused
	// caller is asked to retry.
	peers     int
	maxWait   time.Duration
	table     *ratelimit.Table
	endpoints *endpoint.Table
	holdTimes HoldTimes
	logger    *slog.Logger
	// limitedAttempts counts the attempts at endpoints that advertise a limit, pausedAttempts those
	// at endpoints during a pause that they have requested.
	limitedAttempts, pausedAttempts attemptCounts
	// pushbacks counts the responses that request a pause.
	pushbacks *metrics.Counter

	mu sync.Mutex
	// retrySchedules schedules the retries of refused requests, by pool.
	retrySchedules map[string]ratelimit.RetrySchedule
}

// HoldTimes provides the mean time that requests hold a slot. AdmissionController implements it.
type HoldTimes interface {
	// MeanHoldTime returns the mean time for which requests to a pool hold their slots.
	MeanHoldTime(pool string) time.Duration
}

// NewRateLimits returns an empty RateLimits.
func NewRateLimits(cfg Config, endpoints *endpoint.Table, admission *AdmissionController, logger *slog.Logger) *RateLimits {
	l := &RateLimits{
		peers: max(cfg.Peers, 1), maxWait: cmp.Or(cfg.MaxRetryAfter, defaultMaxRateLimitWait), retrySchedules: map[string]ratelimit.RetrySchedule{},
		table: ratelimit.NewTable(), endpoints: endpoints, holdTimes: admission, logger: logger,
		limitedAttempts: attemptCounts{
			first:   metrics.GetOrCreateCounter(`lilackeel_entry_rate_limited_attempts_total{attempt="first"}`),
			further: metrics.GetOrCreateCounter(`lilackeel_entry_rate_limited_attempts_total{attempt="further"}`),
		},
		pausedAttempts: attemptCounts{
			first:   metrics.GetOrCreateCounter(`lilackeel_entry_paused_attempts_total{attempt="first"}`),
			further: metrics.GetOrCreateCounter(`lilackeel_entry_paused_attempts_total{attempt="further"}`),
		},
		pushbacks: metrics.GetOrCreateCounter(`lilackeel_entry_pushbacks_total`),
	}
	metrics.GetOrCreateGauge(`lilackeel_entry_rate_limited_endpoints`, func() float64 { return float64(l.table.LimitedCount()) })
	metrics.GetOrCreateGauge(`lilackeel_entry_cold_endpoints`, func() float64 { return float64(l.table.ColdCount()) })
	return l
}

// recordLimit stores the limit that an endpoint advertises and reports whether it has changed.
func (l *RateLimits) recordLimit(id string, limit ratelimit.Limit) bool {
	change, changed := l.table.Update(id, limit)
	if changed {
		l.logger.Info("rate limit of an endpoint changed", slog.String("endpoint", id),
			slog.String("limit", change.To.String()), slog.String("former", change.From.String()),
			slog.Int("sent", change.Sent), slog.Int("sent_again", change.Retries))
	}
	return changed
}

// setColdRate sets the rate in requests per second that an endpoint takes while it is cold; zero for
// one that is not cold.
func (l *RateLimits) setColdRate(id string, rate float64) {
	if l.table.SetColdRate(id, rate) {
		l.logger.Info("cold rate of an endpoint changed", slog.String("endpoint", id), slog.Float64("rate", rate))
	}
}

// mergeLimits merges limits that hosts have forwarded.
func (l *RateLimits) mergeLimits(now time.Duration, messages []*agentv1.RateLimit) {
	for _, message := range messages {
		if named, ok := ratelimit.FromProto(now, message); ok {
			l.mergeLimit(named)
		}
	}
}

// mergeLimit merges the limit of a known endpoint, which is named by its id or by its current
// incarnation. Limits of earlier incarnations are dropped.
func (l *RateLimits) mergeLimit(n ratelimit.EndpointLimit) {
	view := l.endpoints.Snapshot()
	if _, known := view.Get(n.Endpoint); known {
		l.recordLimit(n.Endpoint, n.Limit)
		return
	}
	id := endpoint.IDFromRunID(n.Endpoint)
	if e, known := view.Get(id); known && e.RunID() == n.Endpoint {
		l.recordLimit(id, n.Limit)
	}
}

// recordAttempt records that a request is sent to an endpoint; retry is true for any attempt
// after the first.
func (l *RateLimits) recordAttempt(id string, retry bool) {
	limited, paused := l.table.RecordSent(time.Since(processStart), id, retry)
	if limited {
		l.limitedAttempts.count(retry)
	}
	if paused {
		l.pausedAttempts.count(retry)
	}
}

// handleFeedback evaluates a response: whether the endpoint has rejected the request, requested a
// pause or announced that it is shutting down.
func (l *RateLimits) handleFeedback(id string, f ratelimit.Feedback) {
	if f.Leaving && l.table.MarkLeaving(id) {
		l.logger.Info("an endpoint announced its shutdown", slog.String("endpoint", id))
	}
	switch {
	case f.Pause > 0:
		l.recordPushback(id, f.Pause)
	case !f.Rejected:
		l.table.RecordAccepted(id, f.SentAt)
	}
}

// recordPushback records that an endpoint has requested a pause.
func (l *RateLimits) recordPushback(id string, pause time.Duration) {
	l.pushbacks.Inc()
	previous, started := l.table.RecordPushback(time.Since(processStart), id, pause)
	if started {
		l.logger.Info("an endpoint asked for a pause", slog.String("endpoint", id), slog.Duration("pause", pause),
			slog.Bool("former", previous.Exists), slog.Int("sent_in_former", previous.Sent), slog.Int("sent_again_in_former", previous.Retries))
	}
}

// attemptCounts counts attempts of one kind, with first attempts and retries counted separately.
type attemptCounts struct{ first, further *metrics.Counter }

func (c attemptCounts) count(retry bool) {
	if retry {
		c.further.Inc()
		return
	}
	c.first.Inc()
}

// blockFor blocks an endpoint for the given time, after an agent has refused a request to it
// because of a rate limit.
func (l *RateLimits) blockFor(id string, wait time.Duration) {
	l.table.BlockUntil(id, time.Since(processStart)+wait)
}

// InPause implements routed.RateLimits.
func (l *RateLimits) InPause(id string) bool { return l.table.InPause(time.Since(processStart), id) }

// Restrictions implements routed.RateLimits.
func (l *RateLimits) Restrictions() map[string]ratelimit.Restriction {
	return l.table.Restrictions(time.Since(processStart))
}

// Blocked returns the endpoints to which no request may be sent at the moment. It implements
// routed.RateLimits.
func (l *RateLimits) Blocked() []string { return l.table.Blocked(time.Since(processStart)) }

// LimitedEndpoints returns the endpoints that advertise a limit. It implements routed.RateLimits.
func (l *RateLimits) LimitedEndpoints() []string { return l.table.LimitedEndpoints() }

// Refusal returns the fault for a request that no endpoint of a pool can take now, if some
// endpoints will take requests again later; nil otherwise.
func (l *RateLimits) Refusal(pool string) *fault.Error { return l.refusalAmong(pool, l.peers) }

// refusalAmong is Refusal for a fleet of the given number of entries, each of which may use an
// equal share of the rate that the pool accepts. Every refused request gets its own retry time,
// none before the first endpoint takes requests again.
func (l *RateLimits) refusalAmong(pool string, entries int) *fault.Error {
	now := time.Since(processStart)
	earliest, rate := l.earliestReopening(now, pool)
	if earliest == 0 {
		return nil
	}
	latest := max(earliest, now) + max(l.maxWait, minRateLimitWait)
	l.mu.Lock()
	schedule := l.retrySchedules[pool]
	retryAt := schedule.Next(max(earliest, now+minRateLimitWait), latest, rate/float64(max(entries, 1)))
	l.retrySchedules[pool] = schedule
	l.mu.Unlock()
	return fault.New(fault.RateLimited, "not run: all remaining endpoints are rate-limited or have requested a pause",
		"retry after the given time, or add endpoints").RetryIn(retryAt - now)
}

// earliestReopening returns when the first blocked endpoint of a pool takes requests again, zero
// if none is blocked, and the total rate in requests per second that the blocked endpoints accept
// from then on.
func (l *RateLimits) earliestReopening(now time.Duration, pool string) (earliest time.Duration, rate float64) {
	view := l.endpoints.Snapshot()
	for _, id := range l.table.Blocked(now) {
		e, known := view.Get(id)
		if !known || e.Pool != pool || e.State != endpoint.Serving {
			continue
		}
		rate += l.acceptedRate(e)
		if reopensAt := l.table.BlockedUntil(now, id); reopensAt > 0 && (earliest == 0 || reopensAt < earliest) {
			earliest = reopensAt
		}
	}
	return earliest, rate
}

// acceptedRate returns the rate in requests per second at which an endpoint accepts retries: its
// advertised limit or, after a pause, a share of its slot throughput. The rest of that throughput
// is left to new requests.
func (l *RateLimits) acceptedRate(e *endpoint.Endpoint) float64 {
	if rate, limited := l.table.EffectiveRate(e.ID); limited {
		return rate
	}
	hold := max(l.holdTimes.MeanHoldTime(e.Pool), minHoldTime)
	return retryShare * float64(max(e.Slots, 1)) / hold.Seconds()
}

const (
	// retryShare is the share of an endpoint's slots that is reserved for retries after a pause.
	retryShare = 0.4
	// minHoldTime is the lower bound of the assumed time that a request holds a slot.
	minHoldTime = time.Millisecond
)

// minRateLimitWait is the shortest delay after which a refused caller is asked to retry,
// defaultMaxRateLimitWait the longest if the settings state none.
const (
	minRateLimitWait        = 100 * time.Millisecond
	defaultMaxRateLimitWait = 2500 * time.Millisecond
)

// Forget drops the state of an endpoint that has left or restarted.
func (l *RateLimits) Forget(id string) { l.table.Forget(id) }

// directLimits returns the limits of directly called endpoints, for a host that may have lost them
// in a restart.
func (l *RateLimits) directLimits() []*agentv1.RateLimit {
	now, view := time.Since(processStart), l.endpoints.Snapshot()
	var limits []*agentv1.RateLimit
	for _, id := range l.table.LimitedEndpoints() {
		limit, limited := l.table.Limit(id)
		if e, ok := view.Get(id); ok && limited && e.Addr != "" {
			limits = append(limits, ratelimit.ToProto(now, ratelimit.EndpointLimit{Endpoint: e.RunID(), Limit: limit}))
		}
	}
	return limits
}

// limitMessage returns the limit of an endpoint behind an agent, nil if it advertises none.
func (l *RateLimits) limitMessage(id string) *agentv1.RateLimit {
	limit, limited := l.table.Limit(id)
	if !limited {
		return nil
	}
	return ratelimit.ToProto(time.Since(processStart), ratelimit.EndpointLimit{Endpoint: id, Limit: limit})
}
