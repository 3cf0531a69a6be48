package entry

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/overload"
	"github.com/lilackeel/lilackeel/site"
	"github.com/lilackeel/lilackeel/wait"
)

const (
	// demandTimeout is how long an entry waits for the response of a host to its demand before it
	// asks the next one.
	demandTimeout = 150 * time.Millisecond
	// demandJitter is the fraction by which the interval varies, so that the entries do not all
	// publish at the same time.
	demandJitter = 0.1
)

// shedding keeps the decision of package overload for the pools whose requests are ordered by level,
// and counts the demand for them. In other pools, nothing is counted and nothing is shed. No other
// lock is taken while its lock is held.
type shedding struct {
	leastShare float64

	mu    sync.Mutex
	pools map[string]*poolShedding
}

// poolShedding is the state of one pool.
type poolShedding struct {
	counter    overload.Counter
	controller *overload.Controller
	// slots is how many calls this entry may have in flight in the pool; zero if that is not known.
	slots int
	// metrics holds the metrics of each level that has had requests.
	metrics map[int]*levelMetrics
	// loggedLevel is the admitted level that was logged last, at the time loggedAt.
	loggedLevel int
	loggedAt    time.Duration
}

// levelMetrics counts the requests of one level of a pool.
type levelMetrics struct{ arrivals, admitted, shed *metrics.Counter }

// level returns the metrics of a level.
func (p *poolShedding) level(pool string, level int) *levelMetrics {
	m := p.metrics[level]
	if m == nil {
		m = &levelMetrics{
			arrivals: metrics.GetOrCreateCounter(fmt.Sprintf(`lilackeel_level_arrivals_total{pool=%q,level="%d"}`, pool, level)),
			admitted: metrics.GetOrCreateCounter(fmt.Sprintf(`lilackeel_level_admitted_total{pool=%q,level="%d"}`, pool, level)),
			shed:     metrics.GetOrCreateCounter(fmt.Sprintf(`lilackeel_level_shed_total{pool=%q,level="%d"}`, pool, level)),
		}
		p.metrics[level] = m
	}
	return m
}

// admittedLevelGauge returns the name of the gauge of a pool's admitted level.
func admittedLevelGauge(pool string) string {
	return fmt.Sprintf(`lilackeel_admitted_level{pool=%q}`, pool)
}

func newShedding(leastShare float64) *shedding {
	return &shedding{leastShare: leastShare, pools: map[string]*poolShedding{}}
}

// setPools sets the pools whose requests are ordered by level.
func (s *shedding) setPools(leveled map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for pool := range s.pools {
		if !leveled[pool] {
			delete(s.pools, pool)
			metrics.UnregisterMetric(admittedLevelGauge(pool))
		}
	}
	for pool := range leveled {
		if s.pools[pool] == nil {
			p := &poolShedding{controller: overload.NewController(s.leastShare), metrics: map[int]*levelMetrics{}, loggedLevel: site.MaxLevel}
			s.pools[pool] = p
			metrics.GetOrCreateGauge(admittedLevelGauge(pool), nil).Set(site.MaxLevel)
		}
	}
}

// names returns the pools in sorted order.
func (s *shedding) names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.pools))
	for pool := range s.pools {
		names = append(names, pool)
	}
	slices.Sort(names)
	return names
}

