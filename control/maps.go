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

// mapDriver switches the expert maps of the groups in the terms that this replica leads.
type mapDriver struct {
	state  *contract.State
	log    Log
	pool   *link.Pool
	groups expertmap.Groups
	// engine returns a client for the engine at an address that does not depend on the rank's
	// host; nil if there is no such access.
	engine func(address string) rankhost.Engine
	// copyPrice is the cost of copying one gigabyte of experts, as an equivalent amount of step
	// time.
	copyPrice time.Duration
	// regularJumps is Settings.RegularJumps.
	regularJumps bool
	logger       *slog.Logger
}

// drive runs until ctx ends, with one driver for the groups of the groups file and one for
// those formed by their ranks' announcements.
func (m *mapDriver) drive(ctx context.Context, l *leadership) {
	var drivers sync.WaitGroup
	backups := m.pool.Sibling()
	defer func() { _ = backups.Close() }()
	drivers.Go(func() { expertmap.NewDriver(m.formationsConfig(l, backups)).Run(ctx) })
	if len(m.groups.Shapes) > 0 {
		drivers.Go(func() { expertmap.NewDriver(m.fileGroupsConfig(l)).Run(ctx) })
	}
	drivers.Wait()
}

// fileGroupsConfig returns the configuration of the driver for the groups of the groups file in
// one term.
func (m *mapDriver) fileGroupsConfig(l *leadership) expertmap.Config {
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

// rescueConfig configures how the leader acts for unresponsive hosts of ranks.
func (m *mapDriver) rescueConfig() expertmap.RescueConfig {
	if m.engine == nil {
		return expertmap.RescueConfig{}
	}
	return expertmap.RescueConfig{
		Engine: func(id string) rankhost.Engine {
			if address, ok := rankhost.EngineAddr(id); ok {
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

// policy returns the accepted balancing policy of a group, or nil.
func (m *mapDriver) policy(group string) *fleetv1.BalancePolicy {
	for _, policy := range m.state.Configuration().GetPolicies() {
		if policy.GetGroup() == group {
			return policy
		}
	}
	return nil
}

// agentTransport sends messages of map switches to agents.
type agentTransport struct{ pool *link.Pool }

// Group implements expertmap.Transport.
func (t agentTransport) Group(ctx context.Context, addr string, request *agentv1.GroupRequest) (*agentv1.GroupResponse, error) {
	conn, err := t.pool.Get(addr)
	if err != nil {
		return nil, err
	}
	return agentv1.NewAgentClient(conn).Group(ctx, request)
}
