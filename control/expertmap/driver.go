package expertmap

import (
	"context"
	"log/slog"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/fanout"
	"github.com/lilackeel/lilackeel/group/mapswitch"
	"github.com/lilackeel/lilackeel/group/mapwire"
	"github.com/lilackeel/lilackeel/link"
)

const (
	// tickInterval is the interval at which the coordinators are run.
	tickInterval = 10 * time.Millisecond
	// queueSize bounds the queue of results for the driver.
	queueSize = 256
)

// Log commits commands and returns their results.
type Log interface {
	// Propose returns the *contract.Result of a command that was applied.
	Propose(ctx context.Context, data []byte) (any, error)
}

// Transport sends messages to the agents that serve the ranks.
type Transport interface {
	// Group sends one request to the agent at addr, host:port.
	Group(ctx context.Context, addr string, request *agentv1.GroupRequest) (*agentv1.GroupResponse, error)
}

// Proposer proposes the next map of a group that has no switch in progress.
type Proposer interface {
	// Propose returns a map worth switching to at now, and whether there is one.
	Propose(now time.Duration, group string, current group.Map) (next group.Map, ok bool)
	// Observe records what the ranks of a group have counted.
	Observe(now time.Duration, load *agentv1.ExpertLoad)
	// RecordSwitch records how long a group may have waited at the step of a switch.
	RecordSwitch(now time.Duration, group string, overrun time.Duration)
}

// Config configures a Driver for one term.
type Config struct {
	// State is this replica's copy of the replicated state.
	State *contract.State
	// Log commits the decisions; Transport reaches the agents.
	Log       Log
	Transport Transport
	// Hedger repeats calls through Backup, which uses second connections; nil to repeat none.
	Hedger *link.Hedger
	Backup Transport
	// Proposer may be nil; this driver then begins no switches, but still completes pending
	// ones.
	Proposer Proposer
	// Shapes returns the shapes of the groups. Groups without a shape are not driven.
	Shapes func() map[string]group.Shape
	// ObserveInterval returns the interval at which the Proposer wants to observe a group.
	// Agents that count on their own are called at least twice per interval.
	ObserveInterval func(group string) time.Duration
	// BranchSize is the number of agents that one call reaches through a relay, for agents that
	// forward requests and count on request; zero for agents that do not.
	BranchSize int
	// Token is the fencing token that the log issued at the beginning of the term.
	Token uint64
	// LogTime returns the log time of a command proposed now, in nanoseconds.
	LogTime func() int64
	// Options returns the options of a group's coordinator; nil for the defaults.
	Options func(group string) mapswitch.Options
	// Rescue may be zero; the driver then waits for unresponsive hosts.
	Rescue RescueConfig
	// Logger must be set.
	Logger *slog.Logger
}

// Driver runs the coordinators of all groups for one term.
type Driver struct {
	cfg     Config
	started time.Time
	groups  map[string]*groupState
	// calling holds the agents with a call in progress, failing those that did not answer the
	// last one.
	calling, failing map[string]bool
	results          chan func()
	// deferredPolls holds the agents that were to be called for a poll of the demand while their
	// relay was busy, and whether they are to be asked for counts.
	deferredPolls map[string]bool
	// lastAnswer is when each agent last answered, or was first called.
	lastAnswer map[string]time.Duration
	// ranks maps the ranks to their agents as of revision; plan divides the agents into
	// branches.
	ranks    rankAgents
	plan     fanout.Plan
	revision uint64
}

