package control

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/control/reconcile"
	endpoints "github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/link"
)

const (
	// orderInterval is the interval at which pending orders are checked.
	orderInterval = 200 * time.Millisecond
	// orderWorkers bounds the concurrent calls to agents.
	orderWorkers = 32
	// orderTimeout is longer than an agent's own timeout for an order to an endpoint.
	orderTimeout = 6 * time.Minute
	// readBackTimeout bounds a read-back, which also waits for an order in progress.
	readBackTimeout = 10 * time.Second
)

// orderDriver brings the engines to the accepted configuration: in each term that this replica
// leads it sends the orders that a reconcile.Reconciler returns.
type orderDriver struct {
	state  *contract.State
	log    Log
	pool   *link.Pool
	limits reconcile.Limits
	logger *slog.Logger

	// cached holds the engines as of revision. Only drive accesses it.
	cached   []reconcile.Endpoint
	revision uint64
}

// orderResult is the result of an action.
type orderResult struct {
	action   reconcile.Action
	outcome  reconcile.Outcome
	response *agentv1.OrderResponse
	err      error
}

// drive runs until ctx ends. Actions in progress are then abandoned: agents may or may not
// carry them out, and the next leader reads the endpoints back.
func (d *orderDriver) drive(ctx context.Context, l *leadership) {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	reconciler := reconcile.New(d.limits, rng, l.fence)
	results := make(chan orderResult, orderWorkers)
	semaphore := make(chan struct{}, orderWorkers)
	ticker := time.NewTicker(orderInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case result := <-results:
			d.finish(ctx, l, reconciler, result)
			continue
		case <-ticker.C:
		}
		actions := d.tick(ctx, l, reconciler)
		for i, action := range actions {
			go d.execute(ctx, semaphore, results, action, fmt.Sprintf("%d-%d-%d", l.term, l.now(), i))
		}
	}
}

// tick asks the reconciler for the actions to start now.
func (d *orderDriver) tick(ctx context.Context, l *leadership, reconciler *reconcile.Reconciler) []reconcile.Action {
	token := func() (uint64, error) { return l.issueFence(ctx) }
	if reconciler.NeedsToken(d.state.Fence()) {
		if _, err := token(); err != nil {
			d.logger.Info("issuing a fencing token failed", "error", err)
		}
	}
	actions, err := reconciler.Tick(l.now(), d.engines(), token)
	if err != nil && ctx.Err() == nil {
		d.logger.Info("no orders sent: issuing a fencing token failed", "error", err)
	}
	return actions
}

// issueFence has the log issue a new fencing token.
func (l *leadership) issueFence(ctx context.Context) (uint64, error) {
	data, err := contract.EncodeIssueFence(l.logTime())
	result, err := propose(ctx, l.log, data, err)
	if err != nil {
		return 0, err
	}
	return result.Fence, nil
}

// engines returns the live engines, each with its pending order. Both depend only on the
// configuration, so they are computed once per revision.
func (d *orderDriver) engines() []reconcile.Endpoint {
	configuration := d.state.Configuration()
	if d.cached == nil || d.revision != configuration.GetRevision() {
		d.revision = configuration.GetRevision()
		d.cached = d.listEngines(configuration)
	}
	return d.cached
}

func (d *orderDriver) listEngines(configuration *fleetv1.Configuration) []reconcile.Endpoint {
	wanted := map[string]*agentv1.OrderRequest{}
	for _, order := range d.state.Orders() {
		wanted[order.Request.GetEndpoint()] = order.Request
	}
	engines := []reconcile.Endpoint{}
	for _, endpoint := range configuration.GetEndpoints() {
		gated := endpoint.GetAgentAddr() != "" && endpoint.GetRole() != endpoints.RoleRank
		if !gated || !endpoint.GetLive() || endpoint.GetKind() != fleetv1.EndpointKind_ENDPOINT_KIND_ENGINE {
			continue
		}
		engines = append(engines, reconcile.Endpoint{
			ID:          endpoint.GetId(),
			Pool:        endpoint.GetPool(),
			Addr:        endpoint.GetAgentAddr(),
			Incarnation: endpoint.GetIncarnation(),
			Order:       wanted[endpoint.GetId()],
		})
	}
	return engines
}

// execute carries out one action.
func (d *orderDriver) execute(ctx context.Context, semaphore chan struct{}, results chan<- orderResult, action reconcile.Action, orderID string) {
	select {
	case semaphore <- struct{}{}:
		defer func() { <-semaphore }()
	case <-ctx.Done():
		return
	}
	action.Request.OrderId = orderID
	response, err := d.call(ctx, action)
	select {
	case results <- orderResult{action: action, outcome: outcomeOf(err), response: response, err: err}:
	case <-ctx.Done():
	}
}

func (d *orderDriver) call(ctx context.Context, action reconcile.Action) (*agentv1.OrderResponse, error) {
	timeout := orderTimeout
	if action.ReadBack() {
		timeout = readBackTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := d.pool.Get(action.Endpoint.Addr)
	if err != nil {
		return nil, err
	}
	return agentv1.NewAgentClient(conn).Order(ctx, action.Request)
}

// outcomeOf distinguishes an order that was rejected from one that may have been carried out.
func outcomeOf(err error) reconcile.Outcome {
	if err == nil {
		return reconcile.Done
	}
	switch fault.KindOf(err) {
	case fault.Unavailable, fault.Invalid, fault.NotFound, fault.Fenced, fault.NoQuorum, fault.Leaving, fault.Overloaded, fault.Unauthenticated:
		return reconcile.NotRun
	}
	return reconcile.Interrupted
}

// finish passes a result to the reconciler and records the state that was read back.
func (d *orderDriver) finish(ctx context.Context, l *leadership, reconciler *reconcile.Reconciler, result orderResult) {
	endpoint := result.action.Endpoint
	orderOutcomes[result.outcome].Inc()
	observed := result.response.GetObserved()
	accepted := reconciler.RecordOutcome(l.now(), result.action, result.outcome, result.response.GetHighestFence())
	l.setOrderStatus(endpoint.ID, reconciler.Progress(endpoint.ID), result.err)
	if result.err != nil {
		d.logger.Warn("order to an endpoint failed", "endpoint", endpoint.ID,
			"kind", result.action.Request.GetKind().String(), "error", result.err)
	}
	// The recorded state of an endpoint is in part the wanted state, so a read-back that
	// matches it is skipped only if no order is pending.
	if !accepted || observed == nil || endpoint.Order == nil && d.matchesState(observed) {
		return
	}
	ref := contract.AgentRef{Name: observed.GetAgent(), Incarnation: endpoint.Incarnation}
	if known := d.state.Endpoint(endpoint.ID); known != nil {
		ref.Name = known.GetAgent()
	}
	data, err := contract.EncodeObserved(l.logTime(), ref, observed)
	if _, err = propose(ctx, d.log, data, err); err != nil && ctx.Err() == nil {
		d.logger.Warn("recording a read-back failed", "endpoint", endpoint.ID, "error", err)
	}
}

// matchesState reports whether the replicated state already has what was read back.
func (d *orderDriver) matchesState(observed *fleetv1.Endpoint) bool {
	known := d.state.Endpoint(observed.GetId())
	if known == nil {
		return true
	}
	adapters := slices.Sorted(slices.Values(observed.GetAdapters()))
	return known.GetModel() == observed.GetModel() && known.GetVersion() == observed.GetVersion() &&
		known.GetRole() == observed.GetRole() && slices.Equal(known.GetAdapters(), adapters)
}
