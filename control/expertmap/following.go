package expertmap

import (
	"log/slog"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/balance"
)

// FollowingProposer proposes maps for groups whose demand shifts within seconds, with one
// balance.Follower per group.
type FollowingProposer struct {
	// Config returns the follower configuration of a group; ok is false for a group that has
	// none.
	Config func(group string) (config balance.FollowConfig, ok bool)
	// MaxGap returns the longest gap between tokens promised to the streams of a group; MaxGap
	// may be nil, and zero stands for no promise.
	MaxGap func(group string) time.Duration
	// Interval is the time between two observations.
	Interval time.Duration
	// Logger must be set.
	Logger *slog.Logger

	groups map[string]*followerState
}

// followerState is the follower of one group.
type followerState struct {
	follower *balance.Follower
	shape    group.Shape
	totals   *totals
	// lastObservation is when the follower last received the demand. undecided is set from then
	// until a decision has been made on it.
	lastObservation time.Duration
	undecided       bool
	// demandLifetime estimates how long demand stays the same.
	demandLifetime balance.DemandLifetime
	// stalls estimates the cost of switches apart from their copies.
	stalls balance.StallEstimator
	// stepTime estimates the duration of a step. maxStep is the highest step counted so far.
	stepTime balance.StepTimeEstimator
	maxStep  uint64
}

// Observe implements Proposer. It follows demand during a switch as well, so that the next
// decision uses the latest observation.
func (f *FollowingProposer) Observe(now time.Duration, load *agentv1.ExpertLoad) {
	g := f.group(load.GetGroup())
	if g == nil {
		return
	}
	g.totals.add(now, load)
	g.maxStep = max(g.maxStep, load.GetToStep())
	if now-g.lastObservation < f.Interval/2 || !g.totals.sufficient(now, f.Interval) {
		return
	}
	g.lastObservation, g.undecided = now, true
	g.follower.Observe(g.totals.tokens)
	g.totals = newTotals(g.shape)
	if g.follower.Jumped() {
		g.demandLifetime.RecordJump(now)
	}
}

// RecordSwitch implements Proposer.
func (f *FollowingProposer) RecordSwitch(now time.Duration, name string, overrun time.Duration) {
	if g := f.group(name); g != nil {
		g.stalls.RecordSwitch(now, overrun)
	}
}

// Propose implements Proposer.
func (f *FollowingProposer) Propose(now time.Duration, name string, current group.Map) (next group.Map, ok bool) {
	g := f.group(name)
	if g == nil || !g.undecided {
		return group.Map{}, false
	}
	g.undecided = false
	g.stepTime.Observe(now, g.maxStep, g.follower.RelativeStepTime(current))
	g.follower.SetStepTime(g.stepTime.UnitTime(), f.maxGap(name))
	// At lower loads the copies that this saves cost less than the skew that it leaves.
	balancedStep := time.Duration(g.follower.BalancedStepTime() * float64(g.stepTime.UnitTime()))
	g.demandLifetime.Regular = balance.LateShare(balancedStep, f.maxGap(name)) > 0
	g.follower.SetLifetime(g.demandLifetime.Remaining(now).Seconds())
	// A held step delays only the streams that are on time. If all are already late with the
	// map in force, a switch that may be held costs nothing.
	onTimeShare := 1 - balance.LateShare(g.expectedStepTime(current), f.maxGap(name))
	g.follower.SetStall(g.stalls.ExpectedCost(now).Seconds() * onTimeShare)
	decision := g.follower.Decide(current)
	if !decision.Switch {
		return group.Map{}, false
	}
	f.Logger.Info("switching an expert map", slog.String("group", name),
		slog.Float64("skew", g.follower.Skew(current)), slog.Float64("expected", g.follower.Skew(decision.Map)), slog.Int("moves", decision.Moves),
		slog.Float64("saving", decision.Saving), slog.Duration("pass", g.expectedStepTime(current)),
		slog.Float64("gain_s", decision.Gain), slog.Float64("cost_s", decision.Cost))
	return decision.Map, true
}

func (f *FollowingProposer) maxGap(name string) time.Duration {
	if f.MaxGap == nil {
		return 0
	}
	return f.MaxGap(name)
}

// expectedStepTime returns the expected duration of a step with a map; zero if it is not known.
func (g *followerState) expectedStepTime(m group.Map) time.Duration {
	return time.Duration(g.follower.RelativeStepTime(m) * float64(g.stepTime.UnitTime()))
}

// group returns the follower of a group and creates it on first use. It returns nil for a group
// without a configuration.
func (f *FollowingProposer) group(name string) *followerState {
	if g := f.groups[name]; g != nil {
		return g
	}
	config, ok := f.Config(name)
	if !ok {
		return nil
	}
	if f.groups == nil {
		f.groups = map[string]*followerState{}
	}
	g := &followerState{follower: balance.NewFollower(config), shape: config.Shape, totals: newTotals(config.Shape)}
	f.groups[name] = g
	return g
}
