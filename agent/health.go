package agent

import (
	"errors"
	"log/slog"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// transitionThreshold is how many observations in a row must contradict the
// state of an endpoint before the state changes. Each transition costs the
// control replicas an entry of their log.
const transitionThreshold = 5

// health knows which endpoints take no connections. It learns from calls and
// from the pollers.
type health struct {
	logger *slog.Logger
	// onTransition is called after a transition, without the lock.
	onTransition func()

	mu          sync.Mutex
	byEndpoint  map[string]*reachability
	transitions uint64
}

// reachability is what is believed of one endpoint.
type reachability struct {
	down bool
	// contradicted counts the observations in a row that say otherwise.
	contradictions int
}

func newHealth(logger *slog.Logger) *health {
	return &health{logger: logger, onTransition: func() {}, byEndpoint: make(map[string]*reachability)}
}

// note records whether an endpoint took a connection.
func (h *health) record(endpoint string, reachable bool) {
	if !reachable {
		metrics.GetOrCreateCounter(`lilackeel_agent_endpoint_unreachable_total{endpoint="` + endpoint + `"}`).Inc()
	}
	if !h.observe(endpoint, reachable) {
		return
	}
	h.logger.Warn("an endpoint's reachability changed", slog.String("endpoint", endpoint), slog.Bool("reachable", reachable))
	h.onTransition()
}

// noteCall takes in how a call to an endpoint began. A call that was ended
// before it had a connection says nothing.
func (h *health) recordCall(endpoint string, err error) {
	var notSent notSentError
	switch {
	case !errors.As(err, &notSent):
		h.record(endpoint, true)
	case notSent.refused:
		h.record(endpoint, false)
	}
}

// observe takes one observation in and reports whether the state has changed.
func (h *health) observe(endpoint string, reachable bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.byEndpoint[endpoint]
	if r == nil {
		r = &reachability{}
		h.byEndpoint[endpoint] = r
	}
	if reachable == !r.down {
		r.contradictions = 0
		return false
	}
	r.contradictions++
	if r.contradictions < transitionThreshold {
		return false
	}
	r.down = !r.down
	r.contradictions = 0
	h.transitions++
	return true
}

// down reports whether the endpoint is believed to take no connections.
func (h *health) down(endpoint string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.byEndpoint[endpoint]
	return r != nil && r.down
}

// suspected reports whether the endpoint is down or the last observation says so.
func (h *health) suspected(endpoint string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.byEndpoint[endpoint]
	return r != nil && (r.down || r.contradictions > 0)
}

// changed returns a number that grows with every transition.
func (h *health) transitionCount() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.transitions
}
