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
	// ticketTTL is how long a ticket may be used for a claim. It is well within the agents'
	// admission window.
	ticketTTL = 5 * time.Second
	// minReconnectDelay and maxReconnectDelay bound the backoff before a report stream is reopened.
	minReconnectDelay = 100 * time.Millisecond
	maxReconnectDelay = 5 * time.Second
)

// ticket is a reading of an agent's clock, and when it was received.
type ticket struct {
	incarnation uint64
	ns          int64
	received    time.Time
}

// FreshnessSource provides the freshness of the entry's configuration. feed.Client implements it.
type FreshnessSource interface {
	// Freshness returns a revision and a local monotonic time such that a quorum
	// had confirmed, at that time or later, that no higher revision had been
	// accepted; ok is false before the first confirmation.
	Freshness() (revision uint64, at time.Time, ok bool)
}

// ReportSubscriber subscribes to the reports of all agents, which contain loads, cache events and
// tickets, and publishes the entry's own reports to hosts. It implements TargetResolver. No other
// lock is taken while its lock is held.
type ReportSubscriber struct {
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
	// readers is how many entries read the reports of a host, by the address of each host that
	// reports it.
	readers map[string]int
	// engines are the addresses of the engines that a host reports on, by the host's address.
	engines    map[string][]string
	tickets    map[string]ticket
	cancels    map[string]context.CancelFunc
	agentNames map[string]string
}

// NewReportSubscriber returns a ReportSubscriber without subscriptions.
func NewReportSubscriber(cfg Config, pool *link.Pool, table *endpoint.Table, loads *load.Tracker, index *prefix.Index, outliers *outlier.Detector, groups *lockstep.Tracker, freshness FreshnessSource, crashes *quarantine.Tracker, limits *RateLimits, suspects *suspicion.Tracker, logger *slog.Logger) *ReportSubscriber {
	return &ReportSubscriber{
		config: cfg, pool: pool, table: table, loads: loads, index: index, outliers: outliers, groups: groups, freshness: freshness, crashes: crashes, limits: limits, suspects: suspects, logger: logger,
		readers: map[string]int{}, engines: map[string][]string{}, tickets: map[string]ticket{}, cancels: map[string]context.CancelFunc{}, agentNames: map[string]string{},
	}
}

// SetAgents replaces the set of agents that the subscriber reads reports from. The map holds their
// names by address.
func (p *ReportSubscriber) SetAgents(ctx context.Context, agents map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.agentNames = agents
	for addr, stop := range p.cancels {
		if _, wanted := agents[addr]; !wanted {
			stop()
			delete(p.cancels, addr)
			delete(p.tickets, addr)
			delete(p.readers, addr)
			delete(p.engines, addr)
			p.pool.Drop(addr)
		}
	}
	for addr := range agents {
		if _, subscribed := p.cancels[addr]; subscribed {
			continue
		}
		subscription, stop := context.WithCancel(ctx)
		p.cancels[addr] = stop
		go p.subscribe(subscription, addr)
	}
}

// subscribe reads the reports of one agent until ctx ends, and reconnects with backoff.
func (p *ReportSubscriber) subscribe(ctx context.Context, addr string) {
	delay := minReconnectDelay
	for ctx.Err() == nil {
		received, err := p.readReports(ctx, addr)
		if ctx.Err() != nil {
			return
		}
		p.logger.DebugContext(ctx, "report stream of an agent ended", slog.String("agent", addr), slog.Any("error", err))
		p.dropTicket(addr)
		p.clearGroupReports(addr)
		if received {
			delay = minReconnectDelay
		}
		wait.For(ctx, delay/2+rand.N(delay/2+1))
		delay = min(2*delay, maxReconnectDelay)
	}
}

// readReports handles reports until the stream ends. received is true if there was at least one.
func (p *ReportSubscriber) readReports(ctx context.Context, addr string) (received bool, err error) {
	connection, err := p.pool.Get(addr)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := agentv1.NewAgentClient(connection).Reports(ctx, &agentv1.ReportsRequest{
		Entry: p.config.Name, IntervalMs: p.config.ReportInterval.Milliseconds(), CrashReports: p.knownCrashReports(), RateLimits: p.limits.directLimits(),
	})
	if err != nil {
		return false, err
	}
	for {
		report, err := stream.Recv()
		if err != nil {
			return received, err
		}
		received = true
		p.HandleReport(addr, report, time.Now())
	}
}

// clearGroupReports drops the last reported group states of the engines of a host whose report
// stream has ended.
func (p *ReportSubscriber) clearGroupReports(addr string) {
	p.mu.Lock()
	engines := p.engines[addr]
	p.mu.Unlock()
	for _, engine := range engines {
		p.groups.ClearReport(engine)
	}
}

func (p *ReportSubscriber) dropTicket(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.tickets, addr)
}

// Readers returns how many entries read the reports of a host, including this one. It is the
// median over the hosts, since a host may not have noticed yet that an entry is gone, and zero if
// no host reports it.
func (p *ReportSubscriber) Readers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.readers) == 0 {
		return 0
	}
	counts := slices.Sorted(maps.Values(p.readers))
	return counts[len(counts)/2]
}

// Resolve implements TargetResolver.
func (p *ReportSubscriber) Resolve(e *endpoint.Endpoint) (call.Target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := call.Target{Endpoint: e.ID, Agent: p.agentNames[e.AgentAddr], AgentAddr: e.AgentAddr, Incarnation: e.Incarnation}
	latest, ok := p.tickets[e.AgentAddr]
	if !ok {
		return t, false
	}
	t.Incarnation = latest.incarnation
	t.TicketNS = latest.ns
	return t, time.Since(latest.received) <= ticketTTL
}

// Renew implements TargetResolver.
func (p *ReportSubscriber) Renew(t call.Target) (call.Target, bool) {
	e, ok := p.table.Get(t.Endpoint)
	if !ok {
		return t, false
	}
	renewed, _ := p.Resolve(&e)
	return renewed, true
}

// Freshness implements TargetResolver. The difference between two readings of the entry's clock
// translates the time of the last confirmation into the clock of the agent.
func (p *ReportSubscriber) Freshness(addr string) *agentv1.Freshness {
	revision, confirmed, ok := p.freshness.Freshness()
	if !ok {
		return nil
	}
	p.mu.Lock()
	latest, hasTicket := p.tickets[addr]
	p.mu.Unlock()
	if !hasTicket {
		return nil
	}
	return &agentv1.Freshness{AgentTimeNs: latest.ns, OffsetNs: confirmed.Sub(latest.received).Nanoseconds(), Revision: revision}
}
