package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/group"
)

// Config describes a group and the costs of its deployment.
type Config struct {
	// Shape is the shape of the group's maps.
	Shape group.Shape
	// Evenness is a weight from 0 to 1: the value of a second of step time saved. A
	// second spent on rebalancing is valued at 1 minus Evenness. High values favour
	// evenly loaded ranks, low ones few switches.
	Evenness float64
	// StepTime is the time of a step.
	StepTime time.Duration
	// TokenTime is the time in seconds that each token of a layer takes on a rank.
	TokenTime float64
	// Interval is the time between two observations.
	Interval time.Duration
	// Lag is the age of an observation on arrival.
	Lag time.Duration
	// ExpertBytes is the size of the weights of one expert.
	ExpertBytes int64
	// StoreRate is the rate at which the weight store delivers to the group, in bytes
	// per second.
	StoreRate float64
	// LoadShare is the share of step time that is lost while weights are loaded.
	LoadShare float64
	// Stall is the time for which a switch stops the group.
	Stall time.Duration
	// CacheTimePerMove is the time it takes to recompute the cached prefixes that the
	// buffer of one loaded expert displaces.
	CacheTimePerMove time.Duration
	// MaxMoves bounds the moves of one switch.
	MaxMoves int
	// MaxLifetime bounds the time for which a saving is expected to last.
	MaxLifetime time.Duration
	// Ablation selects the safeguards to disable, for comparison only.
	Ablation Ablation
}

// Ablation selects safeguards to disable in a comparison.
type Ablation struct {
	// NoMargin switches regardless of the forecast's error.
	NoMargin bool
	// NoBackoff disables the backoff after switches that did not pay off.
	NoBackoff bool
	// LastValue uses the last observation as the forecast.
	LastValue bool
}

// Validate returns the first error found in the configuration, or nil.
func (c Config) Validate() error {
	if err := c.Shape.Validate(); err != nil {
		return err
	}
	if c.Evenness < 0 || c.Evenness > 1 {
		return fault.Newf(fault.Invalid, "give a weight from 0 to 1", "evenness %v is out of range", c.Evenness)
	}
	if c.StepTime <= 0 || c.TokenTime <= 0 || c.Interval <= 0 || c.StoreRate <= 0 || c.MaxMoves <= 0 || c.MaxLifetime <= 0 {
		return fault.New(fault.Invalid, "a time, rate or limit of the balancer is not positive", "set them all to positive values")
	}
	return nil
}

// Decision is the proposal of a Balancer or Follower, with the figures it is based on.
type Decision struct {
	// Switch reports whether the map is worth switching to.
	Switch bool
	// Map is the proposed map.
	Map group.Map
	// Moves is the number of experts to load.
	Moves int
	// Saving is the time saved in each step: in seconds for a Balancer, as a fraction of
	// the step time for a Follower. Margin is the part of it that the forecast's error
	// alone could account for; a Follower leaves it zero.
	Saving, Margin float64
	// Lifetime is the time in seconds for which the saving is expected to last.
	Lifetime float64
	// Gain and Cost are the weighted totals that are compared, in seconds.
	Gain, Cost float64
}

// Balancer decides when to switch the map of one group.
type Balancer struct {
	config          Config
	forecasts       []*Forecaster
	cost            []float64
	load            []float64
	monitor         switchMonitor
	newObservations bool // observations have arrived since the last decision
}

// New returns the balancer of a group.
func New(config Config) (*Balancer, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{config: config}
	b.load = make([]float64, config.Shape.Layers*config.Shape.Experts)
	b.cost = make([]float64, config.Shape.Ranks)
	for rank := range b.cost {
		b.cost[rank] = 1
	}
	for range config.Shape.Layers {
		b.forecasts = append(b.forecasts, NewForecaster(config.Shape.Experts, config.Ablation.LastValue))
	}
	return b, nil
}

// Observe records the mean tokens per step of every expert, by layer, over the
// last interval, and the time that a token takes on each rank relative to nominal
// (nil leaves those times unchanged; initially all are nominal).
func (b *Balancer) Observe(load, cost []float64) {
	experts := b.config.Shape.Experts
	for n, f := range b.forecasts {
		f.Observe(load[n*experts : (n+1)*experts])
	}
	if cost != nil {
		copy(b.cost, cost)
	}
	b.newObservations = true
}

// RecordSwitch records that the group has switched to the map of an earlier decision.
func (b *Balancer) RecordSwitch(from group.Map, d Decision) {
	b.monitor.start(b.config, from, d, b.load, b.cost)
}

// Decide looks for a better map than the current one. It should be called once
// after each observation; most decisions are not to switch.
func (b *Balancer) Decide(current group.Map) Decision {
	d := Decision{Map: current}
	b.refreshForecast(current)
	if !b.forecasts[0].Ready() || b.monitor.waiting(b.config.Ablation.NoBackoff) {
		return d
	}
	d.Map = current.Clone()
	drift := 0.0
	for _, candidate := range b.candidates(d.Map) {
		drift += b.improve(candidate, current, &d)
	}
	if d.Moves == 0 {
		return d
	}
	d.Lifetime = b.expectedLifetime(d.Saving, drift)
	d.Gain = b.config.Evenness * (d.Saving - d.Margin) * d.Lifetime / b.config.StepTime.Seconds()
	d.Cost = (1 - b.config.Evenness) * b.switchCost(d.Moves)
	d.Switch = d.Gain > d.Cost
	return d
}

