package control

import (
	"time"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/control/expertmap"
	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/balance"
	"github.com/lilackeel/lilackeel/group/mapswitch"
	"github.com/lilackeel/lilackeel/site"
)

// Times of groups that their ranks announce, whose steps take tens of milliseconds.
// What depends on the engines comes from the site; see follow.
const (
	// followInterval is the time between two looks at their demand.
	followInterval = 150 * time.Millisecond
	// branchSize is the number of ranks that one call of the leader reaches. A relay takes in
	// the counts of the others, four kilobytes each at 10 layers of 384 experts: with eight
	// that is a fifth of a megabyte a second, a quarter of a link of 6 Mbit/s.
	branchSize = 8
	// followOrders is the time of a switch in which nothing is copied: two synced
	// entries of the log and three calls to every rank. Measured with 8 and 16 ranks:
	// 85 to 90 ms.
	followOrders = 90 * time.Millisecond
	// followStall is what a switch costs beside the copies: an order without an answer
	// makes ranks wait for others, in one switch out of some.
	followStall = 5 * time.Millisecond
	// followSmoothing is the weight of the newest observation of demand.
	followSmoothing = 0.3
	// followJump is the distance between two distributions of demand from which on
	// they are different: well above the noise of counts.
	followJump = 0.12
	// followCopies bounds the number of experts that a rank copies for one switch; how
	// many are worth the wait is weighed for each switch.
	followCopies = 10
	// copySlow is the part by which steps take longer while experts are copied.
	copySlow = 0.15
	// defaultShare is the part of the work for tokens that experts do, where the site
	// does not state it.
	defaultShare = 0.85
	// defaultCopy is the time to copy an expert where the site does not state it.
	defaultCopy = 0.1
	// maxLead bounds the number of steps from the furthest rank to the switch.
	maxLead = 8
	// promiseWindow is the time in which all ranks have to hold the step of the
	// switch, and prepareTimeout that in which they copy the experts.
	promiseWindow  = 400 * time.Millisecond
	prepareTimeout = 6 * time.Second
)

// formations are the groups that their ranks announce, by the name of their
// present formation.
type formations struct {
	state *contract.State
	// copyPrice is what copying a gigabyte is worth, in time of a group's steps.
	copyPrice time.Duration
	revision  uint64
	shapes    map[string]group.Shape
	engines   map[string]*fleetv1.EngineModel
	// pauses are the pauses that the streams of each formation are held to.
	pauses map[string]time.Duration
}

// all returns the shapes of all formations whose pool states its experts.
func (f *formations) all() map[string]group.Shape {
	configuration := f.state.Configuration()
	if f.shapes != nil && f.revision == configuration.GetRevision() {
		return f.shapes
	}
	engines := map[string]*fleetv1.EngineModel{}
	for _, pool := range configuration.GetSite().GetPools() {
		engines[pool.GetName()] = pool.GetEngine()
	}
	pauses := site.Pauses(configuration.GetSite().GetRoutes())
	f.shapes, f.engines, f.pauses = map[string]group.Shape{}, map[string]*fleetv1.EngineModel{}, map[string]time.Duration{}
	for _, e := range configuration.GetEndpoints() {
		engine := engines[e.GetPool()]
		if e.GetGroupSize() == 0 || engine.GetSets() == 0 || !e.GetLive() {
			continue
		}
		f.shapes[e.GetGroup()] = group.Shape{
			Layers: int(engine.GetSets()), Experts: int(engine.GetExperts()), Ranks: int(e.GetGroupSize()), Slots: int(engine.GetPlaces()),
		}
		f.engines[e.GetGroup()] = engine
		f.pauses[e.GetGroup()] = pauses[e.GetPool()]
	}
	f.revision = configuration.GetRevision()
	return f.shapes
}

// config returns how a formation is followed.
func (f *formations) config(name string) (balance.FollowConfig, bool) {
	shape, known := f.all()[name]
	if !known || shape.Validate() != nil {
		return balance.FollowConfig{}, false
	}
	return follow(shape, f.engines[name], f.copyPrice), true
}

// pause is the longest pause that the streams of a formation are held to; zero for none.
func (f *formations) pause(name string) time.Duration {
	f.all()
	return f.pauses[name]
}

// follow works out how a group of a shape is followed from what its engines state.
func follow(shape group.Shape, engine *fleetv1.EngineModel, copyPrice time.Duration) balance.FollowConfig {
	copySeconds := defaultCopy
	if engine.GetExpertBytes() > 0 && engine.GetLinkRate() > 0 {
		copySeconds = engine.GetExpertBytes() / engine.GetLinkRate()
	}
	return balance.FollowConfig{
		Shape: shape, Limits: balance.MoveLimits{PerLayer: max(int(engine.GetSpare()), 1), Total: followCopies},
		FixedRatio: fixedPart(engine), CopySeconds: copySeconds, CopySlowdown: copySlow,
		CoordinationSeconds: followOrders.Seconds(), StallSeconds: followStall.Seconds(),
		MoveSeconds: copyPrice.Seconds() * engine.GetExpertBytes() / gigabyte, Smoothing: followSmoothing, JumpThreshold: followJump,
	}
}

// gigabyte is the unit of the price of copies, in bytes.
const gigabyte = 1e9

// fixedPart is the part of a step that no map changes, relative to the mean time that a
// rank spends on experts: the step's own time, and the work for tokens that is not the
// experts'. It is that of ranks with half of their slots taken.
func fixedPart(engine *fleetv1.EngineModel) float64 {
	share := engine.GetExpertShare()
	if share <= 0 {
		share = defaultShare
	}
	tokens := engine.GetPerRequestMs() * float64(engine.GetSlots()) / 2
	if tokens <= 0 {
		return 1
	}
	return (engine.GetStepMs() + (1-share)*tokens) / (share * tokens)
}

// shortestStep is the shortest time of a step of a group, in which no rank has many calls.
func shortestStep(engine *fleetv1.EngineModel) time.Duration {
	step := engine.GetStepMs() + engine.GetPerRequestMs()*float64(engine.GetSlots())/4
	return time.Duration(step * float64(max(engine.GetStride(), 1)) * float64(time.Millisecond))
}

// formationsConfig sets up the driver of formations in one term.
func (m *mapper) formationsConfig(l *leadership) expertmap.Config {
	found := &formations{state: m.state, copyPrice: m.copyPrice}
	return expertmap.Config{
		State: m.state, Log: m.log, Transport: agentTransport{m.pool}, Shapes: found.all, Token: l.fence, LogTime: l.logTime, Logger: m.logger,
		Rescue:       m.rescue(),
		BranchSize:   branchSize,
		Proposer:     &expertmap.Following{Config: found.config, Pause: found.pause, Interval: followInterval, Logger: m.logger},
		ObserveEvery: func(string) time.Duration { return followInterval },
		Options: func(name string) mapswitch.Options {
			return mapswitch.Options{
				StepTime: shortestStep(found.engines[name]), MaxLead: maxLead, PromiseWindow: promiseWindow, PrepareTimeout: prepareTimeout,
			}
		},
	}
}
