package gate

import (
	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// fence is the highest fencing token seen. It is known once the highest token
// issued has been read from a quorum after this incarnation started.
type fence struct {
	known   bool
	highest uint64
}

// LearnFence records the highest token issued, as read from a quorum after this
// incarnation started. No order that needs a token is admitted before.
func (g *Gate) LearnFence(token uint64) {
	g.fence.known = true
	g.RaiseFence(token)
}

// RaiseFence records a token seen elsewhere.
func (g *Gate) RaiseFence(token uint64) {
	g.fence.highest = max(g.fence.highest, token)
}

// Fence returns the highest token seen and whether the fence is known.
func (g *Gate) Fence() (highest uint64, known bool) {
	return g.fence.highest, g.fence.known
}

// AdmitOrder decides whether an order may be sent to its endpoint. An order that
// reads back state changes nothing and needs no token.
func (g *Gate) AdmitOrder(o *agentv1.OrderRequest) error {
	if o.GetIncarnation() != g.incarnation {
		return errWrongIncarnation(g.incarnation)
	}
	if g.endpoints[o.GetEndpoint()] == nil {
		return errNoEndpoint(o.GetEndpoint())
	}
	if o.GetKind() == agentv1.OrderKind_ORDER_KIND_READ_BACK {
		return nil
	}
	if !g.fence.known {
		return fault.New(fault.NoQuorum, "the agent has not yet learnt the highest fencing token from a quorum",
			"retry the order once control replicas are reachable from the agent").RetryIn(retryAfterStale)
	}
	if o.GetFence() < g.fence.highest {
		return fault.Newf(fault.Fenced, "only the current control leader may send orders; read the control state again",
			"the order's fencing token %d is lower than %d", o.GetFence(), g.fence.highest)
	}
	g.RaiseFence(o.GetFence())
	return nil
}
