package agent

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lilackeel/lilackeel/agent/engineapi"
	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// orderKinds maps the kinds of order to their names in package engineapi.
var orderKinds = map[agentv1.OrderKind]string{
	agentv1.OrderKind_ORDER_KIND_LOAD_MODEL:     engineapi.OrderLoadModel,
	agentv1.OrderKind_ORDER_KIND_LOAD_ADAPTER:   engineapi.OrderLoadAdapter,
	agentv1.OrderKind_ORDER_KIND_UNLOAD_ADAPTER: engineapi.OrderUnloadAdapter,
	agentv1.OrderKind_ORDER_KIND_CHANGE_ROLE:    engineapi.OrderChangeRole,
}

// orderer carries out orders, one at a time per endpoint, so that no order with a lower fencing token
// is carried out after one with a higher token.
type orderer struct {
	settings   *Settings
	lockedGate *lockedGate
	client     *endpointClient
	loaded     *loadedState
	logger     *slog.Logger
	targets    map[string]*orderTarget
}

// orderTarget is an endpoint that receives orders. Its mutex is held while an order is carried out.
type orderTarget struct {
	sync.Mutex
	endpoint Endpoint
}

func newOrderer(s *Settings, g *lockedGate, c *endpointClient, l *loadedState, logger *slog.Logger) *orderer {
	targets := make(map[string]*orderTarget, len(s.Endpoints))
	for _, e := range s.Endpoints {
		targets[e.ID] = &orderTarget{endpoint: e}
	}
	return &orderer{settings: s, lockedGate: g, client: c, loaded: l, logger: logger, targets: targets}
}

// order carries out an order and reads back the state of the endpoint. It goes on when its sender
// disconnects, since a canceled order may still take effect.
func (o *orderer) order(ctx context.Context, request *agentv1.OrderRequest) (*agentv1.OrderResponse, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.settings.OrderLimit)
	defer cancel()
	response, err := o.execute(ctx, request)
	outcome := "done"
	if err != nil {
		outcome = string(fault.KindOf(err))
	}
	metrics.GetOrCreateCounter(`lilackeel_agent_orders_total{outcome="` + outcome + `"}`).Inc()
	o.logger.InfoContext(ctx, "order", slog.String("order", request.GetOrderId()), slog.String("endpoint", request.GetEndpoint()),
		slog.String("kind", request.GetKind().String()), slog.Uint64("fence", request.GetFence()), slog.String("outcome", outcome))
	return response, err
}

func (o *orderer) execute(ctx context.Context, request *agentv1.OrderRequest) (*agentv1.OrderResponse, error) {
	target := o.targets[request.GetEndpoint()]
	if target == nil {
		return nil, o.lockedGate.admitOrder(request)
	}
	target.Lock()
	defer target.Unlock()
	if err := o.lockedGate.admitOrder(request); err != nil {
		return nil, err
	}
	if target.endpoint.Kind != KindEngine {
		return nil, fault.Newf(fault.Invalid, "send orders to engines only", "endpoint %q is not an engine", target.endpoint.ID)
	}
	if request.GetKind() != agentv1.OrderKind_ORDER_KIND_READ_BACK {
		if err := o.send(ctx, target.endpoint, request); err != nil {
			return nil, err
		}
	}
	return o.readBack(ctx, target.endpoint)
}

func (o *orderer) send(ctx context.Context, e Endpoint, request *agentv1.OrderRequest) error {
	kind, known := orderKinds[request.GetKind()]
	if !known {
		return fault.Newf(fault.Invalid, "upgrade the agent", "unknown kind of order %v", request.GetKind())
	}
	order := engineapi.Order{
		ID: request.GetOrderId(), Kind: kind,
		Model: request.GetModel(), Version: request.GetVersion(),
		Adapter: request.GetAdapter(), Role: request.GetRole(),
		Fence: request.GetFence(),
	}
	return o.post(ctx, e, order)
}

// post sends an order to an engine and converts its response to an error.
func (o *orderer) post(ctx context.Context, e Endpoint, order engineapi.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return fault.New(fault.Internal, "the order cannot be encoded", "report this as a bug").WithCause(err)
	}
	status, err := o.client.exchange(ctx, http.MethodPost, e, engineapi.PathOrders, body, nil)
	var notSent notSentError
	switch {
	case errors.As(err, &notSent):
		return notSent.cause
	case err != nil:
		return fault.Newf(fault.Unknown, "read back the endpoint's state before retrying the order",
			"endpoint %q may have carried out the order", e.ID).WithCause(err)
	case status == http.StatusConflict:
		return fault.Newf(fault.Fenced, "only the current control leader may send orders; read the control state again",
			"endpoint %q has seen a fencing token higher than %d", e.ID, order.Fence)
	case status >= http.StatusInternalServerError:
		return fault.Newf(fault.Unknown, "read back the endpoint's state before retrying the order",
			"endpoint %q answered the order with status %d", e.ID, status)
	case status != http.StatusOK:
		return fault.Newf(fault.Invalid, "correct the order", "endpoint %q answered the order with status %d", e.ID, status)
	}
	return nil
}

func (o *orderer) readBack(ctx context.Context, e Endpoint) (*agentv1.OrderResponse, error) {
	_, status, err := o.client.readLoaded(ctx, e, o.loaded)
	if err != nil || status != http.StatusOK {
		return nil, fault.Newf(fault.Unknown, "retry the read-back",
			"the state of endpoint %q cannot be read back (status %d)", e.ID, status).WithCause(err)
	}
	observed := e.toProto(o.settings)
	observed.Incarnation = o.lockedGate.incarnation()
	observed.State = fleetv1.EndpointState_ENDPOINT_STATE_UNSPECIFIED
	o.loaded.apply(observed)
	highest, _ := o.lockedGate.fence()
	return &agentv1.OrderResponse{Observed: observed, HighestFence: highest}, nil
}
