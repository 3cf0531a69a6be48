package balancing

import (
	"math"
	"time"

	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/balance"
)

// Time resolution of the offline plan.
const (
	planInterval       = 2 * time.Minute  // switches are only considered at multiples of this
	planSampleInterval = 20 * time.Second // sampling interval of the popularity
)

// moveBudgets are the limits of moves per rank that are tried at each possible
// switch.
var moveBudgets = []float64{0.25, 0.5, 1, 2, 4, 24}

// plan is the sequence of switches with the lowest weighted loss found up to a point
// in time.
type plan struct {
	weightedLoss float64 // in seconds, up to that point
	current      group.Map
	times        []time.Duration
	maps         []group.Map
}

// planOffline plans the switches of a workload whose whole course is known, for a
// deployment's evenness weight. It is a dynamic program over the times of switches.
// Only the best plan up to each point in time is kept, so the result is close
// to the optimum, but optimality is not guaranteed. For a workload with
// ShiftsAfterSwitch the plan never switches, because each switch would change the
// popularity for which it is made.
func planOffline(w Workload, shape group.Shape, evenness float64) *scheduled {
	if w.ShiftsAfterSwitch {
		return &scheduled{}
	}
	p := newPlanner(w, shape, evenness)
	points := int(time.Duration(w.Minutes*float64(time.Minute)) / planInterval)
	best := make([]plan, points+1)
	for i := range best {
		best[i].weightedLoss = math.Inf(1)
	}
	best[0] = plan{current: initialMap(w, shape)}
	for from := range points {
		for to := from + 1; to <= points; to++ {
			p.extend(&best[to], best[from], from, to)
		}
	}
	return &scheduled{times: best[points].times, maps: best[points].maps}
}

// planner holds the expected loads and the token costs of a whole workload, sampled
// at planSampleInterval. A point is a multiple of planInterval.
type planner struct {
	shape           group.Shape
	evenness        float64
	samplesPerPoint int
	loads           [][]float64
	costs           [][]float64
}

func newPlanner(w Workload, shape group.Shape, evenness float64) *planner {
	p := &planner{shape: shape, evenness: evenness, samplesPerPoint: int(planInterval / planSampleInterval)}
	demand := newPopularity(w, shape, 0)
	end := time.Duration(w.Minutes * float64(time.Minute))
	for now := planSampleInterval / 2; now < end; now += planSampleInterval {
		load := make([]float64, shape.Layers*shape.Experts)
		demand.expectedLoad(w.mixAt(now.Minutes()), float64(tokensPerRank*shape.Ranks), load)
		p.loads = append(p.loads, load)
		p.costs = append(p.costs, w.tokenCosts(shape, now.Minutes()))
	}
	return p
}

// extend tries to continue the plan prefix, which ends at point from, with one map
// up to point to, and sets best to the result if its weighted loss is the lowest so
// far.
func (p *planner) extend(best *plan, prefix plan, from, to int) {
	if math.IsInf(prefix.weightedLoss, 1) {
		return
	}
	start := time.Duration(from) * planInterval
	p.keepIfBetter(best, prefix, prefix.current, start, p.skewLoss(prefix.current, from, to))
	load, cost := p.meanLoad(from, to)
	for _, perRank := range moveBudgets {
		budget := int(perRank * float64(p.shape.Ranks))
		next := balance.Improve(p.shape, prefix.current, load, cost, budget)
		p.keepIfBetter(best, prefix, next, start, p.skewLoss(next, from, to))
	}
}

// keepIfBetter sets best to the plan that continues prefix with the map next, if its
// weighted loss is lower. skewLoss is the time in seconds that next loses to skew.
func (p *planner) keepIfBetter(best *plan, prefix plan, next group.Map, start time.Duration, skewLoss float64) {
	moves := countMoves(prefix.current, next)
	weightedLoss := prefix.weightedLoss + p.evenness*skewLoss
	if moves > 0 {
		loadSeconds := float64(moves) * expertBytes / storeRate
		switchCost := switchStall.Seconds() + loadSeconds*loadShare + float64(moves)*cachePerMove.Seconds()
		weightedLoss += (1 - p.evenness) * switchCost
	}
	if weightedLoss >= best.weightedLoss {
		return
	}
	*best = plan{weightedLoss: weightedLoss, current: next, times: prefix.times, maps: prefix.maps}
	if moves > 0 {
		best.times = append(append([]time.Duration(nil), prefix.times...), start)
		best.maps = append(append([]group.Map(nil), prefix.maps...), next)
	}
}

// skewLoss returns the time lost to skew with the map m between two points, in
// seconds.
func (p *planner) skewLoss(m group.Map, from, to int) float64 {
	var sum float64
	for sample := from * p.samplesPerPoint; sample < to*p.samplesPerPoint; sample++ {
		busiest, mean := balance.StepLoad(p.shape, m, p.loads[sample], p.costs[sample])
		sum += (busiest - mean) * tokenTime(p.shape) / stepTime.Seconds() * planSampleInterval.Seconds()
	}
	return sum
}

// meanLoad returns the mean load and the mean token cost between two points.
func (p *planner) meanLoad(from, to int) (load, cost []float64) {
	load = make([]float64, p.shape.Layers*p.shape.Experts)
	cost = make([]float64, p.shape.Ranks)
	samples := float64((to - from) * p.samplesPerPoint)
	for sample := from * p.samplesPerPoint; sample < to*p.samplesPerPoint; sample++ {
		for e, tokens := range p.loads[sample] {
			load[e] += tokens / samples
		}
		for rank, tokenCost := range p.costs[sample] {
			cost[rank] += tokenCost / samples
		}
	}
	return load, cost
}
