package reconcile

import (
	"math/rand/v2"
	"slices"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
)

// Limits bound the concurrent loads and set the retry and audit intervals.
type Limits struct {
	// MaxLoads is the number of concurrent loads in the fleet, at least 1.
	MaxLoads int
	// MaxLoadShare is the share of a pool's endpoints that may load concurrently; one always
	// may.
	MaxLoadShare float64
	// InitialBackoff and MaxBackoff bound the delay after a failure, which doubles with each
	// failure in a row.
	InitialBackoff, MaxBackoff time.Duration
	// AuditInterval is the time between two read-backs of an endpoint that has no pending
	// order. The first one in a term is at a random time within the interval.
	AuditInterval time.Duration
}

// Default intervals of Limits.
const (
	DefaultInitialBackoff = 500 * time.Millisecond
	DefaultMaxBackoff     = 30 * time.Second
	DefaultAuditInterval  = 30 * time.Second
)

// Endpoint is a live engine as recorded in the replicated state.
type Endpoint struct {
	// ID and Pool are as announced by the agent.
	ID, Pool string
	// Addr is the address of the endpoint's agent, and Incarnation the incarnation of that
	// agent.
	Addr        string
	Incarnation uint64
	// Order is the next order that the state requires, or nil.
	Order *agentv1.OrderRequest
}

// Action is an order or a read-back to start.
type Action struct {
	Endpoint Endpoint
	// Request is the request without its order ID. The fencing token is set for orders only.
	Request *agentv1.OrderRequest
	// minSeenFence is the lowest fencing token that the agent must have seen for a read-back to
	// count.
	minSeenFence uint64
}

// ReadBack reports whether the action is a read-back.
func (a Action) ReadBack() bool {
	return a.Request.GetKind() == agentv1.OrderKind_ORDER_KIND_READ_BACK
}

// Outcome is the outcome of an action.
type Outcome int

const (
	// Done means that the endpoint was read back after the action.
	Done Outcome = iota
	// NotRun means that the order was not carried out and never will be.
	NotRun
	// Interrupted means that the order may have been carried out, or may still be.
	Interrupted
)

// endpointState is the reconciler's state of one endpoint.
type endpointState struct {
	pool string
	// busy is set while an action is in progress.
	busy bool
	// uncertain is set until the endpoint has been read back in this term, and again after an
	// order was interrupted.
	uncertain bool
	// loading is set from when a load is sent until it is known to have ended.
	loading bool
	// minSeenFence is the lowest token that an agent must have seen to reject all earlier
	// orders to the endpoint.
	minSeenFence uint64
	failures     int
	// retryAt is when the next action may start after a failure, auditAt when the endpoint is
	// read back even though it has no pending order.
	retryAt, auditAt time.Duration
}

// Reconciler decides which actions to start during one term of a leader.
type Reconciler struct {
	limits    Limits
	rng       *rand.Rand
	termFence uint64
	endpoints map[string]*endpointState
}

// New returns the reconciler of a term. termFence is the fencing token that the log issued at
// the beginning of the term; it is higher than those of all earlier orders.
func New(limits Limits, rng *rand.Rand, termFence uint64) *Reconciler {
	return &Reconciler{limits: limits, rng: rng, termFence: termFence, endpoints: map[string]*endpointState{}}
}

// Tick returns the read-backs and orders to start at now, given all live engines. token is
// called at most once, and only if there are orders; it returns a fencing token that the log
// has issued after the call began.
func (r *Reconciler) Tick(now time.Duration, endpoints []Endpoint, token func() (uint64, error)) ([]Action, error) {
	actions := r.readBacks(now, endpoints)
	ready := r.ready(now, endpoints)
	if len(ready) == 0 {
		return actions, nil
	}
	fence, err := token()
	if err != nil {
		return actions, err
	}
	for _, endpoint := range ready {
		actions = append(actions, r.startOrder(endpoint, fence))
	}
	return actions, nil
}

// readBacks starts the read-backs that are due.
func (r *Reconciler) readBacks(now time.Duration, endpoints []Endpoint) []Action {
	var actions []Action
	for _, endpoint := range endpoints {
		state := r.stateOf(now, endpoint)
		if state.busy || now < state.retryAt {
			continue
		}
		urgent := state.uncertain && (endpoint.Order != nil || state.loading)
		if !urgent && now < state.auditAt {
			continue
		}
		state.busy = true
		request := &agentv1.OrderRequest{
			Endpoint: endpoint.ID, Incarnation: endpoint.Incarnation, Kind: agentv1.OrderKind_ORDER_KIND_READ_BACK,
		}
		actions = append(actions, Action{Endpoint: endpoint, Request: request, minSeenFence: state.minSeenFence})
	}
	return actions
}

