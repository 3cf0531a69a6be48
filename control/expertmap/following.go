package expertmap

import (
	"log/slog"
	"slices"
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
	// RegularJumps is set to expect the next change of demand after the time that earlier ones took,
	// where these were regular and the group is under high load.
	RegularJumps bool
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
	// observations is the number of observations of demand so far.
	observations int
	// speeds are the slowdowns that the ranks report, costs those in use for decisions.
	speeds *balance.RankSpeeds
	costs  []float64
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
	g.recordSpeeds(now, load)
	if g.observations > 0 && now-g.lastObservation < f.Interval/2 && !slices.Equal(g.speeds.Costs(now), g.costs) {
		// A slowdown that came after enough other ranks of the same poll.
		g.undecided = true
	}
	g.totals.add(now, load)
	g.maxStep = max(g.maxStep, load.GetToStep())
	if now-g.lastObservation < f.Interval/2 || !g.totals.sufficient(now, f.Interval) {
		return
	}
	g.lastObservation, g.undecided = now, true
	g.observations++
	g.follower.Observe(g.totals.tokens)
	g.totals = newTotals(g.shape)
	if g.follower.Jumped() {
		g.demandLifetime.RecordJump(now)
	}
}

// recordSpeeds records the slowdowns of the ranks of a load. Those without one are nominal.
func (g *followerState) recordSpeeds(now time.Duration, load *agentv1.ExpertLoad) {
	reported := load.GetSlowdowns()
	record := func(rank int32) {
		slowdown := 1.0
		for _, item := range reported {
			if item.GetRank() == rank {
				slowdown = item.GetSlowdown()
			}
		}
		g.speeds.Record(now, int(rank), slowdown)
	}
	record(load.GetRank())
	for _, rank := range load.GetMoreRanks() {
		record(rank)
	}
}

// knowsSpeeds reports whether each rank has been asked for its slowdown, if any has reported
// one. A new leader would otherwise give their shares back to the slow ranks that its first poll
// did not ask.
func (g *followerState) knowsSpeeds() bool {
	return g.observations >= pollRounds(g.shape.Ranks) || countSlow(g.costs) == 0
}

// countSlow returns the number of ranks that are not nominal.
func countSlow(costs []float64) (count int) {
	for _, cost := range costs {
		if cost != 1 {
			count++
		}
	}
	return count
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
	g.costs = g.speeds.Costs(now)
	if !g.knowsSpeeds() {
		return group.Map{}, false
	}
	g.undecided = false
	g.follower.SetRankCosts(g.costs)
	g.stepTime.Observe(now, g.maxStep, g.follower.RelativeStepTime(current))
	g.follower.SetStepTime(g.stepTime.UnitTime(), f.maxGap(name))
	// At lower loads the copies that regular jumps save cost less than the skew that they leave.
	balancedStep := time.Duration(g.follower.BalancedStepTime() * float64(g.stepTime.UnitTime()))
	g.demandLifetime.Regular = f.RegularJumps && balance.LateShare(balancedStep, f.maxGap(name)) > 0
	g.follower.SetLifetime(g.demandLifetime.Remaining(now).Seconds())
	// A held step delays only the streams that are on time. If all are already late with the
	// map in force, a switch that may be held costs nothing.
	onTimeShare := 1 - balance.LateShare(g.expectedStepTime(current), f.maxGap(name))
	g.follower.SetStall(g.stalls.ExpectedCost(now).Seconds() * onTimeShare)
	decision := g.follower.Decide(current)
	if !decision.Switch {
		return group.Map{}, false
	}
	attributes := []any{
		slog.String("group", name),
		slog.Float64("skew", g.follower.Skew(current)), slog.Float64("expected", g.follower.Skew(decision.Map)), slog.Int("moves", decision.Moves),
		slog.Float64("saving", decision.Saving), slog.Duration("pass", g.expectedStepTime(current)),
		slog.Float64("gain_s", decision.Gain), slog.Float64("cost_s", decision.Cost),
	}
	if slow := countSlow(g.costs); slow > 0 {
		attributes = append(attributes, slog.Int("slow_ranks", slow), slog.Float64("highest_cost", slices.Max(g.costs)))
	}
	f.Logger.Info("switching an expert map", attributes...)
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
	g := &followerState{follower: balance.NewFollower(config), shape: config.Shape, totals: newTotals(config.Shape), speeds: balance.NewRankSpeeds(config.Shape.Ranks)}
	f.groups[name] = g
	return g
}
