package ranks

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/lilackeel/lilackeel/agent/engineapi"
	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/group/mapswitch"
	"github.com/lilackeel/lilackeel/group/mapwire"
)

// tickInterval is the interval between ticks of the ranks' state machines.
const tickInterval = 10 * time.Millisecond

// Member is one rank that the agent serves.
type Member struct {
	// Group is the name of the rank's group, Rank its number within the group, from 0.
	Group string
	Rank  int
	// Endpoint is the id of the engine.
	Endpoint string
}

// Control provides linearizable reads from the control replicas.
type Control interface {
	// ReadMap returns the record of a group and the fencing token of the coordinator that wrote it
	// last. The read is linearizable.
	ReadMap(ctx context.Context, group string) (record *fleetv1.MapRecord, fence uint64, err error)
}

// Engines sends requests to the engines of the host.
type Engines interface {
	// LoadMap sends an order to load a map, with a fencing token not lower than the order's. It returns
	// once the weights are loaded.
	LoadMap(ctx context.Context, endpoint string, order engineapi.Order) error
	// ReadExperts reads the token counts of an engine's experts.
	ReadExperts(ctx context.Context, endpoint string) (engineapi.ExpertCounts, error)
}

// Config is the configuration of Ranks.
type Config struct {
	// Members are the ranks that the agent serves.
	Members []Member
	// Control reads the decided records, Engines sends requests to the engines.
	Control Control
	Engines Engines
	// StepsAhead is the maximum number of steps granted from an engine's position on.
	StepsAhead int
	// ExpertInterval is the minimum time between reads of the expert counts.
	ExpertInterval time.Duration
	Logger         *slog.Logger
}

// Ranks runs the drivers of all ranks of an agent.
type Ranks struct {
	cfg     Config
	started time.Time
	// background is the context of reads and orders. It ends with Run.
	background context.Context
	cancel     context.CancelFunc

	mu      sync.Mutex
	drivers map[rankKey]*rankDriver
	readers map[string]*recordReader
	// outbox holds, for each rank, the latest message of each kind to the coordinator.
	outbox map[outboxKey]mapswitch.Message
	// lastExpertRead is the time of the last read of the expert counts.
	lastExpertRead time.Duration
}

type rankKey struct {
	group string
	rank  int
}

type outboxKey struct {
	rankKey
	kind mapswitch.Kind
}

// New returns the Ranks of the members. No step is granted before Run.
func New(cfg Config) *Ranks {
	r := &Ranks{
		cfg:            cfg,
		started:        time.Now(),
		drivers:        make(map[rankKey]*rankDriver),
		readers:        make(map[string]*recordReader),
		outbox:         make(map[outboxKey]mapswitch.Message),
		lastExpertRead: -cfg.ExpertInterval,
	}
	r.background, r.cancel = context.WithCancel(context.Background())
	for _, member := range cfg.Members {
		r.drivers[rankKey{member.Group, member.Rank}] = newRankDriver(member)
		r.readers[member.Group] = &recordReader{ranks: r, group: member.Group, interval: minReadInterval}
	}
	return r
}

// HasMembers reports whether the agent serves any rank.
func (r *Ranks) HasMembers() bool { return len(r.drivers) > 0 }

// Run ticks the state machines until ctx ends.
func (r *Ranks) Run(ctx context.Context) {
	defer r.cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for r.HasMembers() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.tick()
		}
	}
}

func (r *Ranks) now() time.Duration { return time.Since(r.started) }

func (r *Ranks) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.drivers {
		r.deliver(d.rank.Tick(r.now()))
	}
}

// Group implements the Group call of the Agent service: it passes the coordinator's messages to the
// ranks, and returns the messages and expert loads that they have for the coordinator.
func (r *Ranks) Group(request *agentv1.GroupRequest) (*agentv1.GroupResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, message := range request.GetMessages() {
		m, err := mapwire.FromProto(message)
		if err != nil {
			return nil, err
		}
		driver := r.drivers[rankKey{m.Group, m.Rank}]
		if driver == nil || m.Kind.Destination() != mapswitch.ToRank {
			continue
		}
		r.deliver(driver.step(r.now(), m))
	}
	response := &agentv1.GroupResponse{Loads: r.takeExpertLoads()}
	for key, m := range r.outbox {
		response.Messages = append(response.Messages, mapwire.ToProto(m))
		delete(r.outbox, key)
	}
	r.startExpertReads()
	return response, nil
}

// deliver routes the messages of the ranks to their destinations. The caller holds the mutex.
func (r *Ranks) deliver(messages []mapswitch.Message) {
	for _, m := range messages {
		switch m.Kind.Destination() {
		case mapswitch.ToCoordinator:
			r.outbox[outboxKey{rankKey{m.Group, m.Rank}, m.Kind}] = m
		case mapswitch.ToControl:
			r.readers[m.Group].enqueue(m)
		case mapswitch.ToEngine:
			r.loadMap(m)
		}
	}
}
