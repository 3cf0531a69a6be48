package routed

import (
	"log/slog"
	"maps"
	"math"
	"strings"
	"sync"
	"time"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/concurrency"
	"github.com/lilackeel/lilackeel/endpoint/lockstep"
	"github.com/lilackeel/lilackeel/endpoint/speed"
	"github.com/lilackeel/lilackeel/site"
)

// CapacityUpdateInterval is the interval between updates of the pools' capacity, about the
// interval between two load reports of an endpoint.
const CapacityUpdateInterval = 100 * time.Millisecond

// minRetained is the fraction of its calls in flight that an entry keeps at each update while
// the pool exceeds its limit. Knowledge of the other entries' calls lags by some updates, so
// that releasing the whole excess at once would leave the pool idle.
const minRetained = 0.9

// CapacitySetter is told how many calls this entry may have in flight in a pool.
type CapacitySetter interface {
	// SetPoolCapacity sets the capacity of a pool.
	SetPoolCapacity(pool string, capacity PoolCapacity)
}

// poolGroup identifies the endpoints of a pool that run their steps in lock-step.
type poolGroup struct{ pool, group string }

// groupLimits limits the calls in flight in each lock-step group to the number at which the
// group meets the promised gap: the time between two chunks of a stream that the routes to its
// pool promise not to exceed. Entries do not see each other's calls. Each uses the
// endpoints' load reports and the calls it has sent since, and takes its share of the
// remaining capacity.
type groupLimits struct {
	mu     sync.Mutex
	groups map[poolGroup]*groupLimit
}

// groupLimit is the limiter of one group and its latest configuration.
type groupLimit struct {
	limiter concurrency.Limiter
	config  concurrency.Config
	// loggedLimit is the last logged limit, at the time loggedAt; zero if there is none.
	loggedLimit float64
	loggedAt    time.Duration
}

func newGroupLimits() *groupLimits { return &groupLimits{groups: map[poolGroup]*groupLimit{}} }

// group returns the limiter of a group and creates it at first use. The caller must hold the
// lock.
func (t *groupLimits) group(name poolGroup) *groupLimit {
	g := t.groups[name]
	if g == nil {
		g = &groupLimit{}
		t.groups[name] = g
	}
	return g
}

// observe records the gap between two chunks of a stream.
func (t *groupLimits) observe(name poolGroup, now, gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.group(name)
	g.limiter.Observe(now, gap, g.config)
}

// update returns the limit of a group whose slowest rank has the given slowdown, the slowdown that is
// in effect there, and whether the limit has changed enough to be logged.
func (t *groupLimits) update(name poolGroup, now time.Duration, cfg concurrency.Config, running, slowdown float64, state lockstep.State) (limit, effectiveSlowdown float64, logLimit bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.group(name)
	g.config = cfg
	if state == lockstep.Closed {
		g.limiter.Reset(now, cfg)
	}
	g.limiter.SetSlowdown(now, slowdown, cfg)
	limit = g.limiter.Update(now, cfg, running)
	return limit, g.limiter.Slowdown(), g.shouldLog(now, limit)
}

// retain discards the groups that no longer have endpoints.
func (t *groupLimits) retain(present map[poolGroup]groupLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.groups, func(name poolGroup, _ *groupLimit) bool {
		_, ok := present[name]
		return !ok
	})
}

// minLoggedChange is the relative change of a limit that is logged; minLogInterval is the
// minimum time between two such log lines of a group.
const (
	minLoggedChange = 0.15
	minLogInterval  = time.Second
)

// shouldLog reports whether a limit has changed enough to be logged, and if so records it as
// logged.
func (g *groupLimit) shouldLog(now time.Duration, limit float64) bool {
	if g.loggedLimit > 0 && (now-g.loggedAt < minLogInterval || math.Abs(limit-g.loggedLimit) < minLoggedChange*g.loggedLimit) {
		return false
	}
	g.loggedLimit, g.loggedAt = limit, now
	return true
}

// groupLoad is the known load of a group.
type groupLoad struct {
	engines, slots, ownCalls int
	running                  float64
	// paused is the number of endpoints that have asked for a pause. openSlots is the number of
	// slots of the other endpoints, plus one for each paused endpoint that may be probed;
	// openRunning is the number of calls that the other endpoints run.
	paused, openSlots int
	openRunning       float64
	// slowdown is that of the slowest rank; zero is nominal.
	slowdown float64
	// reopensAt is when the first paused endpoint accepts requests again.
	reopensAt time.Duration
}

