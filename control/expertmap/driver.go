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
)

const (
	// tickInterval is the time between two looks at the coordinators.
	tickInterval = 10 * time.Millisecond
	// queueSize bounds the results that wait for the driver.
	queueSize = 256
)

// Log commits commands and returns their results.
type Log interface {
	// Propose returns the *contract.Result of a command that was applied.
	Propose(ctx context.Context, data []byte) (any, error)
}

// Transport passes messages to the ranks that an agent serves.
type Transport interface {
	// Group sends one request to the agent at addr, host:port.
	Group(ctx context.Context, addr string, request *agentv1.GroupRequest) (*agentv1.GroupResponse, error)
}

// Proposer is asked for the next map of a group that has no switch under way.
type Proposer interface {
	// Propose returns a map worth switching to at now, and whether there is one.
	Propose(now time.Duration, group string, current group.Map) (next group.Map, ok bool)
	// Observe takes in what the ranks of a group counted.
	Observe(now time.Duration, load *agentv1.ExpertLoad)
	// Switched takes in how long a group may have waited at the step of a switch.
	Switched(now time.Duration, group string, waited time.Duration)
}

// Config sets up a Driver for one term.
type Config struct {
	// State is the replicated state of this replica.
	State *contract.State
	// Log commits the decisions; Transport reaches the agents.
	Log       Log
	Transport Transport
	// Proposer may be nil: no switch then begins here.
	Proposer Proposer
	// Shapes returns the shapes of the groups. A group without one is left alone.
	Shapes func() map[string]group.Shape
	// ObserveEvery is the time between two observations that the Proposer wants
	// of a group. Agents that count by themselves are called at least twice in that time.
	ObserveEvery func(group string) time.Duration
	// BranchSize is the number of agents that one call reaches through one of them,
	// where agents pass requests on and count when they are asked; zero where they do not.
	BranchSize int
	// Token is the fencing token that the log gave out for the term.
	Token uint64
	// LogTime returns the log time of a command proposed now, in nanoseconds.
	LogTime func() int64
	// Options returns those of a group's coordinator; nil for the defaults.
	Options func(group string) mapswitch.Options
	// Rescue may be zero: hosts that are silent are then waited for.
	Rescue Rescue
	// Logger must be set.
	Logger *slog.Logger
}

// Driver runs the coordinators of all groups for one term.
type Driver struct {
	cfg     Config
	started time.Time
	groups  map[string]*groupState
	// calling names the agents with a call under way, failing those that have left the
	// last one unanswered.
	calling, failing map[string]bool
	results          chan func()
	// answered is when each agent answered last, or was first called.
	answered map[string]time.Duration
	// ranks says which agents serve the ranks at the revision, plan how they are called.
	ranks    addresses
	plan     fanout.Plan
	revision uint64
}

// groupState is what the driver keeps of one group.
type groupState struct {
	name        string
	coordinator *mapswitch.Coordinator
	// owned is the epoch that this term has begun or adopted.
	owned uint64
	// proposed is the map that is being begun.
	proposed group.Map
	// committing is set while a command is under way.
	committing bool
	// seen is the log's record that the coordinator was last given.
	seen *fleetv1.MapRecord
	// began is when the pending switch was first seen here, stages where its time goes.
	began  time.Duration
	stages *stages
	// polled is when all agents of the group were last called.
	polled time.Duration
	// change describes the pending map to the ranks; nil if none is.
	change *agentv1.MapChange
	// rescuedAt is when the engines of silent hosts were looked at last.
	rescuedAt time.Duration
	// rescued are the ranks whose engines were looked at in the present silence.
	rescued map[int]bool
	// looked is the last look at the group's demand.
	looked look
	// fenced is set once another coordinator has taken over.
	fenced bool
}

// NewDriver returns the driver of a term.
func NewDriver(cfg Config) *Driver {
	return &Driver{
		cfg:      cfg,
		started:  time.Now(),
		groups:   map[string]*groupState{},
		calling:  map[string]bool{},
		failing:  map[string]bool{},
		answered: map[string]time.Duration{},
		results:  make(chan func(), queueSize),
	}
}

// Run drives until ctx ends.
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

// post hands a result to Run.
func (d *Driver) post(ctx context.Context, result func()) {
	select {
	case d.results <- result:
	case <-ctx.Done():
	}
}