// update calls change with the state of a pool, if its requests are ordered by level.
func (s *shedding) update(pool string, change func(p *poolShedding, now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pools[pool]; p != nil {
		change(p, time.Since(processStart))
	}
}

// limitSlots records how many calls this entry may have in flight in a pool, zero if that is not
// known, and returns how many of the slots for requests on time it may use while levels are shed. A
// hold time of zero means that none has been measured; the slots are not limited then.
func (s *shedding) limitSlots(pool string, slots, onTime int, holdTime time.Duration) int {
	s.update(pool, func(p *poolShedding, now time.Duration) {
		p.slots = slots
		if holdTime <= 0 {
			return
		}
		if limit, limited := p.controller.Slots(p.counter.Demand(now, 0), holdTime); limited {
			onTime = min(onTime, limit)
		}
	})
	return onTime
}

// count counts an arrival, and countAdmitted a request that got a slot.
func (s *shedding) count(pool string, level int) {
	s.update(pool, func(p *poolShedding, now time.Duration) {
		p.counter.Arrive(now, level)
		p.level(pool, level).arrivals.Inc()
	})
}

func (s *shedding) countAdmitted(pool string, level int) {
	s.update(pool, func(p *poolShedding, now time.Duration) {
		p.counter.Admit(now, level)
		p.level(pool, level).admitted.Inc()
	})
}

// countRefused counts a request that the queue has refused as shed, if its level is not admitted
// whole.
func (s *shedding) countRefused(pool string, level int) {
	s.update(pool, func(p *poolShedding, _ time.Duration) {
		if p.controller.Decision().Fraction(level) < 1 {
			p.level(pool, level).shed.Inc()
		}
	})
}

// goesFirst reports whether late requests of a level go before on-time requests of lower-priority
// levels.
func (s *shedding) goesFirst(pool string, level int) bool {
	first := false
	s.update(pool, func(p *poolShedding, _ time.Duration) {
		decision := p.controller.Decision()
		first = decision.Shedding && decision.Fraction(level) == 1
	})
	return first
}

// retryAfter returns when a request of a level may be sent again, at most maxDelay; shed is false if
// the level is admitted whole.
func (s *shedding) retryAfter(pool string, level int, maxDelay time.Duration) (delay time.Duration, shed bool) {
	s.update(pool, func(p *poolShedding, _ time.Duration) {
		delay, shed = p.controller.RetryAfter(level, rand.Float64(), maxDelay), p.controller.Decision().Fraction(level) < 1
	})
	return delay, shed
}

// demand returns the demand of this entry for a pool. Without slots or a measured hold time, the
// capacity is not known, and the demand is left out too: the sums would be wrong otherwise.
func (a *AdmissionController) demand(pool string) *overload.Demand {
	holdTime, measured := a.gate(pool).MeasuredHoldTime()
	demand := &overload.Demand{Entries: 1}
	a.shedding.update(pool, func(p *poolShedding, now time.Duration) {
		if measured && p.slots > 0 {
			demand = p.counter.Demand(now, float64(p.slots)/max(holdTime, time.Millisecond).Seconds())
		}
	})
	return demand
}

// DemandExchange publishes the demand of this entry for the pools whose requests are ordered by
// level to hosts, and updates the decision which levels are shed from the sums over all entries.
type DemandExchange struct {
	name      string
	admission *AdmissionController
	permits   *PermitClient
	logger    *slog.Logger
}

// NewDemandExchange returns a DemandExchange that uses the hosts of the permit client.
func NewDemandExchange(cfg Config, admission *AdmissionController, permits *PermitClient, logger *slog.Logger) *DemandExchange {
	return &DemandExchange{name: cfg.Name, admission: admission, permits: permits, logger: logger}
}

// run exchanges demand until ctx ends.
func (x *DemandExchange) run(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		x.exchange(ctx)
		interval := overload.Interval(max(x.permits.readers(), x.permits.peers))
		jitter := 1 + demandJitter*(rand.Float64()-0.5)
		wait.For(ctx, time.Duration(jitter*float64(interval))-time.Since(started))
	}
}

// exchange exchanges the demand for all pools once.
func (x *DemandExchange) exchange(ctx context.Context) {
	var pools sync.WaitGroup
	for _, pool := range x.admission.shedding.names() {
		pools.Go(func() { x.exchangePool(ctx, pool) })
	}
	pools.Wait()
}

// exchangePool publishes the demand for one pool to the first host that answers. The order of the
// hosts is the same at all entries. Without a host, the entry decides by its own demand.
func (x *DemandExchange) exchangePool(ctx context.Context, pool string) {
	demand := x.admission.demand(pool)
	for _, addr := range x.permits.permitHosts(pool) {
		if x.permits.inBackoff(addr, time.Since(processStart)) {
			continue
		}
		sums, err := x.publish(ctx, addr, pool, demand)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			x.logger.DebugContext(ctx, "publishing the demand to a host failed", slog.String("agent", addr), slog.Any("error", err))
			x.permits.backOff(addr, time.Since(processStart))
			continue
		}
		if sums != nil {
			demand = sums
		}
		break
	}
	x.update(ctx, pool, demand)
}

// minLevelLogInterval is the minimum time between two log lines about the admitted level of a pool.
const minLevelLogInterval = time.Second

// update decides anew which levels of a pool are shed.
func (x *DemandExchange) update(ctx context.Context, pool string, demand *overload.Demand) {
	level, former, isLogged := 0, 0, false
	x.admission.shedding.update(pool, func(p *poolShedding, now time.Duration) {
		p.controller.Update(now, demand)
		level, former = p.controller.Decision().Threshold, p.loggedLevel
		metrics.GetOrCreateGauge(admittedLevelGauge(pool), nil).Set(float64(level))
		if isLogged = level != former && (p.loggedAt == 0 || now-p.loggedAt >= minLevelLogInterval); isLogged {
			p.loggedLevel, p.loggedAt = level, now
		}
	})
	if isLogged {
		x.logger.LogAttrs(ctx, slog.LevelInfo, "the admitted level of a pool changed",
			slog.String("pool", pool), slog.Int("priority_level", level), slog.Int("former", former),
			slog.Float64("arrivals", demand.Arrivals()), slog.Float64("capacity", demand.Capacity), slog.Int("entries", demand.Entries))
	}
}

// publish publishes the demand to one host and returns the sums over all entries.
func (x *DemandExchange) publish(ctx context.Context, addr, pool string, demand *overload.Demand) (*overload.Demand, error) {
	connection, err := x.permits.pool.Get(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	response, err := agentv1.NewAgentClient(connection).PublishDemand(ctx, &agentv1.PublishDemandRequest{
		Entry: x.name, Pools: overload.ToProto(map[string]*overload.Demand{pool: demand}),
	})
	if err != nil {
		return nil, err
	}
	return overload.FromProto(response.GetPools())[pool], nil
}