// ready returns the endpoints that may get their order now, those with the fewest failures
// first, so that a broken endpoint does not keep the others from loading.
func (r *Reconciler) ready(now time.Duration, endpoints []Endpoint) []Endpoint {
	budget := r.remainingLoads(endpoints)
	pending := slices.DeleteFunc(slices.Clone(endpoints), func(e Endpoint) bool { return e.Order == nil })
	slices.SortStableFunc(pending, func(a, b Endpoint) int { return r.endpoints[a.ID].failures - r.endpoints[b.ID].failures })
	var ready []Endpoint
	for _, endpoint := range pending {
		state := r.endpoints[endpoint.ID]
		if state.busy || state.uncertain || now < state.retryAt {
			continue
		}
		if isLoad(endpoint.Order) && !budget.take(endpoint.Pool) {
			continue
		}
		ready = append(ready, endpoint)
	}
	return ready
}

// startOrder starts the pending order of an endpoint with a fencing token.
func (r *Reconciler) startOrder(endpoint Endpoint, fence uint64) Action {
	state := r.endpoints[endpoint.ID]
	state.busy = true
	state.minSeenFence = fence + 1
	state.loading = isLoad(endpoint.Order)
	request := &agentv1.OrderRequest{
		Endpoint: endpoint.ID, Incarnation: endpoint.Incarnation, Fence: fence,
		Kind: endpoint.Order.GetKind(), Model: endpoint.Order.GetModel(), Version: endpoint.Order.GetVersion(),
		Adapter: endpoint.Order.GetAdapter(), Role: endpoint.Order.GetRole(),
	}
	return Action{Endpoint: endpoint, Request: request}
}

func (r *Reconciler) stateOf(now time.Duration, endpoint Endpoint) *endpointState {
	state := r.endpoints[endpoint.ID]
	if state == nil {
		state = &endpointState{uncertain: true, minSeenFence: r.termFence, auditAt: now + time.Duration(r.rng.Int64N(int64(r.limits.AuditInterval)+1))}
		r.endpoints[endpoint.ID] = state
	}
	state.pool = endpoint.Pool
	return state
}

// NeedsToken reports whether an order waits for a fencing token newer than latest to be issued:
// an endpoint counts as read back only after its agent has seen a token newer than that of the
// interrupted order.
func (r *Reconciler) NeedsToken(latest uint64) bool {
	for _, state := range r.endpoints {
		if state.uncertain && state.minSeenFence > latest {
			return true
		}
	}
	return false
}

// RecordOutcome records the outcome of an action. highest is the highest fencing token that the
// agent had seen, which it reports with Done. It reports whether the state that was read back
// may be recorded.
func (r *Reconciler) RecordOutcome(now time.Duration, action Action, outcome Outcome, highest uint64) (accepted bool) {
	state := r.endpoints[action.Endpoint.ID]
	if state == nil || !state.busy {
		return false
	}
	state.busy = false
	if outcome == Done && (!action.ReadBack() || highest >= action.minSeenFence) {
		state.uncertain, state.loading = false, false
		state.failures, state.retryAt = 0, 0
		state.auditAt = now + r.jitter(r.limits.AuditInterval)
		return true
	}
	if outcome == Interrupted && !action.ReadBack() {
		state.uncertain = true
		state.auditAt = now
	}
	if outcome == NotRun && !action.ReadBack() {
		state.loading = false
	}
	state.retryAt = now + r.jitter(min(r.limits.InitialBackoff<<min(state.failures, 16), r.limits.MaxBackoff))
	state.failures++
	return false
}

// jitter returns a random duration between d/2 and d.
func (r *Reconciler) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(r.rng.Int64N(int64(d/2)+1))
}

// Progress describes what the reconciler is doing about an endpoint, or returns an empty
// string.
func (r *Reconciler) Progress(endpoint string) string {
	state := r.endpoints[endpoint]
	switch {
	case state == nil:
		return ""
	case state.busy && state.uncertain:
		return "being read back"
	case state.busy:
		return "an order is in progress"
	case state.uncertain && state.failures > 0:
		return "waiting to read back after a failure"
	case state.failures > 0:
		return "waiting to retry after a failure"
	}
	return ""
}

func isLoad(order *agentv1.OrderRequest) bool {
	kind := order.GetKind()
	return kind == agentv1.OrderKind_ORDER_KIND_LOAD_MODEL || kind == agentv1.OrderKind_ORDER_KIND_LOAD_ADAPTER
}
