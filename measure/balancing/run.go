package balancing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/balance"
)

// Result holds the figures of one policy on one workload.
type Result struct {
	// Size, Workload and Policy name what was run.
	Size, Workload, Policy string
	// SkewP50 and SkewP99 are of the busiest rank over the mean, per step.
	SkewP50, SkewP99 float64
	// LostPercent is the time lost to skew, loading and stalls, as a share of
	// the time that balanced steps would take.
	LostPercent float64
	// Gigabytes is what was loaded from the weight store.
	Gigabytes float64
	// Switches is the number of maps switched to.
	Switches int
}

// trial runs one policy through one workload.
type trial struct {
	workload   Workload
	shape      group.Shape
	policy     policy
	rng        *rand.Rand
	popularity *popularity
	phase      int
	moveAt     time.Duration // when the adversary moves; zero if it does not

	current group.Map
	pending group.Map
	readyAt time.Duration // zero if nothing is pending

	expected, step []float64
	late           [][]float64
	lateCost       [][]float64
	skews          []float64
	lost           float64 // seconds per second of balanced steps
	moved          int
	switches       int
}

// startMap is the map that all policies start from: the best for the first mix.
func startMap(w Workload, shape group.Shape) group.Map {
	load := make([]float64, shape.Layers*shape.Experts)
	newPopularity(w, shape, 0).load(w.weights(0), float64(tokensPerRank*shape.Ranks), load)
	m := balance.Greedy(shape, load, w.cost(shape, 0))
	return balance.Improve(shape, m, load, w.cost(shape, 0), math.MaxInt)
}

// cost returns the time a token takes on each rank at a time in minutes.
func (w Workload) cost(shape group.Shape, minute float64) []float64 {
	out := make([]float64, shape.Ranks)
	for rank := range out {
		out[rank] = 1
	}
	if s := w.SlowRank; s != nil && minute >= s.FromMinute && minute < s.ToMinute {
		out[s.Rank] = s.Factor
	}
	return out
}

// run plays the workload. The noise depends on the seed alone.
func run(w Workload, size Size, name string, p policy, seed uint64) Result {
	t := &trial{workload: w, shape: size.Shape, policy: p, rng: rand.New(rand.NewPCG(seed, 7))}
	t.popularity = newPopularity(w, size.Shape, 0)
	t.current = startMap(w, size.Shape)
	t.expected = make([]float64, size.Shape.Layers*size.Shape.Experts)
	t.step = make([]float64, len(t.expected))
	end := time.Duration(w.Minutes * float64(time.Minute))
	for now := time.Duration(0); now < end; now += tick {
		t.advance(now)
	}
	slices.Sort(t.skews)
	return Result{
		Size:        size.Name,
		Workload:    w.Name,
		Policy:      name,
		SkewP50:     t.skews[len(t.skews)/2],
		SkewP99:     t.skews[len(t.skews)*99/100],
		LostPercent: 100 * t.lost / end.Seconds(),
		Gigabytes:   float64(t.moved) * expertBytes / (1 << 30),
		Switches:    t.switches,
	}
}

func (t *trial) advance(now time.Duration) {
	t.activate(now)
	cost := t.workload.cost(t.shape, now.Minutes())
	t.popularity.load(t.workload.weights(now.Minutes()), float64(tokensPerRank*t.shape.Ranks), t.expected)
	t.measure(cost)
	t.observe(cost)
	if t.readyAt != 0 {
		t.lost += loadShare * tick.Seconds()
		return
	}
	if next, ok := t.policy.decide(now, t.current); ok {
		t.begin(now, next)
	}
}

// begin starts to load the weights of the next map.
func (t *trial) begin(now time.Duration, next group.Map) {
	moves := countMoves(t.current, next)
	t.moved += moves
	t.pending = next
	loading := time.Duration(float64(moves) * expertBytes / storeRate * float64(time.Second))
	t.readyAt = now + loading
	t.lost += float64(moves) * cachePerMove.Seconds()
}

// countMoves is the number of experts that all ranks load for the next map.
func countMoves(from, to group.Map) int {
	moves := 0
	for _, n := range group.Moves(from, to) {
		moves += n
	}
	return moves
}

// activate switches to a map whose weights are loaded, and lets the adversary
// move.
func (t *trial) activate(now time.Duration) {
	if t.readyAt != 0 && now >= t.readyAt {
		from := t.current
		t.current, t.readyAt = t.pending, 0
		t.switches++
		t.lost += switchStall.Seconds()
		t.policy.switched(from)
		if t.workload.ShiftsAfterSwitch {
			t.moveAt = now + 2*tick
		}
	}
	if t.moveAt != 0 && now >= t.moveAt {
		t.moveAt = 0
		t.phase++
		t.popularity = newPopularity(t.workload, t.shape, t.phase)
	}
}

// measure draws steps and adds up their skew and the time it loses.
func (t *trial) measure(cost []float64) {
	for range stepsPerTick {
		for i, tokens := range t.expected {
			t.step[i] = max(0, tokens+math.Sqrt(dispersion*tokens)*t.rng.NormFloat64())
		}
		busiest, mean := balance.StepLoad(t.shape, t.current, t.step, cost)
		t.skews = append(t.skews, busiest/mean)
		lost := (busiest - mean) * tokenTime(t.shape) / stepTime.Seconds()
		t.lost += lost * tick.Seconds() / stepsPerTick
	}
}

// observe hands the policy the counters of some ticks ago, with errors.
func (t *trial) observe(cost []float64) {
	seen := make([]float64, len(t.expected))
	for i, tokens := range t.expected {
		seen[i] = max(0, tokens*(1+counterNoise*t.rng.NormFloat64()))
	}
	t.late = append(t.late, seen)
	t.lateCost = append(t.lateCost, cost)
	if len(t.late) <= lagTicks {
		return
	}
	t.policy.observe(t.late[0], t.lateCost[0])
	t.late, t.lateCost = t.late[1:], t.lateCost[1:]
}
