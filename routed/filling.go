package routed

import (
	"math"
	"time"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/endpoint/concurrency"
)

const (
	// firstSkew is the load of the busiest rank over the mean under a group's first map,
	// which deals the experts in turn.
	firstSkew = 3
	// firstPause is the part of the longest pause that is made use of while a group fills up.
	firstPause = 0.92
)

// firstCalls is how many calls a group may run while it fills up, by what its engines state:
// so many that passes keep the promised pause under the first map while every engine reads
// prompts as fast as it can. Zero if the engines do not state it.
func firstCalls(engine *fleetv1.EngineModel, cfg concurrency.Config, engines int) float64 {
	stride := float64(max(engine.GetStride(), 1))
	each := engine.GetPerRequestMs() * stride * (1 - engine.GetExpertShare() + engine.GetExpertShare()*firstSkew)
	if cfg.MaxGap <= 0 || each <= 0 || engine.GetSets() == 0 || engine.GetPrefillRate() <= 0 {
		return 0
	}
	prompts := float64(engine.GetChunk()) * stride / engine.GetPrefillRate() * 1000
	left := firstPause*float64(cfg.MaxGap.Milliseconds()) - engine.GetStepMs()*stride - prompts
	return max(left/each, 1) * float64(engines)
}

// growth is by how many calls this entry may grow in a group until the next look: its share of
// one new prompt for each engine in the longest pause that streams are promised. An engine reads
// prompts between the tokens of its streams, and all engines of the group wait for it: a crowd
// that begins at once, as after a restart, makes every stream late that runs then, while callers
// who are late already lose nothing by beginning a few tenths of a second later.
func (p poolLoad) growth(pause time.Duration, entries int) int {
	if pause <= 0 {
		return math.MaxInt
	}
	prompts := float64(p.engines) * float64(CapacityUpdateInterval) / float64(pause)
	return int(math.Ceil(prompts * p.share(entries)))
}
