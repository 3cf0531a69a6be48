package pick

import (
	"time"

	"github.com/lilackeel/lilackeel/endpoint/load"
)

// Defaults of Config.
const (
	// DefaultCandidates is the default of Config.Candidates.
	DefaultCandidates = 8
	// DefaultHolders is the default of Config.Holders.
	DefaultPrefixHolders = 3
	// DefaultShard is the default of Config.Shard.
	DefaultShardSize = 2
	// DefaultQueue is the default of Config.Queue.
	DefaultQueueRatio = 1.0
	// DefaultOtherZone is the default of Config.OtherZone: a round trip.
	DefaultCrossZoneRTT = 2 * time.Millisecond
	// DefaultAdapterLoad is the default of Config.AdapterLoad.
	DefaultAdapterLoadTime = 200 * time.Millisecond
	// DefaultOutside is the default of Config.Outside.
	DefaultOutsideShardCost = 5 * time.Millisecond
	// DefaultStepPerRequest is the default of Config.StepPerRequest.
	DefaultStepPerRequest = 50 * time.Microsecond
	// DefaultSkewWeight is the default of Config.SkewWeight.
	DefaultSkewWeight = 0.1
	// DefaultSpread is the default of Config.Spread.
	DefaultStdDevScale = 1.0
)

// Config sets the picker up; the zero value takes the defaults, and a negative
// number stands for zero.
type Config struct {
	// Candidates is the number of endpoints that are weighed for a call, of
	// them Holders that hold the prompt's prefix and Shard that are the
	// workspace's shard; the rest is random.
	Candidates, PrefixHolders, ShardSize int
	// Queue is the number of calls that may wait at an endpoint, as a share of
	// its slots; beyond it the endpoint is full.
	QueueRatio float64
	// OtherZone is the added round trip to another availability zone.
	CrossZoneRTT time.Duration
	// AdapterLoad is the time to load an adapter that is not resident.
	AdapterLoadTime time.Duration
	// Outside is the cost of an endpoint outside the workspace's shard.
	OutsideShardCost time.Duration
	// StepPerRequest is Skew.StepPerRequest.
	StepPerRequest time.Duration
	// SkewWeight is Skew.Weight, without a unit.
	SkewWeight float64
	// Spread is the Spread of Wait and Pace, in standard deviations.
	StdDevScale float64
	// PerCall is Even.PerCall; zero leaves it out.
	PerCall time.Duration
	// Import is the cost of moving cached prefixes between engines; nil when
	// the engines cannot.
	Import *Import
	// Scorers replaces the default scores; nil for the default.
	Scorers []Scorer
}

func (c Config) withDefaults() Config {
	setDefault(&c.Candidates, DefaultCandidates)
	setDefault(&c.PrefixHolders, DefaultPrefixHolders)
	setDefault(&c.ShardSize, DefaultShardSize)
	setDefault(&c.QueueRatio, DefaultQueueRatio)
	setDefault(&c.CrossZoneRTT, DefaultCrossZoneRTT)
	setDefault(&c.AdapterLoadTime, DefaultAdapterLoadTime)
	setDefault(&c.OutsideShardCost, DefaultOutsideShardCost)
	setDefault(&c.StdDevScale, DefaultStdDevScale)
	setDefault(&c.StepPerRequest, DefaultStepPerRequest)
	setDefault(&c.SkewWeight, DefaultSkewWeight)
	c.Candidates = max(c.Candidates, 1)
	return c
}

func setDefault[T int | float64 | time.Duration](value *T, fallback T) {
	switch {
	case *value == 0:
		*value = fallback
	case *value < 0:
		*value = 0
	}
}

// scorers returns the default scores.
func (c Config) scorers(loads *load.Tracker) []Scorer {
	return []Scorer{
		Prefill{Import: c.Import},
		Wait{StdDevScale: c.StdDevScale},
		Decode{StdDevScale: c.StdDevScale},
		Zone{CrossZoneRTT: c.CrossZoneRTT},
		Adapter{Loads: loads, LoadTime: c.AdapterLoadTime},
		Isolation{OutsideShardCost: c.OutsideShardCost},
		Skew{StepPerRequest: c.StepPerRequest, Weight: c.SkewWeight},
		CallCount{PerCall: c.PerCall},
	}
}

// directPerCall weighs one more call at an engine that is called directly as half of a round
// trip to another zone. Its true cost, by what engines publish, is 8 to 27 ms of an answer;
// but the more it counts against the zone, the more entries read the same reports of the same
// engines and choose alike. With 1 ms and the default candidates, of 192 engines before 36
// entries 0.2 in 100 had more calls than slots, with 4 ms 1; at full load 12.3 and 13.1.
const directPerCall = time.Millisecond

// ForDirect returns the configuration for endpoints that are called directly. They keep no
// prompts and no adapters of a workspace, so that it has no shard there: with two of 192
// engines each, the engines of large workspaces had 10 calls in 6 slots while the mean was 2.6.
func DirectConfig() Config {
	return Config{ShardSize: -1, PrefixHolders: -1, OutsideShardCost: -1, PerCall: directPerCall}
}
