package agent

import (
	"context"
	"log/slog"
	"net/http"

	"github.com/lilackeel/lilackeel/agent/engineapi"
	"github.com/lilackeel/lilackeel/agent/ranks"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// pollsPerCount is how many polls of an engine's load there are for one reading
// of what its experts have handled, which is larger.
const pollsPerCount = 5

// newRanks returns the machines of the endpoints that are ranks of a group.
func newRanks(s *Settings, c *controls, o *orderer, logger *slog.Logger) *ranks.Ranks {
	var members []ranks.Member
	for _, e := range s.Endpoints {
		if e.Kind == KindEngine && e.Group != "" {
			members = append(members, ranks.Member{Group: e.Group, Rank: int(e.Rank), Endpoint: e.ID})
		}
	}
	return ranks.New(ranks.Config{
		Members:        members,
		Control:        mapReader{c},
		Engines:        rankEngines{orderer: o, controls: c},
		Ahead:          s.StepsAhead,
		ExpertInterval: pollsPerCount * s.PollInterval,
		Logger:         logger,
	})
}

// mapReader reads the records of expert maps from the control leader.
type mapReader struct{ controls *controls }

// ReadMap implements ranks.Control.
func (r mapReader) ReadMap(ctx context.Context, group string) (record *fleetv1.MapRecord, fence uint64, err error) {
	err = r.controls.Call(ctx, func(ctx context.Context, client controlv1.ControlClient) error {
		response, err := client.ReadMap(ctx, &controlv1.ReadMapRequest{Group: group})
		record, fence = response.GetRecord(), response.GetFence()
		return err
	})
	return record, fence, err
}

// rankEngines gives orders to the engines that are ranks.
type rankEngines struct {
	orderer  *orderer
	controls *controls
}

// LoadMap implements ranks.Engines. The order goes out with the highest fencing
// token that the agent knows, if that is higher than the coordinator's: a leader
// draws further tokens in its term, and an engine may have seen one. An engine
// that knows a higher one yet makes the agent ask a quorum.
func (e rankEngines) LoadMap(ctx context.Context, endpoint string, order engineapi.Order) error {
	err := e.loadOnce(ctx, endpoint, order)
	if fault.Is(err, fault.Fenced) {
		e.controls.learnFence(ctx, e.orderer.lockedGate)
		err = e.loadOnce(ctx, endpoint, order)
	}
	return err
}

func (e rankEngines) loadOnce(ctx context.Context, endpoint string, order engineapi.Order) error {
	ctx, cancel := context.WithTimeout(ctx, e.orderer.settings.OrderLimit)
	defer cancel()
	target := e.orderer.targets[endpoint]
	target.Lock()
	defer target.Unlock()
	highest, known := e.orderer.lockedGate.fence()
	if !known {
		return fault.New(fault.NoQuorum, "the agent has not yet learnt the highest fencing token from a quorum",
			"wait until control replicas are reachable from the agent")
	}
	order.Fence = max(order.Fence, highest)
	e.orderer.lockedGate.raiseFence(order.Fence)
	return e.orderer.post(ctx, target.endpoint, order)
}

// Experts implements ranks.Engines.
func (e rankEngines) Experts(ctx context.Context, endpoint string) (engineapi.Experts, error) {
	var experts engineapi.Experts
	status, err := e.orderer.client.exchange(ctx, http.MethodGet, e.orderer.targets[endpoint].endpoint, engineapi.PathExperts, nil, &experts)
	if err == nil && status != http.StatusOK {
		err = fault.Newf(fault.Unavailable, "use an engine that counts what its experts handle",
			"endpoint %q answered status %d", endpoint, status)
	}
	return experts, err
}
