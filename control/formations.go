package control

import (
	"time"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/control/expertmap"
	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/balance"
	"github.com/lilackeel/lilackeel/group/mapswitch"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/site"
)

// Parameters for groups that are formed by their ranks' announcements and whose steps take tens
// of milliseconds. Parameters that depend on the engines are part of the site; see
// newFollowConfig.
const (
	// followInterval is the interval at which the demand on these groups is polled.
	followInterval = 150 * time.Millisecond
	// branchSize is the number of ranks that one call of the leader reaches. A relay collects
	// the counts of the others, 4 KB each at 10 layers of 384 experts: for eight ranks that is
	// about 0.2 MB/s, a quarter of a 6 Mbit/s link.
	branchSize = 8
	// followCoordinationTime is the duration of a switch that copies no experts: two synced log
	// entries and three calls to every rank. 85 to 90 ms were measured with 8 and 16 ranks.
	followCoordinationTime = 90 * time.Millisecond
	// followStallTime is the mean cost of a switch apart from the copies: in some switches an
	// order stays unanswered and makes ranks wait for others.
	followStallTime = 5 * time.Millisecond
	// followSmoothing is the weight of the newest observation of demand.
	followSmoothing = 0.3
	// followJumpThreshold is the distance from which two distributions of demand count as
	// different. It is well above the sampling noise of the counts.
	followJumpThreshold = 0.12
	// followMaxCopies bounds the number of experts that a rank copies in one switch. How many
	// are worth their cost is decided for each switch.
	followMaxCopies = 10
	// copySlowdown is the fraction by which steps take longer while experts are copied.
	copySlowdown = 0.15
	// defaultExpertShare is the experts' share of the time spent on tokens, if the site does
	// not state it.
	defaultExpertShare = 0.85
	// defaultCopySeconds is the time to copy an expert, in seconds, if the site does not state
	// it.
	defaultCopySeconds = 0.1
	// maxLead bounds the number of steps between the most advanced rank and the step of the
	// switch.
	maxLead = 8
	// promiseWindow is the time within which all ranks must hold the step of the switch, and
	// prepareTimeout that within which they must copy the experts.
	promiseWindow  = 400 * time.Millisecond
	prepareTimeout = 6 * time.Second
)

// formations are the groups formed by their ranks' announcements, by the name of their current
// formation.
type formations struct {
	state *contract.State
	// copyPrice is the cost of copying one gigabyte of experts, as an equivalent amount of step
	// time.
	copyPrice time.Duration
	revision  uint64
	shapes    map[string]group.Shape
	engines   map[string]*fleetv1.EngineModel
	// maxGaps are the longest gaps between tokens promised to the streams of each formation.
	maxGaps map[string]time.Duration
}

// groupShapes returns the shapes of all formations whose pool states its experts.
func (f *formations) groupShapes() map[string]group.Shape {
	configuration := f.state.Configuration()
	if f.shapes != nil && f.revision == configuration.GetRevision() {
		return f.shapes
	}
	engines := map[string]*fleetv1.EngineModel{}
	for _, pool := range configuration.GetSite().GetPools() {
		engines[pool.GetName()] = pool.GetEngine()
	}
	gapsByPool := site.MaxGaps(configuration.GetSite().GetRoutes())
	f.shapes, f.engines, f.maxGaps = map[string]group.Shape{}, map[string]*fleetv1.EngineModel{}, map[string]time.Duration{}
	for _, e := range configuration.GetEndpoints() {
		engine := engines[e.GetPool()]
		if e.GetGroupSize() == 0 || engine.GetSets() == 0 || !e.GetLive() {
			continue
		}
		f.shapes[e.GetGroup()] = group.Shape{
			Layers: int(engine.GetSets()), Experts: int(engine.GetExperts()), Ranks: int(e.GetGroupSize()), Slots: int(engine.GetPlaces()),
		}
		f.engines[e.GetGroup()] = engine
		f.maxGaps[e.GetGroup()] = gapsByPool[e.GetPool()]
	}
	f.revision = configuration.GetRevision()
	return f.shapes
}

