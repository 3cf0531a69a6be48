package following

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/balance"
)

// Deployment describes a group of ranks and its engines.
type Deployment struct {
	Name  string
	Shape group.Shape
	// PopularityExponent is the exponent with which the shares of experts fall along the
	// popularity ranking.
	PopularityExponent float64
	// CoordinationTime is the part of a switch in which nothing is copied.
	CoordinationTime time.Duration
	// Config configures the follower of the group.
	Config balance.FollowConfig
	// MaxPause is the longest pause between two steps that streams are promised, and
	// BalancedPassShare the fraction of it that a pass of evenly loaded ranks takes at the
	// present load; both are zero if pass times are not simulated.
	MaxPause          time.Duration
	BalancedPassShare float64
	// Demand returns the simulated demand; nil stands for the demand of measured deployments,
	// with PopularityExponent.
	Demand func(shape group.Shape, rng *rand.Rand) Demand
	// SelectionsPerSecond is the number of expert selections counted per layer and second;
	// zero stands for selectionsPerSecond.
	SelectionsPerSecond float64
}

// Demand is simulated demand for experts.
type Demand interface {
	// advance returns the load of each expert, by layer and expert, at a time that does not
	// decrease.
	advance(now time.Duration) []float64
}

func (d Deployment) newDemand(rng *rand.Rand) Demand {
	if d.Demand != nil {
		return d.Demand(d.Shape, rng)
	}
	return newDemand(d.Shape, d.PopularityExponent, rng)
}

// Timing of the control leader, as measured on complete deployments: coordinationSeconds is
// the part of a switch in which nothing is copied, observationInterval the time between two
// observations, and observationDelay their age.
const (
	coordinationSeconds = 0.09
	observationInterval = 150 * time.Millisecond
	observationDelay    = 80 * time.Millisecond
)

// newDeployment returns a deployment whose ranks copy an expert in copySeconds. fixed is the
// part of a step that does not depend on the map, and spare the number of experts per layer
// that one switch may copy to a rank.
func newDeployment(name string, shape group.Shape, popularity, copySeconds, fixed float64, spare int, coordinationTime time.Duration) Deployment {
	return Deployment{Name: name, Shape: shape, PopularityExponent: popularity, CoordinationTime: coordinationTime, Config: balance.FollowConfig{
		Shape: shape, Limits: balance.MoveLimits{PerLayer: spare, Total: 10}, FixedRatio: fixed, CopySeconds: copySeconds, CopySlowdown: 0.15,
		CoordinationSeconds: coordinationSeconds, StallSeconds: 0.005, MoveSeconds: 0.001, LifetimeSeconds: 2, Smoothing: 0.3, JumpThreshold: 0.12,
	}}
}

// Deployments returns deployments with published shapes: few ranks with many slots each, a
// medium size, and a large group with small experts. The copy time is the size of an expert
// divided by the link rate of a rank.
func Deployments() []Deployment {
	return []Deployment{
		newDeployment("8 ranks x 6 layers x 64 experts", group.Shape{Layers: 6, Experts: 64, Ranks: 8, Slots: 11}, 1.6, 0.148, 2.8, 4, 90*time.Millisecond),
		newDeployment("16 ranks x 4 layers x 64 experts", group.Shape{Layers: 4, Experts: 64, Ranks: 16, Slots: 5}, 1.08, 0.111, 1.2, 2, 90*time.Millisecond),
		newDeployment("32 ranks x 12 layers x 128 experts", group.Shape{Layers: 12, Experts: 128, Ranks: 32, Slots: 5}, 0.82, 0.037, 2.8, 2, 90*time.Millisecond),
	}
}

// LargeDeployment returns a group of 192 ranks with the given coordination time. Its
// popularity exponent is such that the initial map leaves a skew of 3.4, as in the full
// simulated days; half of the slots are taken.
func LargeDeployment(coordinationTime time.Duration) Deployment {
	return newDeployment("192 ranks x 10 layers x 384 experts", group.Shape{Layers: 10, Experts: 384, Ranks: 192, Slots: 3}, 0.43, 0.0076, 1.5, 2, coordinationTime)
}

// OraclePolicy is the policy of a planner that knows demand without delay; its switches need
// the same copies and coordination as those of the control leader. It shows what a faster
// observation could gain at most.
func (d Deployment) OraclePolicy() Policy {
	return Policy{Name: "oracle planner", Config: &d.Config, Interval: 10 * time.Millisecond, Oracle: true}
}

