package expertmap

import (
	"log/slog"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/agent/tally"
	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/balance"
)

// followHarness observes a group of 16 ranks every 150 ms, with steps of a given duration. The
// initial map has a skew of about three.
type followHarness struct {
	following *FollowingProposer
	shape     group.Shape
	now       time.Duration
	passes    float64
}

func newFollowHarness(pause time.Duration) *followHarness {
	shape := group.Shape{Layers: 4, Experts: 64, Ranks: 16, Slots: 5}
	config := balance.FollowConfig{
		Shape: shape, Limits: balance.MoveLimits{PerLayer: 2, Total: 10}, FixedRatio: 2.8, CopySeconds: 0.037, CopySlowdown: 0.15,
		CoordinationSeconds: 0.09, StallSeconds: 0.005, MoveSeconds: 0.0004, LifetimeSeconds: 2, Smoothing: 0.3, JumpThreshold: 0.12,
	}
	return &followHarness{shape: shape, following: &FollowingProposer{
		Config: func(string) (balance.FollowConfig, bool) { return config, true },
		MaxGap: func(string) time.Duration { return pause }, Interval: 150 * time.Millisecond, Logger: slog.New(slog.DiscardHandler),
	}}
}

// observe advances the time by 150 ms and reports whether a switch is proposed.
func (h *followHarness) observe(pass time.Duration) bool {
	h.now += 150 * time.Millisecond
	h.passes += float64(150*time.Millisecond) / float64(pass)
	tokens := make([]uint64, h.shape.Layers*h.shape.Experts)
	for i := range tokens {
		tokens[i] = uint64(1000 / math.Pow(float64(i%h.shape.Experts+1), 1.08))
	}
	for rank := range h.shape.Ranks {
		h.following.Observe(h.now, &agentv1.ExpertLoad{
			Group: "g", Layer: tally.AllLayers, Rank: int32(rank), Tokens: tokens, ToStep: uint64(h.passes),
		})
	}
	_, ok := h.following.Propose(h.now, "g", group.RoundRobin(h.shape))
	return ok
}

// The steps of a group were held for a long time at its last two switches. While its steps are
// shorter than the promised gap, the next switch is postponed. If they are longer, all streams
// are late anyway and the switch is proposed.
func TestFollowingSwitchesWhileStreamsAreLate(t *testing.T) {
	is := is.New(t)
	proposed := func(pass time.Duration) bool {
		h := newFollowHarness(120 * time.Millisecond)
		for range 8 {
			h.observe(pass)
		}
		h.following.RecordSwitch(h.now, "g", 300*time.Millisecond)
		h.following.RecordSwitch(h.now, "g", 300*time.Millisecond)
		return h.observe(pass)
	}
	is.True(!proposed(70 * time.Millisecond))
	is.True(proposed(140 * time.Millisecond))
}
