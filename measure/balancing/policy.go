package balancing

import (
	"time"

	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/balance"
)

// policy decides which map to use.
type policy interface {
	// observe takes in counters as they arrive: late and noisy.
	observe(load, cost []float64)
	// decide returns the map to switch to, if any.
	decide(now time.Duration, current group.Map) (group.Map, bool)
	// switched says that the last map decided is in force.
	switched(from group.Map)
}

// never keeps the first map.
type never struct{}

func (never) observe([]float64, []float64) {}
func (never) decide(time.Duration, group.Map) (group.Map, bool) {
	return group.Map{}, false
}
func (never) switched(group.Map) {}

// greedy rebuilds the map from the mean of the last interval's counters, every
// interval or, with a threshold, when the skew they show is above it.
type greedy struct {
	shape     group.Shape
	threshold float64
	load      []float64
	cost      []float64
	count     int
	next      time.Duration
}

func newGreedy(shape group.Shape, threshold float64) *greedy {
	return &greedy{shape: shape, threshold: threshold, load: make([]float64, shape.Layers*shape.Experts), next: greedyInterval}
}

func (g *greedy) observe(load, cost []float64) {
	for i := range load {
		g.load[i] += load[i]
	}
	g.cost = cost
	g.count++
}

func (g *greedy) decide(now time.Duration, current group.Map) (group.Map, bool) {
	if now < g.next || g.count == 0 {
		return group.Map{}, false
	}
	g.next = now + greedyInterval
	load := make([]float64, len(g.load))
	for i := range load {
		load[i] = g.load[i] / float64(g.count)
	}
	clear(g.load)
	g.count = 0
	busiest, mean := balance.StepLoad(g.shape, current, load, g.cost)
	if busiest/mean < g.threshold {
		return group.Map{}, false
	}
	return balance.Greedy(g.shape, load, g.cost), true
}

func (g *greedy) switched(group.Map) {}

// balanced drives a Balancer.
type balanced struct {
	balancer *balance.Balancer
	decision balance.Decision
}

func newBalanced(config balance.Config) (*balanced, error) {
	balancer, err := balance.New(config)
	return &balanced{balancer: balancer}, err
}

func (b *balanced) observe(load, cost []float64) { b.balancer.Observe(load, cost) }

func (b *balanced) decide(_ time.Duration, current group.Map) (group.Map, bool) {
	b.decision = b.balancer.Decide(current)
	return b.decision.Map, b.decision.Switch
}

func (b *balanced) switched(from group.Map) { b.balancer.RecordSwitch(from, b.decision) }

// planned switches at times known in advance.
type planned struct {
	times []time.Duration
	maps  []group.Map
}

func (p *planned) observe([]float64, []float64) {}

func (p *planned) decide(now time.Duration, _ group.Map) (group.Map, bool) {
	if len(p.times) == 0 || now < p.times[0] {
		return group.Map{}, false
	}
	m := p.maps[0]
	p.times, p.maps = p.times[1:], p.maps[1:]
	return m, true
}

func (p *planned) switched(group.Map) {}