// LeaderPolicy is the policy of the control leader, without regard to pauses.
func (d Deployment) LeaderPolicy() Policy {
	return Policy{Name: "control leader", Config: &d.Config, Interval: observationInterval, ObservationDelay: observationDelay, SkipDuringSwitch: true}
}

// WithLoad returns the deployment at a load at which a pass of evenly loaded ranks takes the
// given fraction of the promised pause.
func (d Deployment) WithLoad(passShare float64) Deployment {
	d.MaxPause, d.BalancedPassShare = 120*time.Millisecond, passShare
	return d
}

// PauseAwarePolicy is the policy of a control leader that values shorter passes by how close
// they are to the promised pause.
func (d Deployment) PauseAwarePolicy() Policy {
	p := d.LeaderPolicy()
	p.Name, p.PauseAware = "pause-aware leader", true
	return p
}

// Policy describes how a control leader observes demand and decides on switches.
type Policy struct {
	Name string
	// Config configures the follower; if it is nil the map is never switched.
	Config *balance.FollowConfig
	// Interval is the time between two observations, ObservationDelay their age.
	Interval, ObservationDelay time.Duration
	// SkipDuringSwitch skips observations during a switch; what was counted meanwhile is
	// observed as one sum after it.
	SkipDuringSwitch bool
	// Oracle observes the actual demand without delay or noise.
	Oracle bool
	// PauseAware values a shorter pass by how close passes are to the promised pause.
	PauseAware bool
	// RegularJumps makes use of the regularity of jumps where passes are not well within the
	// promised pause even if the ranks are evenly loaded.
	RegularJumps bool
}

// Result is the outcome of a policy.
type Result struct {
	// StepTime is the mean step time relative to that of evenly loaded ranks.
	StepTime float64
	// Skew is the mean skew, LateShare the fraction of the time in which the skew is so
	// high that ranks with all slots taken make their streams late.
	Skew, LateShare float64
	// OverPauseShare is the fraction of the time in which passes take longer than the
	// promised pause.
	OverPauseShare float64
	// CopiesPerSecond and SwitchesPerSecond are the rates of copied experts and of
	// switches.
	CopiesPerSecond, SwitchesPerSecond float64
}

const (
	// tickInterval is the time step of the simulation.
	tickInterval = 5 * time.Millisecond
	// lateSkew is the skew above which ranks with all slots taken exceed the pause that
	// streams are promised.
	lateSkew = 2.4
)

// simulation is one group under a policy.
type simulation struct {
	policy   Policy
	shape    group.Shape
	demand   Demand
	follower *balance.Follower
	spell    balance.DemandLifetime
	current  group.Map
	next     group.Map
	// switchEnd is when the switch in progress ends; zero if there is none.
	switchEnd time.Duration
	// observed is the sum of the load counted since the last observation; delayed holds
	// the counts that are not available yet, because they are younger than the
	// observation delay.
	observed []float64
	delayed  [][]float64
	noise    *rand.Rand
	// selectionsPerSecond is the number of expert selections counted per layer and second.
	selectionsPerSecond float64
	coordinationTime    time.Duration
	copies              int
	switches            int
	// timeUnit is the time of a pass per unit of relative time, passes the number of
	// passes so far, and pace the leader's estimate of the pass time.
	timeUnit time.Duration
	passes   float64
	pace     balance.StepTimeEstimator
	maxPause time.Duration
}