// UpdateCapacity recomputes the capacity of all pools; entries is the number of entries that
// share them. It must be called every CapacityUpdateInterval, by one goroutine.
func (s *Server) UpdateCapacity(setter CapacitySetter, entries int) {
	s.Budget.ShareAmong(entries)
	s.Suspects.SetEntries(entries)
	s.Speeds.Evaluate(s.clock(), s.placement.Load().sizes)
	s.recordSpeeds(s.clock())
	s.setCapacity(s.table.Load(), setter, entries)
}

// PublishInitial publishes the first site, after the capacity of its pools has been set. After
// a restart of all machines, requests that arrived earlier wait for the site and would be
// refused while the capacity is unknown.
func (s *Server) PublishInitial(table *site.Table, setter CapacitySetter, entries int) {
	s.setCapacity(table, setter, entries)
	s.Publish(table)
}

// setCapacity computes and sets the capacity of the pools of a site.
func (s *Server) setCapacity(table *site.Table, setter CapacitySetter, entries int) {
	next := s.computePlacement(s.clock(), table, entries)
	s.placement.Store(next)
	for pool, capacities := range next.pools {
		setter.SetPoolCapacity(pool, poolCapacity(capacities))
	}
}

// computePlacement computes how many calls this entry may have in flight in each group of the
// pools of a site. A pool without endpoints has no capacity.
func (s *Server) computePlacement(now time.Duration, table *site.Table, entries int) *placement {
	loads := s.groupLoads(now)
	s.groupLimits.retain(loads)
	gaps, recent := site.MaxGaps(table.Routes()), s.recentlyStarted(now)
	next := &placement{pools: map[string][]groupCapacity{}, reopensAt: reopenTimes(loads), sizes: poolSizes(loads)}
	for _, pool := range table.Pools() {
		next.pools[pool.GetName()] = nil
	}
	for name, load := range loads {
		engine := table.Pool(name.pool).GetEngine()
		if _, published := next.pools[name.pool]; !published {
			continue
		}
		cfg := concurrency.Config{MaxGap: gaps[name.pool], Slots: load.slots, FixedGap: fixedGap(engine)}
		cfg.InitialLimit = initialLimit(engine, cfg, load.engines, load.slowdown)
		capacity := s.groupCapacity(now, name, cfg, load, entries)
		if recent && isUngrouped(name.group) && engine.GetSets() > 0 {
			capacity.state = lockstep.Closed
		}
		next.pools[name.pool] = append(next.pools[name.pool], capacity)
	}
	for pool, capacities := range next.pools {
		s.firstChunkTimes.setSlowdown(pool, lowestSlowdown(capacities))
	}
	return next
}

// fixedGap returns the part of the gap that does not grow with the number of calls: the time
// of the steps between two chunks without load.
func fixedGap(engine *fleetv1.EngineModel) time.Duration {
	return time.Duration(engine.GetStepMs() * float64(max(engine.GetStride(), 1)) * float64(time.Millisecond))
}

// groupReportGrace is how long after its first site an entry does not use engines whose groups
// no host has reported. Hosts report within a tenth of a second, and after a restart of all
// machines most groups are not open yet. After that time, engines that no host reports on are
// used.
const groupReportGrace = 2 * time.Second

// recentlyStarted reports whether the entry received its first site so recently that some
// hosts may not have reported yet.
func (s *Server) recentlyStarted(now time.Duration) bool {
	if !s.Published() {
		return true
	}
	since := s.firstSiteAt.Load()
	if since == 0 {
		s.firstSiteAt.Store(int64(now))
		return true
	}
	return now-time.Duration(since) < groupReportGrace
}

// groupCapacity computes how many calls this entry may have in flight in a group.
func (s *Server) groupCapacity(now time.Duration, name poolGroup, cfg concurrency.Config, load groupLoad, entries int) groupCapacity {
	state := lockstep.Paced
	if !isUngrouped(name.group) {
		state = s.Groups.State(now, name.group, cfg.MaxGap)
	}
	limit, slowdown, logLimit := s.groupLimits.update(name, now, cfg, load.running, load.slowdown, state)
	if load.openSlots == 0 {
		state = lockstep.Closed
	}
	r := groupCapacity{group: name.group, state: state, limit: load.callLimit(limit, entries), ownCalls: load.ownCalls, slowdown: slowdown}
	r.deferred = max(r.limit-load.ownCalls-load.maxGrowth(cfg.MaxGap, entries), 0)
	if logLimit {
		s.Logger.Info("limited the calls of a pool", slog.String("pool", name.pool), slog.String("group", strings.TrimPrefix(name.group, ungroupedPrefix)), slog.String("state", r.state.String()),
			slog.Float64("limit", limit), slog.Float64("running", load.running), slog.Int("slots", load.slots), slog.Int("own", load.ownCalls), slog.Int("places", r.limit))
	}
	return r
}

