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
	// orderInterval is the time between two looks at what is wanted.
	orderInterval = 200 * time.Millisecond
	// orderWorkers bounds the calls to agents at the same time.
	orderWorkers = 32
	// orderTimeout is longer than an agent gives an endpoint for an order.
	orderTimeout = 6 * time.Minute
	// readBackTimeout bounds a reading; it also waits for an order under way.
	readBackTimeout = 10 * time.Second
)

// orderDriver brings the engines to what is accepted: in each term that this
// replica leads it sends the orders that a reconcile.Reconciler decides on.
type orderDriver struct {
	state  *contract.State
	log    Log
	pool   *link.Pool
	limits reconcile.Limits
	logger *slog.Logger

	// listed are the engines at the revision. Only drive touches them.
	listed   []reconcile.Endpoint
	revision uint64
}

// orderResult is how an action ended.
type orderResult struct {
	action   reconcile.Action
	outcome  reconcile.Outcome
	response *agentv1.OrderResponse
	err      error
}

// drive runs until ctx ends. What is under way then is abandoned: the agents
// carry it out or not, and the next leader reads the endpoints back.
func (c *orderDriver) drive(ctx context.Context, l *leadership) {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	reconciler := reconcile.New(c.limits, rng, l.fence)
	ended := make(chan orderResult, orderWorkers)
	workers := make(chan struct{}, orderWorkers)
	ticker := time.NewTicker(orderInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case result := <-ended:
			c.end(ctx, l, reconciler, result)
			continue
		case <-ticker.C:
		}
		actions := c.tick(ctx, l, reconciler)
		for i, action := range actions {
			go c.work(ctx, workers, ended, action, fmt.Sprintf("%d-%d-%d", l.term, l.now(), i))
		}
	}
}

// tick asks the reconciler what to begin now.
func (c *orderDriver) tick(ctx context.Context, l *leadership, reconciler *reconcile.Reconciler) []reconcile.Action {
	token := func() (uint64, error) { return l.issueFence(ctx) }
	if reconciler.NeedsToken(c.state.Fence()) {
		if _, err := token(); err != nil {
			c.logger.Info("no fencing token was given out", "error", err)
		}
	}
	actions, err := reconciler.Tick(l.now(), c.engines(), token)
	if err != nil && ctx.Err() == nil {
		c.logger.Info("no orders were sent", "error", err)
	}
	return actions
}

// issueFence lets the log give out a new fencing token.
func (l *leadership) issueFence(ctx context.Context) (uint64, error) {
	data, err := contract.EncodeIssueFence(l.logTime())
	result, err := propose(ctx, l.log, data, err)
	if err != nil {
		return 0, err
	}
	return result.Fence, nil
}

// engines lists the live engines with what the state wants of each. Both follow
// from the configuration, so that they are worked out once for each revision.
func (c *orderDriver) engines() []reconcile.Endpoint {
	configuration := c.state.Configuration()
	if c.listed == nil || c.revision != configuration.GetRevision() {
		c.revision = configuration.GetRevision()
		c.listed = c.list(configuration)
	}
	return c.listed
}

func (c *orderDriver) list(configuration *fleetv1.Configuration) []reconcile.Endpoint {
	wanted := map[string]*agentv1.OrderRequest{}
	for _, order := range c.state.Orders() {
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

// work carries one action out.
func (c *orderDriver) work(ctx context.Context, workers chan struct{}, ended chan<- orderResult, action reconcile.Action, orderID string) {
	select {
	case workers <- struct{}{}:
		defer func() { <-workers }()
	case <-ctx.Done():
		return
	}
	action.Request.OrderId = orderID
	response, err := c.call(ctx, action)
	select {
	case ended <- orderResult{action: action, outcome: outcomeOf(err), response: response, err: err}:
	case <-ctx.Done():
	}
}

func (c *orderDriver) call(ctx context.Context, action reconcile.Action) (*agentv1.OrderResponse, error) {
	timeout := orderTimeout
	if action.ReadBack() {
		timeout = readBackTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := c.pool.Get(action.Endpoint.Addr)
	if err != nil {
		return nil, err
	}
	return agentv1.NewAgentClient(conn).Order(ctx, action.Request)
}

// outcomeOf tells a refused order from one that may have been carried out.
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

// end records what was read back.
func (c *orderDriver) end(ctx context.Context, l *leadership, reconciler *reconcile.Reconciler, result orderResult) {
	endpoint := result.action.Endpoint
	orderOutcomes[result.outcome].Inc()
	observed := result.response.GetObserved()
	record := reconciler.RecordOutcome(l.now(), result.action, result.outcome, result.response.GetHighestFence())
	l.note(endpoint.ID, reconciler.Progress(endpoint.ID), result.err)
	if result.err != nil {
		c.logger.Warn("an endpoint did not take an order", "endpoint", endpoint.ID,
			"kind", result.action.Request.GetKind().String(), "error", result.err)
	}
	// What the state shows of an endpoint is partly what operators want of it, so
	// a reading is left out only when nothing is wanted.
	if !record || observed == nil || endpoint.Order == nil && c.recorded(observed) {
		return
	}
	ref := contract.AgentRef{Name: observed.GetAgent(), Incarnation: endpoint.Incarnation}
	if known := c.state.Endpoint(endpoint.ID); known != nil {
		ref.Name = known.GetAgent()
	}
	data, err := contract.EncodeObserved(l.logTime(), ref, observed)
	if _, err = propose(ctx, c.log, data, err); err != nil && ctx.Err() == nil {
		c.logger.Warn("recording a reading failed", "endpoint", endpoint.ID, "error", err)
	}
}

// recorded reports whether the state already says what was read back.
func (c *orderDriver) recorded(observed *fleetv1.Endpoint) bool {
	known := c.state.Endpoint(observed.GetId())
	if known == nil {
		return true
	}
	adapters := slices.Sorted(slices.Values(observed.GetAdapters()))
	return known.GetModel() == observed.GetModel() && known.GetVersion() == observed.GetVersion() &&
		known.GetRole() == observed.GetRole() && slices.Equal(known.GetAdapters(), adapters)
}
