package balancing

import (
	"time"

	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/balance"
)

// Parameters of all runs.
const (
	tick           = 5 * time.Second // interval of observations and of decisions
	lagTicks       = 2               // delay of observations, in ticks
	stepsPerTick   = 4               // steps sampled per tick to measure skew
	tokensPerRank  = 1024            // tokens routed per rank, layer and step
	counterNoise   = 0.05            // relative standard deviation of an observed counter
	dispersion     = 2.0             // variance-to-mean ratio of an expert's tokens per step
	stepTime       = 4500 * time.Microsecond
	expertShare    = 0.5 // share of a balanced step spent in expert computation
	expertBytes    = 40 << 20
	storeRate      = 1 << 30 // bytes per second
	loadShare      = 0.05    // share of step time lost while weights are loaded
	switchStall    = 5 * time.Millisecond
	cachePerMove   = 2 * time.Millisecond
	maxHold        = 20 * time.Minute
	greedyInterval = time.Minute
	thresholdSkew  = 1.15
	nawrasEvenness = 0.9
	haneulEvenness = 0.3
)

// Size is a group size that is measured.
type Size struct {
	// Name is the title of the size's plot panel and part of its section titles in
	// the report.
	Name string
	// Shape is the shape of the group.
	Shape group.Shape
}

// Sizes returns the group sizes in the report. Each has only four layers, because
// the balance of one layer does not depend on the others.
func Sizes() []Size {
	return []Size{
		{Name: "16 ranks × 64 experts", Shape: group.Shape{Layers: 4, Experts: 64, Ranks: 16, Slots: 6, Zones: zones(16)}},
		{Name: "64 ranks × 256 experts", Shape: group.Shape{Layers: 4, Experts: 256, Ranks: 64, Slots: 6, Zones: zones(64)}},
	}
}

// zones assigns the ranks to three availability zones in contiguous blocks.
func zones(ranks int) []int {
	out := make([]int, ranks)
	for rank := range out {
		out[rank] = rank * 3 / ranks
	}
	return out
}

// tokenTime returns the time in seconds that one token takes in a layer.
func tokenTime(shape group.Shape) float64 {
	return stepTime.Seconds() * expertShare / float64(shape.Layers*tokensPerRank)
}

// BalancerConfig returns the balancer configuration for a group shape and an
// evenness weight.
func BalancerConfig(shape group.Shape, evenness float64) balance.Config {
	return balance.Config{
		Shape:            shape,
		Evenness:         evenness,
		StepTime:         stepTime,
		TokenTime:        tokenTime(shape),
		Interval:         tick,
		Lag:              lagTicks * tick,
		ExpertBytes:      expertBytes,
		StoreRate:        storeRate,
		LoadShare:        loadShare,
		Stall:            switchStall,
		CacheTimePerMove: cachePerMove,
		MaxMoves:         2 * shape.Ranks,
		MaxLifetime:      maxHold,
	}
}