// callLimit returns how many calls this entry may have in flight, given the limit for all
// entries.
func (l groupLoad) callLimit(limit float64, entries int) int {
	if l.running > limit {
		retained := max(limit/l.running, minRetained)
		return max(int(float64(l.ownCalls)*retained), 1)
	}
	free := limit - l.running
	if l.paused > 0 && l.openSlots > 0 {
		free = min(free, max(float64(l.openSlots)-l.openRunning, 0))
	}
	return l.ownCalls + int(math.Ceil(free*l.share(entries)))
}

// addEndpoint adds an endpoint and its running calls. If the endpoint is paused, opensAt is
// when it accepts requests again; zero means that it may be probed.
func (l *groupLoad) addEndpoint(slots int, running float64, paused bool, opensAt time.Duration) {
	l.engines++
	l.slots += slots
	l.running += running
	switch {
	case !paused:
		l.openSlots += slots
		l.openRunning += running
		return
	case opensAt == 0:
		l.openSlots++ // one probe request
	}
	if l.paused == 0 || opensAt < l.reopensAt {
		l.reopensAt = opensAt
	}
	l.paused++
}

// poolSizes returns the number of endpoints of each pool.
func poolSizes(loads map[poolGroup]groupLoad) map[string]int {
	sizes := map[string]int{}
	for name, load := range loads {
		sizes[name.pool] += load.engines
	}
	return sizes
}

// reopenTimes returns, for each pool whose endpoints are all paused, when the first of them
// accepts requests again.
func reopenTimes(loads map[poolGroup]groupLoad) map[string]time.Duration {
	open, reopensAt := map[string]bool{}, map[string]time.Duration{}
	for name, load := range loads {
		if load.openSlots > 0 {
			open[name.pool] = true
			continue
		}
		if at, known := reopensAt[name.pool]; !known || load.reopensAt < at {
			reopensAt[name.pool] = load.reopensAt
		}
	}
	maps.DeleteFunc(reopensAt, func(pool string, _ time.Duration) bool { return open[pool] })
	return reopensAt
}

// share returns the fraction of the free capacity that this entry may use: its fraction of the
// calls in flight, but at least an equal share, so that every entry can start calls.
func (l groupLoad) share(entries int) float64 {
	equalShare := 1 / float64(max(entries, 1))
	if l.running <= 0 {
		return equalShare
	}
	return min(max(float64(l.ownCalls)/l.running, equalShare), 1)
}

// groupLoads sums the load of the endpoints of each group.
func (s *Server) groupLoads(now time.Duration) map[poolGroup]groupLoad {
	loads := map[poolGroup]groupLoad{}
	view := s.Endpoints.Snapshot()
	restrictions := s.RateLimits.Restrictions()
	for _, e := range view.All() {
		restriction, paused := restrictions[e.ID]
		if e.Addr == "" || e.State != endpoint.Serving || e.AnnouncementExpired || restriction.Leaving {
			continue
		}
		if present, ok := view.ByAddr(e.Addr); ok && present.ID != e.ID {
			continue
		}
		name := poolGroup{e.Pool, groupOf(s.Groups, e)}
		load := loads[name]
		load.ownCalls += s.Loads.InFlight(e.ID)
		load.addEndpoint(max(e.Slots, 1), s.Loads.Estimate(now, e.ID).Running, paused, restriction.BlockedUntil)
		loads[name] = load
	}
	if s.Speeds.Any(now) {
		s.addSlowdowns(now, view, loads)
	}
	return loads
}

// addSlowdowns sets the slowdown of the lock-step groups. Ranks that accept no requests count too,
// since they run the steps of their group. Endpoints without a group do not slow each other.
func (s *Server) addSlowdowns(now time.Duration, view *endpoint.View, loads map[poolGroup]groupLoad) {
	for _, e := range view.All() {
		slowdown := s.Speeds.Slowdown(now, e.ID)
		if slowdown <= speed.Nominal {
			continue
		}
		name := poolGroup{e.Pool, groupOf(s.Groups, e)}
		if load, known := loads[name]; known && !isUngrouped(name.group) {
			load.slowdown = max(load.slowdown, slowdown)
			loads[name] = load
		}
	}
}