// tick looks at every group and sends what is due, one call for each agent.
func (d *Driver) tick(ctx context.Context) {
	agents := d.agents()
	out := newOutbox(agents)
	for name, shape := range d.cfg.Shapes() {
		g := d.group(name, shape)
		if g == nil || g.fenced || !agents.complete(name, shape.Ranks) {
			continue
		}
		if d.ensureFirstMap(ctx, g, shape) {
			continue
		}
		d.learn(ctx, g, out)
		d.effects(ctx, g, g.coordinator.Tick(d.now()), out)
		d.propose(ctx, g, shape, out)
		d.rescue(ctx, g, shape, out)
		d.poll(g, shape, out)
	}
	d.send(ctx, out)
}

// noRank stands for something else than the answer of a rank.
const noRank = -1

// noteStage notes in which phase the pending switch is, after the answer of a rank.
func (g *groupState) noteStage(now time.Duration, rank int) {
	if g.stages != nil {
		g.stages.note(now, g.coordinator.Phase(), rank)
	}
}

// group returns the group's coordinator, made at the first look.
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
		rescued:     map[int]bool{},
	}
	d.groups[name] = g
	return g
}

// learn passes on to the coordinator what the log has committed.
func (d *Driver) learn(ctx context.Context, g *groupState, out *outbox) {
	stored := d.cfg.State.MapRecord(g.name)
	if g.committing || stored == g.seen {
		return
	}
	d.committed(ctx, g, stored, out)
}

func (d *Driver) committed(ctx context.Context, g *groupState, stored *fleetv1.MapRecord, out *outbox) {
	g.seen = stored
	var token uint64
	if stored.GetEpoch() == g.owned {
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
	g.change = d.change(g.name, record.PendingEpoch != 0, stored)
	before := g.coordinator.Record()
	if before.PendingEpoch == 0 && record.PendingEpoch != 0 {
		g.began = d.now()
	}
	d.effects(ctx, g, g.coordinator.Committed(d.now(), record), out)
	d.logDecision(g, before, g.coordinator.Record())
}

// change describes the pending map of a record by its difference to the one in force; nil where
// there is none, or where agents do not pass requests on.
func (d *Driver) change(name string, pending bool, stored *fleetv1.MapRecord) *agentv1.MapChange {
	shape, known := d.cfg.Shapes()[name]
	if !pending || !known || d.cfg.BranchSize == 0 || stored.GetBaseEpoch() == 0 {
		return nil
	}
	next, err := mapwire.DecodeStoredMap(stored.GetMap())
	if err != nil {
		return nil // the ranks read the record, and say what is wrong with it
	}
	base, err := mapwire.DecodeStoredMap(stored.GetBaseMap())
	if err != nil {
		return nil
	}
	return mapwire.ChangeOf(name, shape, stored.GetBaseEpoch(), base.Map, stored.GetEpoch(), next.Map)
}

// propose begins the next switch, if the group is at rest and there is a map
// worth it.
func (d *Driver) propose(ctx context.Context, g *groupState, shape group.Shape, out *outbox) {
	pending := g.coordinator.Record().PendingEpoch != 0
	if d.cfg.Proposer == nil || g.committing || pending || g.coordinator.Phase() != mapswitch.PhaseIdle {
		return
	}
	if len(g.coordinator.Unacknowledged()) > 0 || len(d.silent(g.name, shape)) > 0 {
		return
	}
	if waited, ok := g.coordinator.TakeOverrun(); ok {
		d.cfg.Proposer.Switched(d.now(), g.name, waited)
	}
	current, err := d.current(g)
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
	g.stages = newStages(d.now())
	effects, err := g.coordinator.Propose(d.now(), next)
	if err != nil {
		return
	}
	d.effects(ctx, g, effects, out)
}

// current returns the map in force.
func (d *Driver) current(g *groupState) (group.Map, error) {
	stored := d.cfg.State.MapRecord(g.name)
	encoded := stored.GetMap()
	if stored.GetState() != fleetv1.MapState_MAP_STATE_COMMITTED {
		encoded = stored.GetBaseMap()
	}
	latest, err := mapwire.DecodeStoredMap(encoded)
	return latest.Map, err
}

// effects carries out what a coordinator asks for.
func (d *Driver) effects(ctx context.Context, g *groupState, effects []mapswitch.Effect, out *outbox) {
	g.noteStage(d.now(), noRank)
	for _, effect := range effects {
		switch effect.Kind {
		case mapswitch.Send:
			out.add(effect.Message)
		case mapswitch.Commit:
			d.commit(ctx, g, effect.Entry)
		}
	}
}
