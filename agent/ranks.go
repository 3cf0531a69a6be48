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

// pollsPerExpertRead is the ratio of the interval between reads of the expert counts to the poll
// interval. The expert counts are larger than the load figures and so are read less often.
const pollsPerExpertRead = 5

// newRanks returns the Ranks of the endpoints that are ranks of a group.
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
		StepsAhead:     s.StepsAhead,
		ExpertInterval: pollsPerExpertRead * s.PollInterval,
		Logger:         logger,
	})
}

// mapReader implements ranks.Control by requests to the control leader.
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

// rankEngines implements ranks.Engines by requests to the engines that are ranks.
type rankEngines struct {
	orderer  *orderer
	controls *controls
}

// LoadMap implements ranks.Engines. The order is sent with the highest fencing token that the agent
// knows, if that is higher than the coordinator's: a leader issues further tokens during its term, and
// an engine may have seen one of them. If the engine rejects the order because it has seen a still
// higher token, LoadMap reads the token from a quorum and sends the order once more.
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

// ReadExperts implements ranks.Engines.
func (e rankEngines) ReadExperts(ctx context.Context, endpoint string) (engineapi.ExpertCounts, error) {
	var experts engineapi.ExpertCounts
	status, err := e.orderer.client.exchange(ctx, http.MethodGet, e.orderer.targets[endpoint].endpoint, engineapi.PathExperts, nil, &experts)
	if err == nil && status != http.StatusOK {
		err = fault.Newf(fault.Unavailable, "use an engine that serves its expert counts at /experts",
			"endpoint %q answered the request for its expert counts with status %d", endpoint, status)
	}
	return experts, err
}
