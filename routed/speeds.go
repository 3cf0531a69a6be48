package routed

import (
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lilackeel/lilackeel/endpoint/speed"
)

// minSpeedLogInterval is the minimum time between two log lines about the speed of an endpoint.
const minSpeedLogInterval = time.Second

// slowEndpoints contains the endpoints that were last logged as slow, or that were logged as nominal
// within minSpeedLogInterval. It is not safe for concurrent use.
type slowEndpoints struct {
	logged map[string]loggedSpeed
	// counts are the numbers of slow endpoints of the pools that have had any.
	counts map[string]int
}

// loggedSpeed is the last log line about the speed of an endpoint.
type loggedSpeed struct {
	slow bool
	at   time.Duration
}

// measuresSpeed reports whether the endpoints of a pool that report no slowdown are judged by their
// response times. Endpoints with a cold start differ in speed for some time after each start.
func (s *Server) measuresSpeed(pool string) bool {
	return s.config.MeasureSpeed || s.table.Load().Pool(pool).GetColdRate() > 0
}

// recordSpeeds updates the metric of slow endpoints, and logs which endpoints have become slow or
// nominal.
func (s *Server) recordSpeeds(now time.Duration) {
	slow := &s.slowEndpoints
	if !s.Speeds.Any(now) && len(slow.logged) == 0 {
		return
	}
	if slow.logged == nil {
		slow.logged, slow.counts = map[string]loggedSpeed{}, map[string]int{}
	}
	for pool := range slow.counts {
		slow.counts[pool] = 0
	}
	view := s.Endpoints.Snapshot()
	for _, e := range view.All() {
		slowdown := s.Speeds.Slowdown(now, e.ID)
		isSlow := slowdown > speed.Nominal
		if isSlow {
			slow.counts[e.Pool]++
		}
		switch {
		case !slow.shouldLog(now, e.ID, isSlow):
		case isSlow:
			s.Logger.Info("an endpoint works slower than nominal", slog.String("endpoint", e.ID), slog.String("pool", e.Pool), slog.Float64("slowdown", slowdown))
		default:
			s.Logger.Info("an endpoint works at its nominal speed again", slog.String("endpoint", e.ID), slog.String("pool", e.Pool))
		}
	}
	for id, last := range slow.logged {
		if _, known := view.Get(id); !known || !last.slow && now-last.at >= minSpeedLogInterval {
			delete(slow.logged, id)
		}
	}
	for pool, count := range slow.counts {
		metrics.GetOrCreateGauge(fmt.Sprintf(`lilackeel_slow_endpoints{pool=%q}`, pool), nil).Set(float64(count))
	}
}

// shouldLog reports whether the speed of an endpoint has changed since it was last logged, long
// enough ago, and if so records it as logged.
func (l *slowEndpoints) shouldLog(now time.Duration, id string, slow bool) bool {
	last, known := l.logged[id]
	if last.slow == slow || known && now-last.at < minSpeedLogInterval {
		return false
	}
	l.logged[id] = loggedSpeed{slow: slow, at: now}
	return true
}
