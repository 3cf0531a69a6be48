package reconcile

import (
	"math/rand/v2"
	"slices"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
)

// Limits bound what is under way at the same time, and the pauses.
type Limits struct {
	// Loads is the number of loads in the fleet, at least 1.
	MaxLoads int
	// LoadShare is the share of a pool's endpoints that load; one always may.
	MaxLoadShare float64
	// FirstRetry and LastRetry bound the pause after a failure, which doubles
	// each time.
	InitialBackoff, MaxBackoff time.Duration
	// Audit is the time between two read-backs of an endpoint that nothing is
	// wanted of. The first one in a term comes at a random time within it.
	AuditInterval time.Duration
}

// Defaults of the pauses in Limits.
const (
	DefaultInitialBackoff = 500 * time.Millisecond
	DefaultMaxBackoff     = 30 * time.Second
	DefaultAuditInterval  = 30 * time.Second
)

// Endpoint is a live engine as the state knows it.
type Endpoint struct {
	// ID and Pool are those that its agent announced.
	ID, Pool string
	// Addr is where its agent listens, Incarnation the one that gates it.
	Addr        string
	Incarnation uint64
	// Order is what the state wants next; nil for nothing.
	Order *agentv1.OrderRequest
}

// Action is a request to begin: either an order or a read-back.
type Action struct {
	// Endpoint is the engine that the action is for.
	Endpoint Endpoint
	// Request lacks the order id. Its fencing token is set for an order.
	Request *agentv1.OrderRequest
	// after is the lowest fencing token that the agent must have seen for a
	// reading to count.
	after uint64
}

// ReadBack reports whether the endpoint is only to be read back.
func (a Action) ReadBack() bool {
	return a.Request.GetKind() == agentv1.OrderKind_ORDER_KIND_READ_BACK
}

// Outcome is how an action ended.
type Outcome int

const (
	// Done: the endpoint was read back after the action.
	Done Outcome = iota
	// NotRun: the order has not been carried out and never will be.
	NotRun
	// CutShort: the order may have been carried out, or may yet be.
	Interrupted
)

// endpointWork is what is known of one endpoint.
type endpointWork struct {
	pool string
	// busy is set while an action is under way.
	busy bool
	// uncertain is set until the endpoint has been read back in this term, and
	// again when an order was cut short.
	uncertain bool
	// loading is set from the sending of a load until it is known to have ended.
	loading bool
	// after is the lowest token that an agent must have seen to refuse all
	// earlier orders to the endpoint.
	after    uint64
	failures int
	// retry is when the next action may begin after a failure, audit when the
	// endpoint is read back though nothing is wanted of it.
	retry, audit time.Duration
}

// Reconciler holds what one leader knows of its actions.
type Reconciler struct {
	limits    Limits
	rng       *rand.Rand
	opened    uint64
	endpoints map[string]*endpointWork
}

// New returns the reconciler of a term. opened is the fencing token that the log
// gave out at the beginning of the term, above those of all earlier orders.
func New(limits Limits, rng *rand.Rand, opened uint64) *Reconciler {
	return &Reconciler{limits: limits, rng: rng, opened: opened, endpoints: map[string]*endpointWork{}}
}

// Tick returns the read-backs and the orders to begin at now, given all live
// engines. token is called at most once, if there are orders; it returns a
// fencing token that the log has given out after the call began.
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
		actions = append(actions, r.order(endpoint, fence))
	}
	return actions, nil
}

// readBacks begins the readings that are due.
func (r *Reconciler) readBacks(now time.Duration, endpoints []Endpoint) []Action {
	var actions []Action
	for _, endpoint := range endpoints {
		w := r.workOf(now, endpoint)
		if w.busy || now < w.retry {
			continue
		}
		urgent := w.uncertain && (endpoint.Order != nil || w.loading)
		if !urgent && now < w.audit {
			continue
		}
		w.busy = true
		request := &agentv1.OrderRequest{
			Endpoint: endpoint.ID, Incarnation: endpoint.Incarnation, Kind: agentv1.OrderKind_ORDER_KIND_READ_BACK,
		}
		actions = append(actions, Action{Endpoint: endpoint, Request: request, after: w.after})
	}
	return actions
}

