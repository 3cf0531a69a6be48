package balancing

import (
	"math"
	"time"

	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/balance"
)

// Grids of the offline plan.
const (
	planGrid   = 2 * time.Minute  // switches happen at multiples of this
	planSample = 20 * time.Second // the popularity is looked at this often
)

// moveBudgets are the numbers of moves per rank that the plan tries at every
// switch.
var moveBudgets = []float64{0.25, 0.5, 1, 2, 4, 24}

// plan is the best way found to get to a point in time.
type plan struct {
	value float64 // weighted seconds lost so far
	now   group.Map
	times []time.Duration
	maps  []group.Map
}

// offline plans the switches of a workload with its whole future known, for a
// deployment's weight. It is a dynamic program over the times of switches; for
// each last switch only the best way to get there is kept, so it is near the
// optimum but not proved to be it. It never switches against the adversary,
// which moves only after a switch.
func offline(w Workload, shape group.Shape, evenness float64) *planned {
	if w.ShiftsAfterSwitch {
		return &planned{}
	}
	o := newPlanner(w, shape, evenness)
	points := int(time.Duration(w.Minutes*float64(time.Minute)) / planGrid)
	best := make([]plan, points+1)
	for i := range best {
		best[i].value = math.Inf(1)
	}
	best[0] = plan{now: startMap(w, shape)}
	for i := range points {
		for j := i + 1; j <= points; j++ {
			o.extend(&best[j], best[i], i, j)
		}
	}
	return &planned{times: best[points].times, maps: best[points].maps}
}

// planner plans over the popularity of a whole workload.
type planner struct {
	shape    group.Shape
	evenness float64
	perPoint int
	loads    [][]float64
	costs    [][]float64
}

func newPlanner(w Workload, shape group.Shape, evenness float64) *planner {
	o := &planner{shape: shape, evenness: evenness, perPoint: int(planGrid / planSample)}
	c := newPopularity(w, shape, 0)
	end := time.Duration(w.Minutes * float64(time.Minute))
	for now := planSample / 2; now < end; now += planSample {
		load := make([]float64, shape.Layers*shape.Experts)
		c.load(w.weights(now.Minutes()), float64(tokensPerRank*shape.Ranks), load)
		o.loads = append(o.loads, load)
		o.costs = append(o.costs, w.cost(shape, now.Minutes()))
	}
	return o
}

// extend tries to use one map from point i to point j, after a plan for the time
// before, and keeps the result if it is the best so far.
func (o *planner) extend(best *plan, before plan, i, j int) {
	if math.IsInf(before.value, 1) {
		return
	}
	start := time.Duration(i) * planGrid
	o.offer(best, before, before.now, start, o.lost(before.now, i, j))
	load, cost := o.mean(i, j)
	for _, perRank := range moveBudgets {
		budget := int(perRank * float64(o.shape.Ranks))
		next := balance.Improve(o.shape, before.now, load, cost, budget)
		o.offer(best, before, next, start, o.lost(next, i, j))
	}
}

// offer keeps the plan that goes on with the map next, if it is the best so far.
// lost is the time in seconds that next loses to skew.
func (o *planner) offer(best *plan, before plan, next group.Map, start time.Duration, lost float64) {
	moves := countMoves(before.now, next)
	value := before.value + o.evenness*lost
	if moves > 0 {
		loading := float64(moves) * expertBytes / storeRate
		price := switchStall.Seconds() + loading*loadShare + float64(moves)*cachePerMove.Seconds()
		value += (1 - o.evenness) * price
	}
	if value >= best.value {
		return
	}
	*best = plan{value: value, now: next, times: before.times, maps: before.maps}
	if moves > 0 {
		best.times = append(append([]time.Duration(nil), before.times...), start)
		best.maps = append(append([]group.Map(nil), before.maps...), next)
	}
}

// lost is the time lost to skew from point i to point j, in seconds.
func (o *planner) lost(m group.Map, i, j int) float64 {
	var sum float64
	for k := i * o.perPoint; k < j*o.perPoint; k++ {
		busiest, mean := balance.StepLoad(o.shape, m, o.loads[k], o.costs[k])
		sum += (busiest - mean) * tokenTime(o.shape) / stepTime.Seconds() * planSample.Seconds()
	}
	return sum
}

// mean returns the mean load from point i to point j, and the mean cost.
func (o *planner) mean(i, j int) (load, cost []float64) {
	load = make([]float64, o.shape.Layers*o.shape.Experts)
	cost = make([]float64, o.shape.Ranks)
	samples := float64((j - i) * o.perPoint)
	for k := i * o.perPoint; k < j*o.perPoint; k++ {
		for e, tokens := range o.loads[k] {
			load[e] += tokens / samples
		}
		for rank, c := range o.costs[k] {
			cost[rank] += c / samples
		}
	}
	return load, cost
}
