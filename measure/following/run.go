package following

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/balance"
)

// Policy says what a control leader does.
type Policy struct {
	Name string
	// Config is the follower's; a nil one never switches.
	Config *balance.FollowConfig
	// Interval is the time between two observations, Delay how old they are.
	Interval, Delay time.Duration
	// Blind leaves out the observations during a switch: what was counted then is
	// seen as one, at its end.
	Blind bool
	// Knowing sees the demand as it is, at once.
	Knowing bool
}

// Result is what came of a policy.
type Result struct {
	// Step is the mean time of a step over that of a group with even ranks.
	Step float64
	// Skew is the mean skew, Late the part of the time in which it is so high that
	// full ranks make their streams late.
	Skew, Late float64
	// Copies are the experts copied per second, Switches the switches.
	Copies, Switches float64
}

const (
	tick = 5 * time.Millisecond
	// overhead is the part of a switch in which nothing is copied: orders, the
	// promises, the decision.
	overhead = 90 * time.Millisecond
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
	current  group.Map
	next     group.Map
	// switchEnds is when the switch under way ends; zero for none.
	switchEnds time.Duration
	// seen adds up the demand since the last observation; past holds what was seen
	// in the delay before now.
	seen    []float64
	past    [][]float64
	noise   *rand.Rand
	copies  int
	counted int
}

// Run plays a policy for a time.
func Run(policy Policy, shape group.Shape, fixed, slow float64, seed uint64, length time.Duration) Result {
	w := &world{
		policy: policy, shape: shape, demand: newDemand(shape, rand.New(rand.NewPCG(seed, 1))), current: group.RoundRobin(shape),
		seen: make([]float64, shape.Layers*shape.Experts), noise: rand.New(rand.NewPCG(seed, 2)),
	}
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
		r.Step += step
		if skew > lateSkew {
			r.Late++
		}
		steps++
	}
	r.Step /= float64(steps)
	r.Skew /= float64(steps)
	r.Late /= float64(steps)
	r.Copies = float64(w.copies) / length.Seconds()
	r.Switches = float64(w.counted) / length.Seconds()
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
	if !due || w.policy.Blind && w.switchEnds > 0 {
		return
	}
	if w.policy.Knowing {
		w.follower.Observe(load)
	} else {
		w.follower.Observe(w.noisy())
	}
	clear(w.seen)
	if w.switchEnds > 0 {
		return
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
	w.switchEnds = now + copying + overhead
}

// count takes in what is counted now, which is known after the delay.
func (w *world) count(load []float64) {
	w.past = append(w.past, slices.Clone(load))
	if len(w.past) <= int(w.policy.Delay/tick) {
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
