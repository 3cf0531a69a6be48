package balancing

import (
	"time"

	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/balance"
)

// policy decides when to switch to which map.
type policy interface {
	// observe receives the counters of one tick: the tokens per step of every
	// expert and the time per token on every rank. They are delayed and noisy.
	observe(load, cost []float64)
	// decide returns the map to switch to, if any.
	decide(now time.Duration, current group.Map) (group.Map, bool)
	// switched notifies the policy that the map of its last decision has replaced
	// from.
	switched(from group.Map)
}

// keepInitial never switches.
type keepInitial struct{}

func (keepInitial) observe([]float64, []float64) {}
func (keepInitial) decide(time.Duration, group.Map) (group.Map, bool) {
	return group.Map{}, false
}
func (keepInitial) switched(group.Map) {}

// greedy rebuilds the map at each greedyInterval from the mean of the counters
// since the last one, if the skew that they show is at least threshold.
type greedy struct {
	shape        group.Shape
	threshold    float64
	load         []float64
	cost         []float64
	observations int
	nextRebuild  time.Duration
}

func newGreedy(shape group.Shape, threshold float64) *greedy {
	return &greedy{shape: shape, threshold: threshold, load: make([]float64, shape.Layers*shape.Experts), nextRebuild: greedyInterval}
}

func (g *greedy) observe(load, cost []float64) {
	for i := range load {
		g.load[i] += load[i]
	}
	g.cost = cost
	g.observations++
}

func (g *greedy) decide(now time.Duration, current group.Map) (group.Map, bool) {
	if now < g.nextRebuild || g.observations == 0 {
		return group.Map{}, false
	}
	g.nextRebuild = now + greedyInterval
	load := make([]float64, len(g.load))
	for i := range load {
		load[i] = g.load[i] / float64(g.observations)
	}
	clear(g.load)
	g.observations = 0
	busiest, mean := balance.StepLoad(g.shape, current, load, g.cost)
	if busiest/mean < g.threshold {
		return group.Map{}, false
	}
	return balance.Greedy(g.shape, load, g.cost), true
}

func (g *greedy) switched(group.Map) {}

// netGain switches as balance.Balancer decides.
type netGain struct {
	balancer     *balance.Balancer
	lastDecision balance.Decision
}

func newNetGain(config balance.Config) (*netGain, error) {
	balancer, err := balance.New(config)
	return &netGain{balancer: balancer}, err
}

func (b *netGain) observe(load, cost []float64) { b.balancer.Observe(load, cost) }

func (b *netGain) decide(_ time.Duration, current group.Map) (group.Map, bool) {
	b.lastDecision = b.balancer.Decide(current)
	return b.lastDecision.Map, b.lastDecision.Switch
}

func (b *netGain) switched(from group.Map) { b.balancer.RecordSwitch(from, b.lastDecision) }

// scheduled switches to given maps at given times.
type scheduled struct {
	times []time.Duration
	maps  []group.Map
}

func (p *scheduled) observe([]float64, []float64) {}

func (p *scheduled) decide(now time.Duration, _ group.Map) (group.Map, bool) {
	if len(p.times) == 0 || now < p.times[0] {
		return group.Map{}, false
	}
	m := p.maps[0]
	p.times, p.maps = p.times[1:], p.maps[1:]
	return m, true
}

func (p *scheduled) switched(group.Map) {}
