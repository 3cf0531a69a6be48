package control

import (
	"context"
	"log/slog"
	"sync"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/control/expertmap"
	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/rankhost"
)

// mapper switches the expert maps of the groups in the terms that this replica leads.
type mapper struct {
	state  *contract.State
	log    Log
	pool   *link.Pool
	groups expertmap.Groups
	// engine reaches an engine without its rank's host; nil where that cannot be.
	engine func(address string) rankhost.Engine
	// copyPrice is what copying a gigabyte of experts is worth, in time of a group's
	// steps.
	copyPrice time.Duration
	logger    *slog.Logger
}

// drive runs until ctx ends: one driver for the groups of the file, and one for
// those that their ranks announce.
func (m *mapper) drive(ctx context.Context, l *leadership) {
	var drivers sync.WaitGroup
	drivers.Go(func() { expertmap.NewDriver(m.formationsConfig(l)).Run(ctx) })
	if len(m.groups.Shapes) > 0 {
		drivers.Go(func() { expertmap.NewDriver(m.statedConfig(l)).Run(ctx) })
	}
	drivers.Wait()
}

// statedConfig sets up the driver of the groups of the file in one term.
func (m *mapper) statedConfig(l *leadership) expertmap.Config {
	return expertmap.Config{
		State:           m.state,
		Log:             m.log,
		Transport:       agentTransport{m.pool},
		Proposer:        &expertmap.BalancingProposer{Configs: m.groups.Configs, Policy: m.policy, Logger: m.logger},
		Shapes:          func() map[string]group.Shape { return m.groups.Shapes },
		ObserveInterval: func(name string) time.Duration { return m.groups.Configs[name].Interval },
		Token:           l.fence,
		LogTime:         l.logTime,
		Logger:          m.logger,
	}
}

// rescue says how silent hosts of ranks are stood in for.
func (m *mapper) rescue() expertmap.Rescue {
	if m.engine == nil {
		return expertmap.Rescue{}
	}
	return expertmap.Rescue{
		Engine: func(id string) rankhost.Engine {
			if address, ok := rankhost.EndpointOf(id); ok {
				return m.engine(address)
			}
			return nil
		},
		ReadRecord: func(ctx context.Context, group string) (*fleetv1.MapRecord, uint64, error) {
			if _, err := m.log.ReadIndex(ctx); err != nil {
				return nil, 0, err
			}
			record, fence := m.state.FencedMapRecord(group)
			return record, fence, nil
		},
	}
}

// policy returns the accepted policy of a group, or nil.
func (m *mapper) policy(group string) *fleetv1.BalancePolicy {
	for _, policy := range m.state.Configuration().GetPolicies() {
		if policy.GetGroup() == group {
			return policy
		}
	}
	return nil
}

// agentTransport passes messages of the switch on to agents.
type agentTransport struct{ pool *link.Pool }

// Group implements expertmap.Transport.
func (c agentTransport) Group(ctx context.Context, addr string, request *agentv1.GroupRequest) (*agentv1.GroupResponse, error) {
	conn, err := c.pool.Get(addr)
	if err != nil {
		return nil, err
	}
	return agentv1.NewAgentClient(conn).Group(ctx, request)
}
