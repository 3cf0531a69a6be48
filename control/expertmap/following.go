package expertmap

import (
	"log/slog"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/balance"
)

// Following proposes maps by one balance.Follower for each group whose demand
// shifts within seconds.
type Following struct {
	// Config returns the settings of a group; ok is false for one that is not
	// followed.
	Config func(group string) (config balance.FollowConfig, ok bool)
	// Pause returns the longest pause that the streams of a group are held to; nil, or
	// zero, for none.
	Pause func(group string) time.Duration
	// Interval is the time between two observations.
	Interval time.Duration
	// Logger must be set.
	Logger *slog.Logger

	groups map[string]*followed
}

// followed is one group.
type followed struct {
	follower *balance.Follower
	shape    group.Shape
	totals   *totals
	// observed is when the follower last got the demand, fresh is true until
	// a decision has been made on it.
	observed time.Duration
	fresh    bool
	// spell is how long demand stays.
	spell balance.DemandLifetime
	// stalls is what switches have cost beside their copies.
	stalls balance.StallEstimator
	// pace is how long the passes take, step the furthest that was counted.
	pace balance.StepTimeEstimator
	step uint64
}

// Observe implements Proposer. Demand is followed during a switch as well, so that the next
// decision is made on what was seen last.
func (f *Following) Observe(now time.Duration, load *agentv1.ExpertLoad) {
	g := f.group(load.GetGroup())
	if g == nil {
		return
	}
	g.totals.add(now, load)
	g.step = max(g.step, load.GetToStep())
	if now-g.observed < f.Interval/2 || !g.totals.enough(now, f.Interval) {
		return
	}
	g.observed, g.fresh = now, true
	g.follower.Observe(g.totals.tokens)
	g.totals = newTotals(g.shape)
	if g.follower.Jumped() {
		g.spell.RecordJump(now)
	}
}

// Switched implements Proposer.
func (f *Following) Switched(now time.Duration, name string, waited time.Duration) {
	if g := f.group(name); g != nil {
		g.stalls.RecordSwitch(now, waited)
	}
}

// Propose implements Proposer.
func (f *Following) Propose(now time.Duration, name string, current group.Map) (next group.Map, ok bool) {
	g := f.group(name)
	if g == nil || !g.fresh {
		return group.Map{}, false
	}
	g.fresh = false
	g.pace.Observe(now, g.step, g.follower.RelativeStepTime(current))
	g.follower.SetStepTime(g.pace.UnitTime(), f.pause(name))
	g.follower.SetLifetime(g.spell.Remaining(now).Seconds())
	// A held step harms the streams that are in time, and no others: while all are late by
	// the map in force, nothing is lost by a switch that may be held.
	harmed := 1 - balance.LateShare(g.pass(current), f.pause(name))
	g.follower.SetStall(g.stalls.ExpectedCost(now).Seconds() * harmed)
	decision := g.follower.Decide(current)
	if !decision.Switch {
		return group.Map{}, false
	}
	f.Logger.Info("switching an expert map", slog.String("group", name),
		slog.Float64("skew", g.follower.Skew(current)), slog.Float64("expected", g.follower.Skew(decision.Map)), slog.Int("moves", decision.Moves),
		slog.Float64("saving", decision.Saving), slog.Duration("pass", g.pass(current)),
		slog.Float64("gain_s", decision.Gain), slog.Float64("cost_s", decision.Cost))
	return decision.Map, true
}

func (f *Following) pause(name string) time.Duration {
	if f.Pause == nil {
		return 0
	}
	return f.Pause(name)
}

// pass is how long a pass takes under a map; zero if that is not known.
func (g *followed) pass(m group.Map) time.Duration {
	return time.Duration(g.follower.RelativeStepTime(m) * float64(g.pace.UnitTime()))
}

// group returns the follower of a group, made at the first look.
func (f *Following) group(name string) *followed {
	if g := f.groups[name]; g != nil {
		return g
	}
	config, ok := f.Config(name)
	if !ok {
		return nil
	}
	if f.groups == nil {
		f.groups = map[string]*followed{}
	}
	g := &followed{follower: balance.NewFollower(config), shape: config.Shape, totals: newTotals(config.Shape)}
	f.groups[name] = g
	return g
}
