package control

import (
	"time"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/control/expertmap"
	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/balance"
	"github.com/lilackeel/lilackeel/group/mapswitch"
)

// Times of groups that their ranks announce, whose steps take tens of
// milliseconds.
const (
	// followInterval is the time between two looks at their demand.
	followInterval = 150 * time.Millisecond
	// followHold is how long their demand is expected to stay as it is.
	followHold = 2 * time.Second
	// followOrders is the time of a switch in which nothing is copied, as measured:
	// 0.31 to 0.34 s in all, of which two copies take 0.22 s.
	followOrders = 90 * time.Millisecond
	// followStall is what a switch costs beside the copies: some ranks may have to
	// wait a moment for others.
	followStall = 30 * time.Millisecond
	// followSmoothing is the weight of the newest observation of demand.
	followSmoothing = 0.3
	// followJump is the distance between two distributions of demand from which on
	// they are different: jumps measured move 0.2 to 0.5, noise 0.05.
	followJump = 0.12
	// followCopies bounds the number of experts that a rank copies for one switch,
	// a third of a second; how many are worth the wait is weighed for each switch.
	followCopies = 3
	// followMove is what one copy is worth, in seconds of steps.
	followMove = 0.005
	// copySeconds is the time to copy one expert between ranks, and copySlow the
	// part by which steps take longer meanwhile.
	copySeconds = 0.11
	copySlow    = 0.15
	// fixedShare is the part of a step that no map changes, relative to the mean
	// time for experts.
	fixedShare = 0.6
	// leadSteps is the number of steps from the furthest rank to the switch.
	leadSteps = 2
	// promiseWindow is the time in which all ranks have to hold the step of the
	// switch, and prepareTimeout that in which they copy the experts.
	promiseWindow  = 400 * time.Millisecond
	prepareTimeout = 6 * time.Second
)

// formations are the groups that their ranks announce, by the name of their
// present formation.
type formations struct {
	state    *contract.State
	revision uint64
	shapes   map[string]group.Shape
	spare    map[string]int
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
	f.shapes, f.spare = map[string]group.Shape{}, map[string]int{}
	for _, e := range configuration.GetEndpoints() {
		engine := engines[e.GetPool()]
		if e.GetGroupSize() == 0 || engine.GetSets() == 0 || !e.GetLive() {
			continue
		}
		f.shapes[e.GetGroup()] = group.Shape{
			Layers: int(engine.GetSets()), Experts: int(engine.GetExperts()), Ranks: int(e.GetGroupSize()), Slots: int(engine.GetPlaces()),
		}
		f.spare[e.GetGroup()] = int(engine.GetSpare())
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
	return balance.FollowConfig{
		Shape: shape, Reach: balance.Reach{Spare: max(f.spare[name], 1), Copies: followCopies}, Fixed: fixedShare, CopySeconds: copySeconds, CopySlow: copySlow,
		OrderSeconds: followOrders.Seconds(), StallSeconds: followStall.Seconds(), MoveSeconds: followMove, HoldSeconds: followHold.Seconds(), Smoothing: followSmoothing, Jump: followJump,
	}, true
}

// formationsConfig sets up the driver of formations in one term.
func (m *mapper) formationsConfig(l *leadership) expertmap.Config {
	found := &formations{state: m.state}
	return expertmap.Config{
		State: m.state, Log: m.log, Transport: agentTransport{m.pool}, Shapes: found.all, Token: l.fence, LogTime: l.logTime, Logger: m.logger,
		Rescue:       m.rescue(),
		Proposer:     &expertmap.Following{Config: found.config, Interval: followInterval, Logger: m.logger},
		ObserveEvery: func(string) time.Duration { return followInterval },
		Options: func(string) mapswitch.Options {
			return mapswitch.Options{LeadSteps: leadSteps, PromiseWindow: promiseWindow, PrepareTimeout: prepareTimeout}
		},
	}
}
