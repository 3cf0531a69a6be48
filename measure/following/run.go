package following

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/balance"
)

// Site is a group of a shape and what its engines state.
type Deployment struct {
	Name  string
	Shape group.Shape
	// Popularity is the power by which shares of experts fall with their place.
	PopularityExponent float64
	// Orders is the part of a switch in which nothing is copied.
	CoordinationTime time.Duration
	// Config is how the group is followed.
	Config balance.FollowConfig
	// Pause is the longest pause that streams are promised, and Filled the part of it that
	// a pass of even ranks takes at the present load; zero where passes are not looked at.
	MaxPause          time.Duration
	BalancedPassShare float64
}

// orderSeconds is the part of a switch in which nothing is copied, and observe and lag the
// time between two observations and their age, as measured on whole sites.
const (
	orderSeconds = 0.09
	observe      = 150 * time.Millisecond
	lag          = 80 * time.Millisecond
)

// site returns a site whose ranks copy an expert in the given seconds; fixed is the part
// of a step that no map changes.
func site(name string, shape group.Shape, popularity, copySeconds, fixed float64, spare int, orders time.Duration) Deployment {
	return Deployment{Name: name, Shape: shape, PopularityExponent: popularity, CoordinationTime: orders, Config: balance.FollowConfig{
		Shape: shape, Reach: balance.Reach{Spare: spare, Copies: 10}, Fixed: fixed, CopySeconds: copySeconds, CopySlow: 0.15,
		OrderSeconds: orderSeconds, StallSeconds: 0.005, MoveSeconds: 0.001, HoldSeconds: 2, Smoothing: 0.3, Jump: 0.12,
	}}
}

// Sites are the shapes that deployments publish: few ranks with many places, the middle,
// and large groups whose experts are small. Copy times are the bytes of an expert over the
// rate of a rank's link.
func Deployments() []Deployment {
	return []Deployment{
		site("8 ranks x 6 layers x 64 experts", group.Shape{Layers: 6, Experts: 64, Ranks: 8, Slots: 11}, 1.6, 0.148, 2.8, 4, 90*time.Millisecond),
		site("16 ranks x 4 layers x 64 experts", group.Shape{Layers: 4, Experts: 64, Ranks: 16, Slots: 5}, 1.08, 0.111, 1.2, 2, 90*time.Millisecond),
		site("32 ranks x 12 layers x 128 experts", group.Shape{Layers: 12, Experts: 128, Ranks: 32, Slots: 5}, 0.82, 0.037, 2.8, 2, 90*time.Millisecond),
	}
}

// Large is one group of 192 ranks, whose orders take some time. Popularity is such that the
// first map leaves a skew of 3.4, as on the played days, and half of the slots are taken.
func LargeDeployment(orders time.Duration) Deployment {
	return site("192 ranks x 10 layers x 384 experts", group.Shape{Layers: 10, Experts: 384, Ranks: 192, Slots: 3}, 0.43, 0.0076, 1.5, 2, orders)
}

// Bound is a planner that knows demand at once, and has to copy and to agree like any other.
func (s Deployment) OraclePolicy() Policy {
	return Policy{Name: "knowing demand at once", Config: &s.Config, Interval: 10 * time.Millisecond, Oracle: true}
}

// InForce is what the control leader does.
func (s Deployment) LeaderPolicy() Policy {
	return Policy{Name: "in force", Config: &s.Config, Interval: observe, ObservationDelay: lag, SkipDuringSwitch: true}
}

// Loaded is the site at a load: streams are promised a pause, of which a pass of even ranks
// takes a part.
func (s Deployment) WithLoad(filled float64) Deployment {
	s.MaxPause, s.BalancedPassShare = 120*time.Millisecond, filled
	return s
}

// ByPace is what the control leader does that weighs a shorter pass by the pause that is
// promised.
func (s Deployment) PauseAwarePolicy() Policy {
	p := s.LeaderPolicy()
	p.Name, p.PauseAware = "by the pace", true
	return p
}

// Policy says what a control leader does.
type Policy struct {
	Name string
	// Config is the follower's; a nil one never switches.
	Config *balance.FollowConfig
	// Interval is the time between two observations, Delay how old they are.
	Interval, ObservationDelay time.Duration
	// Blind leaves out the observations during a switch: what was counted then is
	// seen as one, at its end.
	SkipDuringSwitch bool
	// Knowing sees the demand as it is, at once.
	Oracle bool
	// Paced weighs a shorter pass by the pause that is promised.
	PauseAware bool
}

// Result is what came of a policy.
type Result struct {
	// Step is the mean time of a step over that of a group with even ranks.
	StepTime float64
	// Skew is the mean skew, Late the part of the time in which it is so high that
	// full ranks make their streams late.
	Skew, LateShare float64
	// Beyond is the part of the time in which passes take longer than the promised pause.
	OverPauseShare float64
	// Copies are the experts copied per second, Switches the switches.
	CopiesPerSecond, SwitchesPerSecond float64
}

const (
	tick = 5 * time.Millisecond
	// lateSkew is where ranks with all slots taken exceed the pause that streams are
	// held to.
	lateSkew = 2.4
)

