package balancing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/balance"
)

// Result is the result of one policy on one workload.
type Result struct {
	// Size, Workload and Policy are the names of what was run.
	Size, Workload, Policy string
	// SkewP50 and SkewP99 are quantiles of the skew of a step: the load of the
	// busiest rank divided by the mean load of the ranks.
	SkewP50, SkewP99 float64
	// LostPercent is the time lost to skew, weight loading and stalls, as a
	// percentage of the duration of the run with balanced steps.
	LostPercent float64
	// Gigabytes is the amount loaded from the weight store, in GiB.
	Gigabytes float64
	// Switches is the number of map switches.
	Switches int
}

// simulation is a run of one policy on one workload.
type simulation struct {
	workload   Workload
	shape      group.Shape
	policy     policy
	rng        *rand.Rand
	popularity *popularity
	phase      int
	shiftAt    time.Duration // time of the next change of popularity; zero if none is scheduled

	current group.Map
	pending group.Map
	readyAt time.Duration // time when the weights of pending are loaded; zero if no map is pending

	expectedLoad, stepLoad []float64
	delayedLoads           [][]float64
	delayedCosts           [][]float64
	skews                  []float64
	lostSeconds            float64 // lost to skew, weight loading and stalls
	loadedExperts          int
	switches               int
}

// initialMap returns the map with which all policies start, optimized for the first
// mix.
func initialMap(w Workload, shape group.Shape) group.Map {
	load := make([]float64, shape.Layers*shape.Experts)
	newPopularity(w, shape, 0).expectedLoad(w.mixAt(0), float64(tokensPerRank*shape.Ranks), load)
	m := balance.Greedy(shape, load, w.tokenCosts(shape, 0))
	return balance.Improve(shape, m, load, w.tokenCosts(shape, 0), math.MaxInt)
}

// tokenCosts returns the time per token on each rank at the given minute, relative
// to nominal.
func (w Workload) tokenCosts(shape group.Shape, minute float64) []float64 {
	costs := make([]float64, shape.Ranks)
	for rank := range costs {
		costs[rank] = 1
	}
	if s := w.SlowRank; s != nil && minute >= s.FromMinute && minute < s.ToMinute {
		costs[s.Rank] = s.Factor
	}
	return costs
}

// simulate runs the policy on the workload. The noise depends only on the seed.
func simulate(w Workload, size Size, name string, p policy, seed uint64) Result {
	s := &simulation{workload: w, shape: size.Shape, policy: p, rng: rand.New(rand.NewPCG(seed, 7))}
	s.popularity = newPopularity(w, size.Shape, 0)
	s.current = initialMap(w, size.Shape)
	s.expectedLoad = make([]float64, size.Shape.Layers*size.Shape.Experts)
	s.stepLoad = make([]float64, len(s.expectedLoad))
	end := time.Duration(w.Minutes * float64(time.Minute))
	for now := time.Duration(0); now < end; now += tick {
		s.advance(now)
	}
	slices.Sort(s.skews)
	return Result{
		Size:        size.Name,
		Workload:    w.Name,
		Policy:      name,
		SkewP50:     s.skews[len(s.skews)/2],
		SkewP99:     s.skews[len(s.skews)*99/100],
		LostPercent: 100 * s.lostSeconds / end.Seconds(),
		Gigabytes:   float64(s.loadedExperts) * expertBytes / (1 << 30),
		Switches:    s.switches,
	}
}

// advance simulates one tick.
func (s *simulation) advance(now time.Duration) {
	s.activatePending(now)
	costs := s.workload.tokenCosts(s.shape, now.Minutes())
	s.popularity.expectedLoad(s.workload.mixAt(now.Minutes()), float64(tokensPerRank*s.shape.Ranks), s.expectedLoad)
	s.sampleSteps(costs)
	s.observe(costs)
	if s.readyAt != 0 {
		s.lostSeconds += loadShare * tick.Seconds()
		return
	}
	if next, ok := s.policy.decide(now, s.current); ok {
		s.startLoading(now, next)
	}
}

// startLoading starts to load the weights of the next map.
func (s *simulation) startLoading(now time.Duration, next group.Map) {
	moves := countMoves(s.current, next)
	s.loadedExperts += moves
	s.pending = next
	loadTime := time.Duration(float64(moves) * expertBytes / storeRate * float64(time.Second))
	s.readyAt = now + loadTime
	s.lostSeconds += float64(moves) * cachePerMove.Seconds()
}

// countMoves returns the number of experts that the ranks have to load in total to
// change from one map to another.
func countMoves(from, to group.Map) int {
	moves := 0
	for _, n := range group.Moves(from, to) {
		moves += n
	}
	return moves
}

// activatePending switches to the pending map if its weights are loaded, and
// changes the popularity if a change is due.
func (s *simulation) activatePending(now time.Duration) {
	if s.readyAt != 0 && now >= s.readyAt {
		from := s.current
		s.current, s.readyAt = s.pending, 0
		s.switches++
		s.lostSeconds += switchStall.Seconds()
		s.policy.switched(from)
		if s.workload.ShiftsAfterSwitch {
			s.shiftAt = now + 2*tick
		}
	}
	if s.shiftAt != 0 && now >= s.shiftAt {
		s.shiftAt = 0
		s.phase++
		s.popularity = newPopularity(s.workload, s.shape, s.phase)
	}
}

// sampleSteps draws the loads of stepsPerTick steps and records their skew and the
// time lost to it.
func (s *simulation) sampleSteps(costs []float64) {
	for range stepsPerTick {
		for i, tokens := range s.expectedLoad {
			s.stepLoad[i] = max(0, tokens+math.Sqrt(dispersion*tokens)*s.rng.NormFloat64())
		}
		busiest, mean := balance.StepLoad(s.shape, s.current, s.stepLoad, costs)
		s.skews = append(s.skews, busiest/mean)
		lost := (busiest - mean) * tokenTime(s.shape) / stepTime.Seconds()
		s.lostSeconds += lost * tick.Seconds() / stepsPerTick
	}
}

// observe adds noise to the counters of this tick and passes the policy those of
// lagTicks ago.
func (s *simulation) observe(costs []float64) {
	observed := make([]float64, len(s.expectedLoad))
	for i, tokens := range s.expectedLoad {
		observed[i] = max(0, tokens*(1+counterNoise*s.rng.NormFloat64()))
	}
	s.delayedLoads = append(s.delayedLoads, observed)
	s.delayedCosts = append(s.delayedCosts, costs)
	if len(s.delayedLoads) <= lagTicks {
		return
	}
	s.policy.observe(s.delayedLoads[0], s.delayedCosts[0])
	s.delayedLoads, s.delayedCosts = s.delayedLoads[1:], s.delayedCosts[1:]
}
