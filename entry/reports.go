package entry

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/endpoint/lockstep"
	"github.com/lilackeel/lilackeel/endpoint/outlier"
	"github.com/lilackeel/lilackeel/endpoint/prefix"
	"github.com/lilackeel/lilackeel/endpoint/suspicion"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/quarantine"
	"github.com/lilackeel/lilackeel/wait"
)

const (
	// ticketTTL is how long a ticket may be used for a claim. It is well
	// within the agents' admission window.
	ticketTTL = 5 * time.Second
	// minReconnectPause and maxReconnectPause bound the pause before reports are asked
	// for again.
	minReconnectPause = 100 * time.Millisecond
	maxReconnectPause = 5 * time.Second
)

// ticket is an agent's time, as it said it, and when it came.
type ticket struct {
	incarnation uint64
	ns          int64
	received    time.Time
}

// FreshnessSource says how fresh the entry's own configuration is; feed.Client
// is one.
type FreshnessSource interface {
	// Freshness returns a revision and a local monotonic time such that a quorum
	// had confirmed, at that time or later, that no higher revision had been
	// accepted; ok is false before the first confirmation.
	Freshness() (revision uint64, at time.Time, ok bool)
}

// Reports follows the reports of all agents: loads, cache events and tickets.
// It is a Knowledge. Its lock is held while no other lock is taken.
type Reports struct {
	config    Config
	pool      *link.Pool
	table     *endpoint.Table
	loads     *load.Tracker
	index     *prefix.Index
	outliers  *outlier.Detector
	groups    *lockstep.Tracker
	freshness FreshnessSource
	crashes   *quarantine.Tracker
	limits    *RateLimits
	suspects  *suspicion.Tracker
	logger    *slog.Logger

	mu sync.Mutex
	// readers is how many entries read the reports of each host that says so.
	readers map[string]int
	// engines are the addresses of the engines that a host speaks for.
	engines map[string][]string
	tickets map[string]ticket
	stops   map[string]context.CancelFunc
	names   map[string]string
}

// NewReports returns Reports that follow no agent yet.
func NewReports(cfg Config, pool *link.Pool, table *endpoint.Table, loads *load.Tracker, index *prefix.Index, outliers *outlier.Detector, groups *lockstep.Tracker, freshness FreshnessSource, crashes *quarantine.Tracker, limits *RateLimits, suspects *suspicion.Tracker, logger *slog.Logger) *Reports {
	return &Reports{
		config: cfg, pool: pool, table: table, loads: loads, index: index, outliers: outliers, groups: groups, freshness: freshness, crashes: crashes, limits: limits, suspects: suspects, logger: logger,
		readers: map[string]int{}, engines: map[string][]string{}, tickets: map[string]ticket{}, stops: map[string]context.CancelFunc{}, names: map[string]string{},
	}
}

// Follow follows exactly the agents of the given addresses, each with its name.
func (p *Reports) Follow(ctx context.Context, agents map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.names = agents
	for addr, stop := range p.stops {
		if _, wanted := agents[addr]; !wanted {
			stop()
			delete(p.stops, addr)
			delete(p.tickets, addr)
			delete(p.readers, addr)
			delete(p.engines, addr)
			p.pool.Drop(addr)
		}
	}
	for addr := range agents {
		if _, followed := p.stops[addr]; followed {
			continue
		}
		following, stop := context.WithCancel(ctx)
		p.stops[addr] = stop
		go p.follow(following, addr)
	}
}

// follow reads the reports of one agent until ctx ends.
func (p *Reports) follow(ctx context.Context, addr string) {
	pause := minReconnectPause
	for ctx.Err() == nil {
		reported, err := p.read(ctx, addr)
		if ctx.Err() != nil {
			return
		}
		p.logger.DebugContext(ctx, "the reports of an agent ended", slog.String("agent", addr), slog.Any("error", err))
		p.forgetTicket(addr)
		p.silent(addr)
		if reported {
			pause = minReconnectPause
		}
		wait.For(ctx, pause/2+rand.N(pause/2+1))
		pause = min(2*pause, maxReconnectPause)
	}
}

// read takes in reports until the stream breaks.
func (p *Reports) read(ctx context.Context, addr string) (reported bool, err error) {
	connection, err := p.pool.Get(addr)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := agentv1.NewAgentClient(connection).Reports(ctx, &agentv1.ReportsRequest{
		Entry: p.config.Name, IntervalMs: p.config.ReportInterval.Milliseconds(), CrashReports: p.known(), RateLimits: p.limits.known(),
	})
	if err != nil {
		return false, err
	}
	for {
		report, err := stream.Recv()
		if err != nil {
			return reported, err
		}
		reported = true
		p.Take(addr, report, time.Now())
	}
}

// silent drops what the host at an address has last said of its engines' groups.
func (p *Reports) silent(addr string) {
	p.mu.Lock()
	engines := p.engines[addr]
	p.mu.Unlock()
	for _, engine := range engines {
		p.groups.ClearReport(engine)
	}
}

func (p *Reports) forgetTicket(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.tickets, addr)
}

// Readers returns how many entries read the reports of a host, this one included: the
// median over the hosts, since a host may not have noticed the end of one yet. It is
// zero where no host says.
func (p *Reports) Readers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.readers) == 0 {
		return 0
	}
	counts := slices.Sorted(maps.Values(p.readers))
	return counts[len(counts)/2]
}

// Target implements Knowledge.
func (p *Reports) Target(e *endpoint.Endpoint) (call.Target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := call.Target{Endpoint: e.ID, Agent: p.names[e.AgentAddr], AgentAddr: e.AgentAddr, Incarnation: e.Incarnation}
	known, ok := p.tickets[e.AgentAddr]
	if !ok {
		return t, false
	}
	t.Incarnation = known.incarnation
	t.TicketNS = known.ns
	return t, time.Since(known.received) <= ticketTTL
}

// Renew implements Knowledge.
func (p *Reports) Renew(t call.Target) (call.Target, bool) {
	e, ok := p.table.Get(t.Endpoint)
	if !ok {
		return t, false
	}
	renewed, _ := p.Target(&e)
	return renewed, true
}

// Freshness implements Knowledge. The difference of two readings of the entry's
// clock carries its knowledge into the clock of the agent.
func (p *Reports) Freshness(addr string) *agentv1.Freshness {
	revision, confirmed, ok := p.freshness.Freshness()
	if !ok {
		return nil
	}
	p.mu.Lock()
	known, ticketed := p.tickets[addr]
	p.mu.Unlock()
	if !ticketed {
		return nil
	}
	return &agentv1.Freshness{AgentTimeNs: known.ns, OffsetNs: confirmed.Sub(known.received).Nanoseconds(), Revision: revision}
}
