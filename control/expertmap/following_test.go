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
	// current is the map in force and slowdowns what ranks report.
	current   group.Map
	slowdowns map[int]float64
}

func newFollowHarness(pause time.Duration) *followHarness {
	shape := group.Shape{Layers: 4, Experts: 64, Ranks: 16, Slots: 5}
	config := balance.FollowConfig{
		Shape: shape, Limits: balance.MoveLimits{PerLayer: 2, Total: 10}, FixedRatio: 2.8, CopySeconds: 0.037, CopySlowdown: 0.15,
		CoordinationSeconds: 0.09, StallSeconds: 0.005, MoveSeconds: 0.0004, LifetimeSeconds: 2, Smoothing: 0.3, JumpThreshold: 0.12,
	}
	return &followHarness{shape: shape, current: group.RoundRobin(shape), slowdowns: map[int]float64{}, following: &FollowingProposer{
		Config: func(string) (balance.FollowConfig, bool) { return config, true },
		MaxGap: func(string) time.Duration { return pause }, Interval: 150 * time.Millisecond, Logger: slog.New(slog.DiscardHandler),
	}}
}

// observe advances the time by 150 ms and reports whether a switch from the initial map is proposed.
func (h *followHarness) observe(pass time.Duration) bool {
	h.observeLoads(pass)
	_, ok := h.following.Propose(h.now, "g", group.RoundRobin(h.shape))
	return ok
}

// observeLoads advances the time by 150 ms and passes on the loads of all ranks.
func (h *followHarness) observeLoads(pass time.Duration) {
	h.now += 150 * time.Millisecond
	h.passes += float64(150*time.Millisecond) / float64(pass)
	tokens := make([]uint64, h.shape.Layers*h.shape.Experts)
	for i := range tokens {
		tokens[i] = uint64(1000 / math.Pow(float64(i%h.shape.Experts+1), 1.08))
	}
	for rank := range h.shape.Ranks {
		load := &agentv1.ExpertLoad{Group: "g", Layer: tally.AllLayers, Rank: int32(rank), Tokens: tokens, ToStep: uint64(h.passes)}
		if slowdown, ok := h.slowdowns[rank]; ok {
			load.Slowdowns = []*agentv1.RankSlowdown{{Rank: int32(rank), Slowdown: slowdown}}
		}
		h.following.Observe(h.now, load)
	}
}

// follow observes the group and carries out a proposed switch at once.
func (h *followHarness) follow() bool {
	h.observeLoads(70 * time.Millisecond)
	next, ok := h.following.Propose(h.now, "g", h.current)
	if ok {
		h.current = next
	}
	return ok
}

// followFor follows a number of observations and returns the number of switches.
func (h *followHarness) followFor(observations int) (switches int) {
	for range observations {
		if h.follow() {
			switches++
		}
	}
	return switches
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

// Guards against a slowdown that is not heeded at the first poll that reports it, and against maps
// that oscillate once the rank has recovered.
func TestFollowingMovesLoadFromASlowRank(t *testing.T) {
	is := is.New(t)
	h := newFollowHarness(120 * time.Millisecond)
	h.followFor(20)
	h.slowdowns[5] = 2.26
	is.True(h.follow())
	h.followFor(10)
	delete(h.slowdowns, 5)
	h.followFor(20)
	is.Equal(h.followFor(20), 0)
}

// Guards against a switch at each poll where engines state another speed at each.
func TestFollowingIgnoresFlappingSlowdowns(t *testing.T) {
	is := is.New(t)
	h := newFollowHarness(120 * time.Millisecond)
	h.followFor(20)
	switches := 0
	for n := range 80 {
		for rank := range 6 {
			h.slowdowns[rank] = []float64{12, 1}[n%2]
		}
		switches += h.followFor(1)
	}
	is.True(switches <= 5)
}

// Guards against a slowdown that is only heeded at the next poll because its report came after
// enough others for an observation.
func TestFollowingDecidesAgainOnALateSlowdown(t *testing.T) {
	is := is.New(t)
	h := newFollowHarness(120 * time.Millisecond)
	h.followFor(20)
	late := &agentv1.ExpertLoad{Group: "g", Layer: tally.AllLayers, Rank: 5, Slowdowns: []*agentv1.RankSlowdown{{Rank: 5, Slowdown: 2.26}}}
	h.following.Observe(h.now+20*time.Millisecond, late)
	_, ok := h.following.Propose(h.now+20*time.Millisecond, "g", h.current)
	is.True(ok)
}

// Guards against a new leader that gives the slow ranks of the second poll their shares back after
// the first.
func TestFollowingWaitsForTheSpeedsOfAllRanks(t *testing.T) {
	is := is.New(t)
	h := newFollowHarness(120 * time.Millisecond)
	h.shape.Ranks = 64
	config, _ := h.following.Config("g")
	config.Shape = h.shape
	h.following.Config = func(string) (balance.FollowConfig, bool) { return config, true }
	h.current = group.RoundRobin(h.shape)
	h.slowdowns[5] = 2.26
	is.True(!h.follow())
	is.True(h.follow())
}
