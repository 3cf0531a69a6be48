package agent

import (
	"errors"
	"log/slog"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// transitionThreshold is the number of consecutive observations that must contradict the state of
// an endpoint before the state changes. It limits flapping: each transition costs the control
// replicas an entry in their log.
const transitionThreshold = 5

// health tracks which endpoints are unreachable, that is, do not accept connections. The
// observations come from calls and from the pollers.
type health struct {
	logger *slog.Logger
	// onTransition is called after a transition, without the lock held.
	onTransition func()

	mu          sync.Mutex
	byEndpoint  map[string]*reachability
	transitions uint64
}

// reachability is the state of one endpoint.
type reachability struct {
	down bool
	// contradictions is the number of consecutive observations that contradict down.
	contradictions int
}

func newHealth(logger *slog.Logger) *health {
	return &health{logger: logger, onTransition: func() {}, byEndpoint: make(map[string]*reachability)}
}

// record records whether an endpoint accepted a connection.
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

// recordCall records whether a call reached its endpoint. A call that was canceled before it had a
// connection is not an observation.
func (h *health) recordCall(endpoint string, err error) {
	var notSent notSentError
	switch {
	case !errors.As(err, &notSent):
		h.record(endpoint, true)
	case notSent.refused:
		h.record(endpoint, false)
	}
}

// observe counts one observation and reports whether the state has changed.
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

// down reports whether the endpoint is considered unreachable.
func (h *health) down(endpoint string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.byEndpoint[endpoint]
	return r != nil && r.down
}

// suspected reports whether the endpoint is down or the last observation found it unreachable.
func (h *health) suspected(endpoint string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.byEndpoint[endpoint]
	return r != nil && (r.down || r.contradictions > 0)
}

// transitionCount returns the number of transitions of all endpoints.
func (h *health) transitionCount() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.transitions
}
