package expertmap

import (
	"log/slog"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/balance"
)

// Balancing proposes maps by one balance.Balancer for each group. Operators set
// the policies of the groups; a change of one starts its balancer anew.
type Balancing struct {
	// Configs of the groups, without what a policy says.
	Configs map[string]balance.Config
	// Policy returns the present policy of a group, or nil.
	Policy func(group string) *fleetv1.BalancePolicy
	// Logger must be set.
	Logger *slog.Logger

	groups map[string]*balanced
}

// balanced is one group.
type balanced struct {
	balancer *balance.Balancer
	config   balance.Config
	policy   uint64
	counts   counts
	// asked is when the balancer was last asked; decision what it last proposed
	// and from which map.
	asked    time.Duration
	decision *balance.Decision
	from     group.Map
}

// Observe implements Proposer.
func (b *Balancing) Observe(_ time.Duration, load *agentv1.ExpertLoad) {
	g := b.group(load.GetGroup())
	if g == nil {
		return
	}
	g.counts.add(g.config.Shape, load)
}

// Switched implements Proposer. What a switch costs is a setting of these groups, whose
// ranks ask for each step.
func (b *Balancing) Switched(time.Duration, string, time.Duration) {}

// Propose implements Proposer.
func (b *Balancing) Propose(now time.Duration, name string, current group.Map) (next group.Map, ok bool) {
	g := b.group(name)
	if g == nil || now-g.asked < g.config.Interval {
		return group.Map{}, false
	}
	g.asked = now
	g.noticeSwitch(current)
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
	g.decision, g.from = &decision, current
	b.Logger.Info("switching an expert map", "group", name, "moves", decision.Moves,
		"saving_s_per_step", decision.Saving, "gain_s", decision.Gain, "cost_s", decision.Cost)
	return decision.Map, true
}

// noticeSwitch notifies the balancer once the map that it proposed is in force.
func (g *balanced) noticeSwitch(current group.Map) {
	if g.decision == nil {
		return
	}
	if g.decision.Map.Digest() == current.Digest() {
		g.balancer.RecordSwitch(g.from, *g.decision)
	}
	g.decision = nil
}

// group returns the balancer of a group that has a policy, else nil.
func (b *Balancing) group(name string) *balanced {
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
		b.Logger.Error("a group cannot be balanced", "group", name, "error", err)
		return nil
	}
	if b.groups == nil {
		b.groups = map[string]*balanced{}
	}
	g := &balanced{balancer: balancer, config: config, policy: policy.GetRevision(), counts: newCounts(config.Shape)}
	b.groups[name] = g
	return g
}
