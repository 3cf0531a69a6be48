package balancing

import (
	"time"

	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/balance"
)

// Constants of all runs.
const (
	tick           = 5 * time.Second // one observation, also one decision
	lagTicks       = 2               // observations arrive this much late
	stepsPerTick   = 4               // steps whose skew is measured per tick
	tokensPerRank  = 1024            // tokens routed per rank, layer and step
	counterNoise   = 0.05            // relative error of an observed counter
	dispersion     = 2.0             // variance over mean of tokens per step
	stepTime       = 4500 * time.Microsecond
	expertPart     = 0.5 // share of a balanced step spent in experts
	expertBytes    = 40 << 20
	storeRate      = 1 << 30 // bytes a second
	loadShare      = 0.05    // slowdown while weights are loaded
	switchStall    = 5 * time.Millisecond
	cachePerMove   = 2 * time.Millisecond
	maxHold        = 20 * time.Minute
	greedyInterval = time.Minute
	thresholdSkew  = 1.15
	nawrasEvenness = 0.9
	haneulEvenness = 0.3
)

// Size is a group measured.
type Size struct {
	// Name heads the panel of the size and its rows.
	Name string
	// Shape is the group.
	Shape group.Shape
}

// Sizes returns the groups of the report. Four layers stand for all: layers do
// not influence each other's balance.
func Sizes() []Size {
	return []Size{
		{Name: "16 ranks × 64 experts", Shape: group.Shape{Layers: 4, Experts: 64, Ranks: 16, Slots: 6, Zones: zones(16)}},
		{Name: "64 ranks × 256 experts", Shape: group.Shape{Layers: 4, Experts: 256, Ranks: 64, Slots: 6, Zones: zones(64)}},
	}
}

// zones spreads ranks over three availability zones in blocks.
func zones(ranks int) []int {
	out := make([]int, ranks)
	for rank := range out {
		out[rank] = rank * 3 / ranks
	}
	return out
}

// tokenTime is the time in seconds that one token takes in a layer.
func tokenTime(shape group.Shape) float64 {
	return stepTime.Seconds() * expertPart / float64(shape.Layers*tokensPerRank)
}

// Config returns the balancer's settings for a shape and weight.
func Config(shape group.Shape, evenness float64) balance.Config {
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