// groupState is the driver's state of one group.
type groupState struct {
	name        string
	coordinator *mapswitch.Coordinator
	// ownedEpoch is the epoch that this term has begun or adopted.
	ownedEpoch uint64
	// proposed is the map of the switch being begun.
	proposed group.Map
	// committing is set while a proposal is in progress.
	committing bool
	// lastRecord is the committed record that was last given to the coordinator.
	lastRecord *fleetv1.MapRecord
	// pendingSince is when the pending switch was first seen here, phases the time spent in
	// each of its phases.
	pendingSince time.Duration
	phases       *phaseTimes
	// lastPoll is when all agents of the group were last called.
	lastPoll time.Duration
	// mapChange describes the pending map to the ranks; nil if there is none.
	mapChange *agentv1.MapChange
	// lastRescue is when the engines of unresponsive hosts were last checked.
	lastRescue time.Duration
	// rescueTried holds the ranks whose engines have been checked since their hosts became
	// unresponsive.
	rescueTried map[int]bool
	// lastDemandPoll is the last poll of the group's demand.
	lastDemandPoll demandPoll
	// fenced is set once another coordinator has taken over.
	fenced bool
}

// NewDriver returns the driver of a term.
func NewDriver(cfg Config) *Driver {
	return &Driver{
		cfg:           cfg,
		started:       time.Now(),
		groups:        map[string]*groupState{},
		calling:       map[string]bool{},
		failing:       map[string]bool{},
		deferredPolls: map[string]bool{},
		lastAnswer:    map[string]time.Duration{},
		results:       make(chan func(), queueSize),
	}
}

// Run runs the driver until ctx ends.
func (d *Driver) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case result := <-d.results:
			result()
		case <-ticker.C:
			d.tick(ctx)
		}
	}
}

func (d *Driver) now() time.Duration { return time.Since(d.started) }

// post passes a result to Run.
func (d *Driver) post(ctx context.Context, result func()) {
	select {
	case d.results <- result:
	case <-ctx.Done():
	}
}

// tick runs the coordinators of all groups and sends what is due, in one call per branch.
func (d *Driver) tick(ctx context.Context) {
	agents := d.rankAgents()
	out := newOutbox(agents)
	for name, shape := range d.cfg.Shapes() {
		g := d.group(name, shape)
		if g == nil || g.fenced || !agents.complete(name, shape.Ranks) {
			continue
		}
		if d.ensureFirstMap(ctx, g, shape) {
			continue
		}
		d.syncRecord(ctx, g, out)
		d.applyEffects(ctx, g, g.coordinator.Tick(d.now()), out)
		d.propose(ctx, g, shape, out)
		d.rescue(ctx, g, shape, out)
		d.poll(g, shape, out)
	}
	d.send(ctx, out)
}

// noRank is passed in place of a rank for events other than a rank's answer.
const noRank = -1

// recordPhase records the phase of the pending switch after the answer of a rank.
func (g *groupState) recordPhase(now time.Duration, rank int) {
	if g.phases != nil {
		g.phases.record(now, g.coordinator.Phase(), rank)
	}
}

// group returns the state of a group and creates it on first use.
func (d *Driver) group(name string, shape group.Shape) *groupState {
	if g := d.groups[name]; g != nil {
		return g
	}
	record, err := mapwire.RecordOf(d.cfg.State.MapRecord(name), 0)
	if err != nil {
		d.cfg.Logger.Error("the record of an expert map cannot be read", "group", name, "error", err)
		return nil
	}
	var options mapswitch.Options
	if d.cfg.Options != nil {
		options = d.cfg.Options(name)
	}
	g := &groupState{
		name:        name,
		coordinator: mapswitch.NewCoordinator(name, shape.Ranks, d.cfg.Token, record, options),
		rescueTried: map[int]bool{},
	}
	d.groups[name] = g
	return g
}

// syncRecord gives the coordinator the latest committed record if it has changed.
func (d *Driver) syncRecord(ctx context.Context, g *groupState, out *outbox) {
	stored := d.cfg.State.MapRecord(g.name)
	if g.committing || stored == g.lastRecord {
		return
	}
	d.applyRecord(ctx, g, stored, out)
}