// followConfig returns the follower configuration of a formation.
func (f *formations) followConfig(name string) (balance.FollowConfig, bool) {
	shape, known := f.groupShapes()[name]
	if !known || shape.Validate() != nil {
		return balance.FollowConfig{}, false
	}
	return newFollowConfig(shape, f.engines[name], f.copyPrice), true
}

// maxGap returns the longest gap between tokens promised to the streams of a formation, or zero
// if there is none.
func (f *formations) maxGap(name string) time.Duration {
	f.groupShapes()
	return f.maxGaps[name]
}

// newFollowConfig derives the follower configuration of a group from its shape and what the
// site states of its engines.
func newFollowConfig(shape group.Shape, engine *fleetv1.EngineModel, copyPrice time.Duration) balance.FollowConfig {
	copySeconds := defaultCopySeconds
	if engine.GetExpertBytes() > 0 && engine.GetLinkRate() > 0 {
		copySeconds = engine.GetExpertBytes() / engine.GetLinkRate()
	}
	return balance.FollowConfig{
		Shape: shape, Limits: balance.MoveLimits{PerLayer: max(int(engine.GetSpare()), 1), Total: followMaxCopies},
		FixedRatio: fixedTimeRatio(engine), CopySeconds: copySeconds, CopySlowdown: copySlowdown,
		CoordinationSeconds: followCoordinationTime.Seconds(), StallSeconds: followStallTime.Seconds(),
		MoveSeconds: copyPrice.Seconds() * engine.GetExpertBytes() / gigabyte, Smoothing: followSmoothing, JumpThreshold: followJumpThreshold,
	}
}

// gigabyte is the unit of copyPrice, in bytes.
const gigabyte = 1e9

// fixedTimeRatio returns the part of a step that does not depend on the map, relative to the
// mean time that a rank spends on experts: the fixed time of the step and the work on tokens
// outside the experts. It assumes ranks with half of their slots in use.
func fixedTimeRatio(engine *fleetv1.EngineModel) float64 {
	share := engine.GetExpertShare()
	if share <= 0 {
		share = defaultExpertShare
	}
	tokens := engine.GetPerRequestMs() * float64(engine.GetSlots()) / 2
	if tokens <= 0 {
		return 1
	}
	return (engine.GetStepMs() + (1-share)*tokens) / (share * tokens)
}

// minStepTime returns the shortest step time of a group, with few requests on every rank.
func minStepTime(engine *fleetv1.EngineModel) time.Duration {
	step := engine.GetStepMs() + engine.GetPerRequestMs()*float64(engine.GetSlots())/4
	return time.Duration(step * float64(max(engine.GetStride(), 1)) * float64(time.Millisecond))
}

// formationsConfig returns the configuration of the formations' driver for one term, which repeats
// calls on the connections in backups.
func (m *mapDriver) formationsConfig(l *leadership, backups *link.Pool) expertmap.Config {
	groups := &formations{state: m.state, copyPrice: m.copyPrice}
	return expertmap.Config{
		State: m.state, Log: m.log, Transport: agentTransport{m.pool}, Hedger: link.NewHedger(backups), Backup: agentTransport{backups},
		Shapes: groups.groupShapes, Token: l.fence, LogTime: l.logTime, Logger: m.logger,
		Rescue:          m.rescueConfig(),
		BranchSize:      branchSize,
		Proposer:        &expertmap.FollowingProposer{Config: groups.followConfig, MaxGap: groups.maxGap, RegularJumps: m.regularJumps, Interval: followInterval, Logger: m.logger},
		ObserveInterval: func(string) time.Duration { return followInterval },
		Options: func(name string) mapswitch.Options {
			return mapswitch.Options{
				StepTime: minStepTime(groups.engines[name]), MaxLead: maxLead, PromiseWindow: promiseWindow, PrepareTimeout: prepareTimeout,
			}
		},
	}
}
