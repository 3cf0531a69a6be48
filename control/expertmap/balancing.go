package expertmap

import (
	"log/slog"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/balance"
)

// BalancingProposer proposes maps with one balance.Balancer for each group. Operators set the
// policies of the groups; a change of a group's policy resets its balancer.
type BalancingProposer struct {
	// Configs are the balancer configurations of the groups, before policies are applied.
	Configs map[string]balance.Config
	// Policy returns the current policy of a group, or nil.
	Policy func(group string) *fleetv1.BalancePolicy
	// Logger must be set.
	Logger *slog.Logger

	groups map[string]*balancerState
}

// balancerState is the balancer of one group.
type balancerState struct {
	balancer *balance.Balancer
	config   balance.Config
	policy   uint64
	counts   counts
	// decidedAt is when the balancer was last asked for a decision; decision is the last
	// switch that it proposed and base the map that it started from.
	decidedAt time.Duration
	decision  *balance.Decision
	base      group.Map
}

// Observe implements Proposer.
func (b *BalancingProposer) Observe(_ time.Duration, load *agentv1.ExpertLoad) {
	g := b.group(load.GetGroup())
	if g == nil {
		return
	}
	g.counts.add(g.config.Shape, load)
}

// RecordSwitch implements Proposer. It ignores the time waited: the cost of a switch is a setting
// of these groups, whose ranks request permission for each step.
func (b *BalancingProposer) RecordSwitch(time.Duration, string, time.Duration) {}

// Propose implements Proposer.
func (b *BalancingProposer) Propose(now time.Duration, name string, current group.Map) (next group.Map, ok bool) {
	g := b.group(name)
	if g == nil || now-g.decidedAt < g.config.Interval {
		return group.Map{}, false
	}
	g.decidedAt = now
	g.recordSwitch(current)
	load, complete := g.counts.mean(g.config.Shape)
	if !complete {
		return group.Map{}, false
	}
	g.counts = newCounts(g.config.Shape)
	g.balancer.Observe(load, nil)
	decision := g.balancer.Decide(current)
	if !decision.Switch {
		return group.Map{}, false
	}
	g.decision, g.base = &decision, current
	b.Logger.Info("switching an expert map", "group", name, "moves", decision.Moves,
		"saving_s_per_step", decision.Saving, "gain_s", decision.Gain, "cost_s", decision.Cost)
	return decision.Map, true
}

// recordSwitch notifies the balancer once the map that it proposed is in force.
func (g *balancerState) recordSwitch(current group.Map) {
	if g.decision == nil {
		return
	}
	if g.decision.Map.Digest() == current.Digest() {
		g.balancer.RecordSwitch(g.base, *g.decision)
	}
	g.decision = nil
}

// group returns the balancer of a group, or nil if the group has no policy.
func (b *BalancingProposer) group(name string) *balancerState {
	config, known := b.Configs[name]
	policy := b.Policy(name)
	if !known || policy == nil {
		return nil
	}
	if g := b.groups[name]; g != nil && g.policy == policy.GetRevision() {
		return g
	}
	config.Evenness = policy.GetEvenness()
	if policy.GetMaxMoves() > 0 {
		config.MaxMoves = int(policy.GetMaxMoves())
	}
	if policy.GetStoreShare() > 0 {
		config.StoreRate *= policy.GetStoreShare()
	}
	balancer, err := balance.New(config)
	if err != nil {
		b.Logger.Error("cannot create the balancer of a group", "group", name, "error", err)
		return nil
	}
	if b.groups == nil {
		b.groups = map[string]*balancerState{}
	}
	g := &balancerState{balancer: balancer, config: config, policy: policy.GetRevision(), counts: newCounts(config.Shape)}
	b.groups[name] = g
	return g
}
