package pick

import (
	"time"

	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/endpoint/speed"
)

// Defaults of Config.
const (
	// DefaultCandidates is the default of Config.Candidates.
	DefaultCandidates = 8
	// DefaultPrefixHolders is the default of Config.PrefixHolders.
	DefaultPrefixHolders = 3
	// DefaultShardSize is the default of Config.ShardSize.
	DefaultShardSize = 2
	// DefaultQueueRatio is the default of Config.QueueRatio.
	DefaultQueueRatio = 1.0
	// DefaultCrossZoneRTT is the default of Config.CrossZoneRTT.
	DefaultCrossZoneRTT = 2 * time.Millisecond
	// DefaultAdapterLoadTime is the default of Config.AdapterLoadTime.
	DefaultAdapterLoadTime = 200 * time.Millisecond
	// DefaultOutsideShardCost is the default of Config.OutsideShardCost.
	DefaultOutsideShardCost = 5 * time.Millisecond
	// DefaultStepPerRequest is the default of Config.StepPerRequest.
	DefaultStepPerRequest = 50 * time.Microsecond
	// DefaultSkewWeight is the default of Config.SkewWeight.
	DefaultSkewWeight = 0.1
	// DefaultStdDevScale is the default of Config.StdDevScale.
	DefaultStdDevScale = 1.0
)

// Config configures a Picker. The zero value selects the defaults; a negative
// number stands for zero.
type Config struct {
	// Candidates is the number of endpoints that are considered for a call. Of
	// these, up to PrefixHolders are chosen because they cache a prefix of the
	// prompt, ShardSize are the workspace's shard, and the rest are random.
	Candidates, PrefixHolders, ShardSize int
	// QueueRatio is the number of calls that may wait at an endpoint, as a
	// fraction of its slots; beyond it the endpoint is full.
	QueueRatio float64
	// CrossZoneRTT is the additional round-trip time to another availability zone.
	CrossZoneRTT time.Duration
	// AdapterLoadTime is the time to load an adapter that is not resident.
	AdapterLoadTime time.Duration
	// OutsideShardCost is the cost of an endpoint outside the workspace's shard.
	OutsideShardCost time.Duration
	// StepPerRequest is Skew.StepPerRequest.
	StepPerRequest time.Duration
	// SkewWeight is Skew.Weight, which has no unit.
	SkewWeight float64
	// StdDevScale is the StdDevScale of Wait and Decode.
	StdDevScale float64
	// PerCall is CallCount.PerCall; zero disables that score.
	PerCall time.Duration
	// Import is the cost of moving cached prefixes between engines; nil if the
	// engines do not support it.
	Import *Import
	// Speeds provides the slowdowns of endpoints; nil if none are known.
	Speeds *speed.Tracker
	// Scorers replaces the default scorers; nil selects the defaults.
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

// defaultScorers returns the default scorers.
func (c Config) defaultScorers(loads *load.Tracker) []Scorer {
	return []Scorer{
		Prefill{Import: c.Import},
		Wait{StdDevScale: c.StdDevScale},
		Decode{StdDevScale: c.StdDevScale},
		Zone{CrossZoneRTT: c.CrossZoneRTT},
		Adapter{Loads: loads, LoadTime: c.AdapterLoadTime},
		Isolation{OutsideShardCost: c.OutsideShardCost},
		Skew{StepPerRequest: c.StepPerRequest, Weight: c.SkewWeight},
		CallCount{PerCall: c.PerCall},
		Slowdown{},
	}
}

// directPerCall is CallCount.PerCall for engines that are called directly: half of a round trip
// to another zone. According to the figures that engines publish, the real cost of one more call
// is 8 to 27 ms per answer. But the more this cost outweighs the zone, the more entries read the same
// reports of the same engines and make the same choice. With 192 engines, 36 entries and the
// default number of candidates, 0.2 % of the engines had more calls than slots at 1 ms, and 1 %
// at 4 ms; at full load 12.3 % and 13.1 %.
const directPerCall = time.Millisecond

// DirectConfig returns the configuration for endpoints that are called directly. They cache no
// prompts or adapters per workspace, so workspaces have no shards there. With shards of 2 out of
// 192 engines, the engines of large workspaces had 10 calls for 6 slots while the mean was 2.6.
func DirectConfig() Config {
	return Config{ShardSize: -1, PrefixHolders: -1, OutsideShardCost: -1, PerCall: directPerCall}
}
