package routed

import (
	"math"
	"time"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/endpoint/concurrency"
	"github.com/lilackeel/lilackeel/endpoint/speed"
)

const (
	// initialSkew is the load of the busiest rank relative to the mean under a group's first
	// expert map, which distributes the experts round-robin.
	initialSkew = 3
	// initialGapShare is the fraction of the maximum gap that is used while a group ramps up.
	initialGapShare = 0.92
)

// initialLimit returns how many calls a group may run while it ramps up, based on the engine
// model. With that many calls, steps meet the promised gap under the first expert map while
// every engine prefills at its maximum rate. A rank that works slower than nominal by slowdown takes
// that much longer for the fixed time of a step, for which all others wait; its calls and experts
// are moved elsewhere. Zero means that the engine model lacks the data.
func initialLimit(engine *fleetv1.EngineModel, cfg concurrency.Config, engines int, slowdown float64) float64 {
	stride := float64(max(engine.GetStride(), 1))
	perCall := engine.GetPerRequestMs() * stride * (1 - engine.GetExpertShare() + engine.GetExpertShare()*initialSkew)
	if cfg.MaxGap <= 0 || perCall <= 0 || engine.GetSets() == 0 || engine.GetPrefillRate() <= 0 {
		return 0
	}
	prompts := float64(engine.GetChunk()) * stride / engine.GetPrefillRate() * 1000
	available := initialGapShare*float64(cfg.MaxGap.Milliseconds()) - engine.GetStepMs()*stride*max(slowdown, speed.Nominal) - prompts
	return max(available/perCall, 1) * float64(engines)
}

// maxGrowth returns by how many calls this entry may grow in a group until the next update:
// its share of one new prompt per engine in each maximum gap. An engine prefills prompts between
// the decode steps of its streams, and all engines of the group wait for it. A burst that
// starts at once, as after a restart, makes every running stream late, whereas callers that
// are late already lose nothing by starting a few tenths of a second later.
func (l groupLoad) maxGrowth(maxGap time.Duration, entries int) int {
	if maxGap <= 0 {
		return math.MaxInt
	}
	prompts := float64(l.engines) * float64(CapacityUpdateInterval) / float64(maxGap)
	return int(math.Ceil(prompts * l.share(entries)))
}