// ready returns the endpoints that may get their order now. Those that failed
// least come first, so that a broken one does not keep the others from loading.
func (r *Reconciler) ready(now time.Duration, endpoints []Endpoint) []Endpoint {
	loads := r.loads(endpoints)
	wanting := slices.DeleteFunc(slices.Clone(endpoints), func(e Endpoint) bool { return e.Order == nil })
	slices.SortStableFunc(wanting, func(a, b Endpoint) int { return r.endpoints[a.ID].failures - r.endpoints[b.ID].failures })
	var ready []Endpoint
	for _, endpoint := range wanting {
		w := r.endpoints[endpoint.ID]
		if w.busy || w.uncertain || now < w.retry {
			continue
		}
		if isLoad(endpoint.Order) && !loads.take(endpoint.Pool) {
			continue
		}
		ready = append(ready, endpoint)
	}
	return ready
}

// order begins an order under the token.
func (r *Reconciler) order(endpoint Endpoint, fence uint64) Action {
	w := r.endpoints[endpoint.ID]
	w.busy = true
	w.after = fence + 1
	w.loading = isLoad(endpoint.Order)
	request := &agentv1.OrderRequest{
		Endpoint: endpoint.ID, Incarnation: endpoint.Incarnation, Fence: fence,
		Kind: endpoint.Order.GetKind(), Model: endpoint.Order.GetModel(), Version: endpoint.Order.GetVersion(),
		Adapter: endpoint.Order.GetAdapter(), Role: endpoint.Order.GetRole(),
	}
	return Action{Endpoint: endpoint, Request: request}
}

func (r *Reconciler) workOf(now time.Duration, endpoint Endpoint) *endpointWork {
	w := r.endpoints[endpoint.ID]
	if w == nil {
		w = &endpointWork{uncertain: true, after: r.opened, audit: now + time.Duration(r.rng.Int64N(int64(r.limits.AuditInterval)+1))}
		r.endpoints[endpoint.ID] = w
	}
	w.pool = endpoint.Pool
	return w
}

// NeedsToken reports whether orders wait for a younger token than the given one
// to have been given out: an endpoint counts as read back only after its agent
// has seen a token younger than the order that was cut short.
func (r *Reconciler) NeedsToken(latest uint64) bool {
	for _, w := range r.endpoints {
		if w.uncertain && w.after > latest {
			return true
		}
	}
	return false
}

// Ended takes in how an action ended. highest is the highest fencing token that
// the agent had seen, as it said with Done. It reports whether what was read
// back of the endpoint may be recorded.
func (r *Reconciler) RecordOutcome(now time.Duration, action Action, outcome Outcome, highest uint64) (observed bool) {
	w := r.endpoints[action.Endpoint.ID]
	if w == nil || !w.busy {
		return false
	}
	w.busy = false
	if outcome == Done && (!action.ReadBack() || highest >= action.after) {
		w.uncertain, w.loading = false, false
		w.failures, w.retry = 0, 0
		w.audit = now + r.spread(r.limits.AuditInterval)
		return true
	}
	if outcome == Interrupted && !action.ReadBack() {
		w.uncertain = true
		w.audit = now
	}
	if outcome == NotRun && !action.ReadBack() {
		w.loading = false
	}
	w.retry = now + r.spread(min(r.limits.InitialBackoff<<min(w.failures, 16), r.limits.MaxBackoff))
	w.failures++
	return false
}

// spread returns between half of d and d.
func (r *Reconciler) spread(d time.Duration) time.Duration {
	return d/2 + time.Duration(r.rng.Int64N(int64(d/2)+1))
}

// Waiting says what the reconciler is doing about an endpoint; empty for
// nothing.
func (r *Reconciler) Progress(endpoint string) string {
	w := r.endpoints[endpoint]
	switch {
	case w == nil:
		return ""
	case w.busy && w.uncertain:
		return "being read back"
	case w.busy:
		return "an order is under way"
	case w.uncertain && w.failures > 0:
		return "to be read back after a failure"
	case w.failures > 0:
		return "to be tried again after a failure"
	}
	return ""
}

func isLoad(order *agentv1.OrderRequest) bool {
	kind := order.GetKind()
	return kind == agentv1.OrderKind_ORDER_KIND_LOAD_MODEL || kind == agentv1.OrderKind_ORDER_KIND_LOAD_ADAPTER
}
