package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/group"
)

// Config describes a group and what its deployment pays for.
type Config struct {
	// Shape is the shape of the group's maps.
	Shape group.Shape
	// Evenness is the deployment's weight, from 0 to 1: the value of a second of
	// step time saved; a second of rebalancing is valued at the rest. High values
	// favour even ranks, low ones few switches.
	Evenness float64
	// StepTime is the time of a step.
	StepTime time.Duration
	// TokenTime is the time in seconds that a token of a layer adds to a rank.
	TokenTime float64
	// Interval is the time between two observations.
	Interval time.Duration
	// Lag is how old an observation is when it arrives.
	Lag time.Duration
	// ExpertBytes is the size of the weights of one expert.
	ExpertBytes int64
	// StoreRate is what the weight store delivers to the group, bytes a second.
	StoreRate float64
	// LoadShare is the share of a step's time lost while weights are loaded.
	LoadShare float64
	// Stall is the time that a switch stops the group.
	Stall time.Duration
	// CachePerMove is the time it takes to compute again the cached prefixes
	// that the buffer of one loaded expert displaces.
	CacheTimePerMove time.Duration
	// MaxMoves bounds the moves of one switch.
	MaxMoves int
	// MaxHold bounds the time that a saving is believed to last.
	MaxLifetime time.Duration
	// Guards says which safeguards to leave out, for comparison only.
	Ablation Ablation
}

// Guards are the safeguards that a comparison can leave out.
type Ablation struct {
	// NoMargin switches without regard to the forecast's error.
	NoMargin bool
	// NoBackoff does not learn from switches that did not pay.
	NoBackoff bool
	// LastValue takes the last observation for the forecast.
	LastValue bool
}

// Validate reports the first fault of the configuration, or nil.
func (c Config) Validate() error {
	if err := c.Shape.Validate(); err != nil {
		return err
	}
	if c.Evenness < 0 || c.Evenness > 1 {
		return fault.Newf(fault.Invalid, "give a weight from 0 to 1", "evenness %v", c.Evenness)
	}
	if c.StepTime <= 0 || c.TokenTime <= 0 || c.Interval <= 0 || c.StoreRate <= 0 || c.MaxMoves <= 0 || c.MaxLifetime <= 0 {
		return fault.New(fault.Invalid, "a time, rate or limit of the balancer is not positive", "set them all")
	}
	return nil
}

// Decision is what a Balancer proposes, and why.
type Decision struct {
	// Switch says whether the map is worth switching to.
	Switch bool
	// Map is the proposed map.
	Map group.Map
	// Moves is the number of experts to load.
	Moves int
	// Saving is the step time in seconds saved by each step, Margin the part of
	// it that the forecast's error alone could account for.
	Saving, Margin float64
	// Hold is the time in seconds that the saving is expected to last.
	Lifetime float64
	// Gain and Cost are the weighted totals compared, in seconds.
	Gain, Cost float64
}