// refreshForecast updates the forecast and passes it to the switch monitor.
func (b *Balancer) refreshForecast(current group.Map) {
	if !b.newObservations {
		return
	}
	b.newObservations = false
	experts := b.config.Shape.Experts
	for n, f := range b.forecasts {
		f.Load(b.load[n*experts : (n+1)*experts])
	}
	b.monitor.observe(b.config.Shape, current, b.load, b.cost)
}

// candidate is a layer that might be improved.
type candidate struct {
	layer    int
	state    *layer
	forecast *Forecaster
	// maxSaving is the most by which any placement could reduce the load of the busiest
	// rank.
	maxSaving float64
}

// candidates returns the layers whose busiest rank exceeds the even load by more than
// the forecast's error, the worst first.
func (b *Balancer) candidates(m group.Map) []candidate {
	var out []candidate
	experts := b.config.Shape.Experts
	for n, f := range b.forecasts {
		load := b.load[n*experts : (n+1)*experts]
		l := newLayer(b.config.Shape, m.Layer(n), load, b.cost)
		rank, _ := l.busiest()
		maxSaving := l.rankLoads[rank] - l.evenLoad()
		if maxSaving > b.margin(f, b.rankVariance(l, rank)) {
			out = append(out, candidate{layer: n, state: l, forecast: f, maxSaving: maxSaving})
		}
	}
	slices.SortStableFunc(out, func(x, y candidate) int { return cmp.Compare(y.maxSaving, x.maxSaving) })
	return out
}

// improve improves one layer, if that saves more than the margin, and returns the
// variance by which the time of its busiest rank drifts per observation.
func (b *Balancer) improve(c candidate, current group.Map, d *Decision) float64 {
	l := c.state
	oldRank, _ := l.busiest()
	before := l.expectedPeak()
	oldError := b.rankVariance(l, oldRank)
	moves := improveLayer(l, b.minGainPerMove(), b.config.MaxMoves-d.Moves)
	newRank, _ := l.busiest()
	saving := before - l.expectedPeak()
	margin := b.margin(c.forecast, oldError+b.rankVariance(l, newRank))
	if moves == 0 || saving <= margin {
		copy(d.Map.Layer(c.layer), current.Layer(c.layer))
		return 0
	}
	d.Moves += moves
	d.Saving += saving * b.config.TokenTime
	d.Margin += margin * b.config.TokenTime
	return oldError * c.forecast.Drift() * b.config.TokenTime * b.config.TokenTime
}

// rankVariance returns the variance of a rank's load for a unit variance of the
// logarithms of the experts' loads.
func (b *Balancer) rankVariance(l *layer, rank int) float64 {
	var sum float64
	for _, expert := range l.rankSlots(rank) {
		if expert != group.Empty {
			sum += l.replicaLoad(expert) * l.replicaLoad(expert)
		}
	}
	return sum * l.cost[rank] * l.cost[rank]
}

// margin returns the largest apparent saving that forecast error alone is expected to
// cause: the largest of n errors is about sqrt(2 ln n) standard errors, and there is one
// error for every rank, layer and decision during the maximum lifetime.
func (b *Balancer) margin(f *Forecaster, errors float64) float64 {
	if b.config.Ablation.NoMargin {
		return 0
	}
	ahead := float64(b.config.Lag) / float64(b.config.Interval)
	decisions := float64(b.config.MaxLifetime) / float64(b.config.Interval)
	samples := decisions * float64(b.config.Shape.Ranks*b.config.Shape.Layers)
	return math.Sqrt(errors*f.Variance(ahead)) * math.Sqrt(2*math.Log(samples))
}

// expectedLifetime returns the time in seconds after which drift alone has changed the
// ranks' times by as much as the saving.
func (b *Balancer) expectedLifetime(saving, driftVariance float64) float64 {
	maxSeconds := b.config.MaxLifetime.Seconds()
	if driftVariance == 0 {
		return maxSeconds
	}
	return min(maxSeconds, saving*saving/driftVariance*b.config.Interval.Seconds())
}

// switchCost returns the time in seconds that a switch costs the group.
func (b *Balancer) switchCost(moves int) float64 {
	return b.config.Stall.Seconds() + float64(moves)*b.moveCost()
}

// moveCost returns the time in seconds that loading one expert costs the group.
func (b *Balancer) moveCost() float64 {
	loading := float64(b.config.ExpertBytes) / b.config.StoreRate
	return loading*b.config.LoadShare + b.config.CacheTimePerMove.Seconds()
}

// minGainPerMove returns the load by which a move must reduce the busiest rank to pay off
// over the maximum lifetime.
func (b *Balancer) minGainPerMove() float64 {
	steps := b.config.MaxLifetime.Seconds() / b.config.StepTime.Seconds()
	value := b.config.Evenness * b.config.TokenTime * steps
	if value == 0 {
		return math.Inf(1)
	}
	return (1 - b.config.Evenness) * b.moveCost() / value
}