// Run simulates a policy for the given duration of virtual time.
func Run(policy Policy, deployment Deployment, seed uint64, duration time.Duration) Result {
	shape, fixed, copySlowdown := deployment.Shape, deployment.Config.FixedRatio, deployment.Config.CopySlowdown
	s := &simulation{
		policy: policy, shape: shape, demand: deployment.newDemand(rand.New(rand.NewPCG(seed, 1))), current: group.RoundRobin(shape),
		observed: make([]float64, shape.Layers*shape.Experts), noise: rand.New(rand.NewPCG(seed, 2)), coordinationTime: deployment.CoordinationTime,
	}
	s.selectionsPerSecond = cmp.Or(deployment.SelectionsPerSecond, selectionsPerSecond)
	s.timeUnit, s.maxPause = time.Duration(deployment.BalancedPassShare*float64(deployment.MaxPause)/(fixed+1)), deployment.MaxPause
	if policy.Config != nil {
		s.follower = balance.NewFollower(*policy.Config)
	}
	cost := make([]float64, shape.Ranks)
	for i := range cost {
		cost[i] = 1
	}
	var r Result
	steps := 0
	for now := time.Duration(0); now < duration; now += tickInterval {
		load := s.demand.advance(now)
		s.step(now, load)
		busiest, mean := balance.StepLoad(shape, s.current, load, cost)
		skew := busiest / mean
		r.Skew += skew
		stepTime := (fixed + skew) / (fixed + 1)
		if s.switchEnd > 0 {
			stepTime *= 1 + copySlowdown
		}
		r.StepTime += stepTime
		passTime := time.Duration(stepTime * (fixed + 1) * float64(s.timeUnit))
		if passTime > deployment.MaxPause {
			r.OverPauseShare++
		}
		s.passes += float64(tickInterval) / float64(max(passTime, tickInterval))
		if skew > lateSkew {
			r.LateShare++
		}
		steps++
	}
	r.StepTime /= float64(steps)
	r.Skew /= float64(steps)
	r.LateShare /= float64(steps)
	r.OverPauseShare /= float64(steps)
	r.CopiesPerSecond = float64(s.copies) / duration.Seconds()
	r.SwitchesPerSecond = float64(s.switches) / duration.Seconds()
	return r
}

// step runs one tick of the control leader.
func (s *simulation) step(now time.Duration, load []float64) {
	if s.follower == nil {
		return
	}
	s.accumulate(load)
	if s.switchEnd > 0 && now >= s.switchEnd {
		s.current, s.switchEnd = s.next, 0
	}
	due := now%s.policy.Interval == 0 && now > 0
	if !due || s.policy.SkipDuringSwitch && s.switchEnd > 0 {
		return
	}
	if s.policy.Oracle {
		s.follower.Observe(load)
	} else {
		s.follower.Observe(s.noisyObservation())
	}
	clear(s.observed)
	if s.switchEnd > 0 {
		return
	}
	if s.follower.Jumped() {
		s.spell.RecordJump(now)
	}
	balancedPass := time.Duration(s.follower.BalancedStepTime() * float64(s.pace.UnitTime()))
	s.spell.Regular = s.policy.RegularJumps && balance.LateShare(balancedPass, s.maxPause) > 0
	s.follower.SetLifetime(s.spell.Remaining(now).Seconds())
	if s.policy.PauseAware {
		s.pace.Observe(now, uint64(s.passes), s.follower.RelativeStepTime(s.current))
		s.follower.SetStepTime(s.pace.UnitTime(), s.maxPause)
	}
	decision := s.follower.Decide(s.current)
	if !decision.Switch {
		return
	}
	moves := group.Moves(s.current, decision.Map)
	s.copies += decision.Moves
	s.switches++
	s.next = decision.Map
	copying := time.Duration(float64(slices.Max(moves)) * s.policy.Config.CopySeconds * float64(time.Second))
	s.switchEnd = now + copying + s.coordinationTime
}

// accumulate records the present load, and adds to observed the load whose observation delay
// has passed.
func (s *simulation) accumulate(load []float64) {
	s.delayed = append(s.delayed, slices.Clone(load))
	if len(s.delayed) <= int(s.policy.ObservationDelay/tickInterval) {
		return
	}
	for i, tokens := range s.delayed[0] {
		s.observed[i] += tokens
	}
	s.delayed = s.delayed[1:]
}

// selectionsPerSecond is the number of expert selections counted per layer and second under
// light daily load. It is derived from the scatter of observations: an expert with 4% of the
// selections had 4.0 to 5.4% of those counted in 150 ms.
const selectionsPerSecond = 16000

// noisyObservation returns the observed load with the sampling noise of counts.
func (s *simulation) noisyObservation() []float64 {
	noisy := slices.Clone(s.observed)
	experts := s.shape.Experts
	for first := 0; first < len(noisy); first += experts {
		var sum float64
		for _, tokens := range noisy[first : first+experts] {
			sum += tokens
		}
		selections := sum * tickInterval.Seconds() * s.selectionsPerSecond
		for i := first; i < first+experts && sum > 0; i++ {
			share := noisy[i] / sum
			noisy[i] = max(0, sum*(share+math.Sqrt(share/selections)*s.noise.NormFloat64()))
		}
	}
	return noisy
}