// world is one group under a policy.
type world struct {
	policy   Policy
	shape    group.Shape
	demand   *demand
	follower *balance.Follower
	spell    balance.Spell
	current  group.Map
	next     group.Map
	// switchEnds is when the switch under way ends; zero for none.
	switchEnds time.Duration
	// seen adds up the demand since the last observation; past holds what was seen
	// in the delay before now.
	seen    []float64
	past    [][]float64
	noise   *rand.Rand
	orders  time.Duration
	copies  int
	counted int
	// unit is the time of a pass for each unit of its relative time, passed the passes so
	// far, pace what the leader knows of both.
	unit   time.Duration
	passed float64
	pace   balance.Pace
	pause  time.Duration
}

// Run plays a policy for a time.
func Run(policy Policy, site Deployment, seed uint64, length time.Duration) Result {
	shape, fixed, slow := site.Shape, site.Config.Fixed, site.Config.CopySlow
	w := &world{
		policy: policy, shape: shape, demand: newDemand(shape, site.PopularityExponent, rand.New(rand.NewPCG(seed, 1))), current: group.RoundRobin(shape),
		seen: make([]float64, shape.Layers*shape.Experts), noise: rand.New(rand.NewPCG(seed, 2)), orders: site.CoordinationTime,
	}
	w.unit, w.pause = time.Duration(site.BalancedPassShare*float64(site.MaxPause)/(fixed+1)), site.MaxPause
	if policy.Config != nil {
		w.follower = balance.NewFollower(*policy.Config)
	}
	cost := make([]float64, shape.Ranks)
	for i := range cost {
		cost[i] = 1
	}
	var r Result
	steps := 0
	for now := time.Duration(0); now < length; now += tick {
		load := w.demand.advance(now)
		w.look(now, load)
		busiest, mean := balance.StepLoad(shape, w.current, load, cost)
		skew := busiest / mean
		r.Skew += skew
		step := (fixed + skew) / (fixed + 1)
		if w.switchEnds > 0 {
			step *= 1 + slow
		}
		r.StepTime += step
		pass := time.Duration(step * (fixed + 1) * float64(w.unit))
		if pass > site.MaxPause {
			r.OverPauseShare++
		}
		w.passed += float64(tick) / float64(max(pass, tick))
		if skew > lateSkew {
			r.LateShare++
		}
		steps++
	}
	r.StepTime /= float64(steps)
	r.Skew /= float64(steps)
	r.LateShare /= float64(steps)
	r.OverPauseShare /= float64(steps)
	r.CopiesPerSecond = float64(w.copies) / length.Seconds()
	r.SwitchesPerSecond = float64(w.counted) / length.Seconds()
	return r
}

// look is one tick of the control leader.
func (w *world) look(now time.Duration, load []float64) {
	if w.follower == nil {
		return
	}
	w.count(load)
	if w.switchEnds > 0 && now >= w.switchEnds {
		w.current, w.switchEnds = w.next, 0
	}
	due := now%w.policy.Interval == 0 && now > 0
	if !due || w.policy.SkipDuringSwitch && w.switchEnds > 0 {
		return
	}
	if w.policy.Oracle {
		w.follower.Observe(load)
	} else {
		w.follower.Observe(w.noisy())
	}
	clear(w.seen)
	if w.switchEnds > 0 {
		return
	}
	if w.follower.Jumped() {
		w.spell.Jumped(now)
	}
	w.follower.SetHold(w.spell.Left(now).Seconds())
	if w.policy.PauseAware {
		w.pace.Counted(now, uint64(w.passed), w.follower.Relative(w.current))
		w.follower.SetPace(w.pace.Unit(), w.pause)
	}
	decision := w.follower.Decide(w.current)
	if !decision.Switch {
		return
	}
	moves := group.Moves(w.current, decision.Map)
	w.copies += decision.Moves
	w.counted++
	w.next = decision.Map
	copying := time.Duration(float64(slices.Max(moves)) * w.policy.Config.CopySeconds * float64(time.Second))
	w.switchEnds = now + copying + w.orders
}

// count takes in what is counted now, which is known after the delay.
func (w *world) count(load []float64) {
	w.past = append(w.past, slices.Clone(load))
	if len(w.past) <= int(w.policy.ObservationDelay/tick) {
		return
	}
	for i, tokens := range w.past[0] {
		w.seen[i] += tokens
	}
	w.past = w.past[1:]
}

// picksPerSecond is how many choices of an expert are counted in a layer, at the
// load of a quiet day, from the scatter of its observations: an expert with 4% of
// the choices was seen with 4.0 to 5.4% of those of 150 ms.
const picksPerSecond = 16000

// noisy returns what was seen, with the scatter of counts.
func (w *world) noisy() []float64 {
	seen := slices.Clone(w.seen)
	experts := w.shape.Experts
	for first := 0; first < len(seen); first += experts {
		var sum float64
		for _, tokens := range seen[first : first+experts] {
			sum += tokens
		}
		picks := sum * tick.Seconds() * picksPerSecond
		for i := first; i < first+experts && sum > 0; i++ {
			share := seen[i] / sum
			seen[i] = max(0, sum*(share+math.Sqrt(share/picks)*w.noise.NormFloat64()))
		}
	}
	return seen
}