// Balancer decides when to switch the map of one group.
type Balancer struct {
	config    Config
	forecasts []*Forecaster
	cost      []float64
	load      []float64
	watch     watch
	fresh     bool // observations have come since the last decision
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

// Observe takes in the mean tokens per step of every expert, by layer, over the
// last interval, and the time a token takes on each rank relative to nominal
// (nil if all are nominal).
func (b *Balancer) Observe(load, cost []float64) {
	experts := b.config.Shape.Experts
	for n, f := range b.forecasts {
		f.Observe(load[n*experts : (n+1)*experts])
	}
	if cost != nil {
		copy(b.cost, cost)
	}
	b.fresh = true
}

// Switched notifies the balancer that the group has switched to the map of an
// earlier decision.
func (b *Balancer) RecordSwitch(from group.Map, d Decision) {
	b.watch.start(b.config, from, d, b.load, b.cost)
}

// Decide looks for a better map than the current one. It is to be asked once
// after each observation; most answers are not to switch.
func (b *Balancer) Decide(current group.Map) Decision {
	d := Decision{Map: current}
	b.refreshForecast(current)
	if !b.forecasts[0].Ready() || b.watch.waiting(b.config.Ablation.NoBackoff) {
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
	d.Lifetime = b.hold(d.Saving, drift)
	d.Gain = b.config.Evenness * (d.Saving - d.Margin) * d.Lifetime / b.config.StepTime.Seconds()
	d.Cost = (1 - b.config.Evenness) * b.switchCost(d.Moves)
	d.Switch = d.Gain > d.Cost
	return d
}

// refreshForecast brings the forecast up to date and passes it to the watch.
func (b *Balancer) refreshForecast(current group.Map) {
	if !b.fresh {
		return
	}
	b.fresh = false
	experts := b.config.Shape.Experts
	for n, f := range b.forecasts {
		f.Load(b.load[n*experts : (n+1)*experts])
	}
	b.watch.observe(b.config.Shape, current, b.load, b.cost)
}

// candidate is a layer that might be improved.
type candidate struct {
	layer    int
	state    *layer
	forecast *Forecaster
	// room is the most that any placement could take off the busiest rank.
	room float64
}

// candidates returns the layers whose busiest rank stands out by more than the
// forecast's error, the worst first.
func (b *Balancer) candidates(m group.Map) []candidate {
	var out []candidate
	experts := b.config.Shape.Experts
	for n, f := range b.forecasts {
		load := b.load[n*experts : (n+1)*experts]
		l := newLayer(b.config.Shape, m.Layer(n), load, b.cost)
		rank, _ := l.busiest()
		room := l.rank[rank] - l.even()
		if room > b.margin(f, b.rankVariance(l, rank)) {
			out = append(out, candidate{layer: n, state: l, forecast: f, room: room})
		}
	}
	slices.SortStableFunc(out, func(x, y candidate) int { return cmp.Compare(y.room, x.room) })
	return out
}

// improve works on one layer and returns the variance by which its busiest
// rank's time drifts per observation.
func (b *Balancer) improve(c candidate, current group.Map, d *Decision) float64 {
	l := c.state
	oldRank, _ := l.busiest()
	before := l.peak()
	oldError := b.rankVariance(l, oldRank)
	moves := improveLayer(l, b.price(), b.config.MaxMoves-d.Moves)
	newRank, _ := l.busiest()
	saving := before - l.peak()
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
	for _, expert := range l.of(rank) {
		if expert != group.Empty {
			sum += l.share(expert) * l.share(expert)
		}
	}
	return sum * l.cost[rank] * l.cost[rank]
}

// margin is the saving that forecast error alone is expected to show at most:
// the largest of n errors is about sqrt(2 ln n) standard errors, and there is one
// for every rank, layer and look during the longest hold.
func (b *Balancer) margin(f *Forecaster, errors float64) float64 {
	if b.config.Ablation.NoMargin {
		return 0
	}
	ahead := float64(b.config.Lag) / float64(b.config.Interval)
	looks := float64(b.config.MaxLifetime) / float64(b.config.Interval)
	chances := looks * float64(b.config.Shape.Ranks*b.config.Shape.Layers)
	return math.Sqrt(errors*f.Variance(ahead)) * math.Sqrt(2*math.Log(chances))
}

// hold is the time after which drift alone has moved the ranks by as much as the
// saving.
func (b *Balancer) hold(saving, driftVariance float64) float64 {
	longest := b.config.MaxLifetime.Seconds()
	if driftVariance == 0 {
		return longest
	}
	return min(longest, saving*saving/driftVariance*b.config.Interval.Seconds())
}

// switchCost is the time in seconds that a switch takes from the group.
func (b *Balancer) switchCost(moves int) float64 {
	return b.config.Stall.Seconds() + float64(moves)*b.moveCost()
}

// moveCost is the time in seconds that loading one expert takes from the group.
func (b *Balancer) moveCost() float64 {
	loading := float64(b.config.ExpertBytes) / b.config.StoreRate
	return loading*b.config.LoadShare + b.config.CacheTimePerMove.Seconds()
}

// price is the load that a move must take off the busiest rank to be worth it
// over the longest hold.
func (b *Balancer) price() float64 {
	steps := b.config.MaxLifetime.Seconds() / b.config.StepTime.Seconds()
	worth := b.config.Evenness * b.config.TokenTime * steps
	if worth == 0 {
		return math.Inf(1)
	}
	return (1 - b.config.Evenness) * b.moveCost() / worth
}