func (d *Driver) applyRecord(ctx context.Context, g *groupState, stored *fleetv1.MapRecord, out *outbox) {
	g.lastRecord = stored
	var token uint64
	if stored.GetEpoch() == g.ownedEpoch {
		token = d.cfg.Token
	}
	record, err := mapwire.RecordOf(stored, token)
	if err != nil {
		d.cfg.Logger.Error("the record of an expert map cannot be read", "group", g.name, "error", err)
		return
	}
	if token != 0 && record.PendingEpoch != 0 {
		record.Revision += mapwire.RevisionAdopted
	}
	g.mapChange = d.describeChange(g.name, record.PendingEpoch != 0, stored)
	before := g.coordinator.Record()
	if before.PendingEpoch == 0 && record.PendingEpoch != 0 {
		g.pendingSince = d.now()
	}
	d.applyEffects(ctx, g, g.coordinator.Committed(d.now(), record), out)
	d.logDecision(g, before, g.coordinator.Record())
}

// describeChange describes the pending map of a record by its difference from the map in force.
// It returns nil if there is no such map, or if agents do not forward requests.
func (d *Driver) describeChange(name string, pending bool, stored *fleetv1.MapRecord) *agentv1.MapChange {
	shape, known := d.cfg.Shapes()[name]
	if !pending || !known || d.cfg.BranchSize == 0 || stored.GetBaseEpoch() == 0 {
		return nil
	}
	next, err := mapwire.DecodeStoredMap(stored.GetMap())
	if err != nil {
		return nil // the ranks read the record themselves and report the error
	}
	base, err := mapwire.DecodeStoredMap(stored.GetBaseMap())
	if err != nil {
		return nil
	}
	return mapwire.ChangeOf(name, shape, stored.GetBaseEpoch(), base.Map, stored.GetEpoch(), next.Map)
}

// propose begins the next switch if the group is idle and the proposer has a map worth
// switching to.
func (d *Driver) propose(ctx context.Context, g *groupState, shape group.Shape, out *outbox) {
	pending := g.coordinator.Record().PendingEpoch != 0
	if d.cfg.Proposer == nil || g.committing || pending || g.coordinator.Phase() != mapswitch.PhaseIdle {
		return
	}
	if len(g.coordinator.Unacknowledged()) > 0 || len(d.unresponsive(g.name, shape)) > 0 {
		return
	}
	if overrun, ok := g.coordinator.TakeOverrun(); ok {
		d.cfg.Proposer.RecordSwitch(d.now(), g.name, overrun)
	}
	current, err := d.currentMap(g)
	if err != nil {
		return
	}
	next, ok := d.cfg.Proposer.Propose(d.now(), g.name, current)
	if !ok {
		return
	}
	if err := next.Validate(shape); err != nil {
		d.cfg.Logger.Error("a proposed expert map does not fit its group", "group", g.name, "error", err)
		return
	}
	g.proposed = next
	g.phases = newPhaseTimes(d.now())
	effects, err := g.coordinator.Propose(d.now(), next)
	if err != nil {
		return
	}
	d.applyEffects(ctx, g, effects, out)
}

// currentMap returns the map in force.
func (d *Driver) currentMap(g *groupState) (group.Map, error) {
	stored := d.cfg.State.MapRecord(g.name)
	encoded := stored.GetMap()
	if stored.GetState() != fleetv1.MapState_MAP_STATE_COMMITTED {
		encoded = stored.GetBaseMap()
	}
	latest, err := mapwire.DecodeStoredMap(encoded)
	return latest.Map, err
}

// applyEffects carries out the effects that a coordinator has returned.
func (d *Driver) applyEffects(ctx context.Context, g *groupState, effects []mapswitch.Effect, out *outbox) {
	g.recordPhase(d.now(), noRank)
	for _, effect := range effects {
		switch effect.Kind {
		case mapswitch.Send:
			out.add(effect.Message)
		case mapswitch.Commit:
			d.commit(ctx, g, effect.Entry)
		}
	}
}
