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
	"github.com/lilackeel/lilackeel/site"
)

// ThrottleInterval is the time between two looks at the load of the pools, about
// that between two reports of an endpoint.
const ThrottleInterval = 100 * time.Millisecond

// leastKept is the part of its calls in flight that an entry keeps at each look while
// the pool has more than its limit. What is known of the others lags by some looks, so
// that giving all back at once would leave the pool idle.
const leastKept = 0.9

// Places is told how many calls this entry may have in flight in a pool.
type Places interface {
	// SetPlaces sets the numbers for a pool.
	SetPlaces(pool string, r Room)
}

// poolGroup names the endpoints of a pool that run their steps together.
type poolGroup struct{ pool, group string }

// throttle keeps the calls in flight in each lock-step group to what keeps its pace.
// Entries do not see each other's calls; each knows the endpoints' own reports and
// what it has sent since, and takes its share of the room that is left.
type throttle struct {
	mu     sync.Mutex
	groups map[poolGroup]*throttled
}

// throttled is one group: its limiter and how that was last set up.
type throttled struct {
	limiter concurrency.Limiter
	config  concurrency.Config
	// logged is the limit that was last logged, at the time loggedAt; zero for none.
	logged   float64
	loggedAt time.Duration
}

func newThrottle() *throttle { return &throttle{groups: map[poolGroup]*throttled{}} }

// group returns the record of a group, made at its first use; the lock is held.
func (t *throttle) group(name poolGroup) *throttled {
	g := t.groups[name]
	if g == nil {
		g = &throttled{}
		t.groups[name] = g
	}
	return g
}

// observe notes a pause between two parts of a stream.
func (t *throttle) observe(name poolGroup, now, pause time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.group(name)
	g.limiter.Observe(now, pause, g.config)
}

// update returns the limit of a group, and whether it has changed enough to be logged.
func (t *throttle) update(name poolGroup, now time.Duration, cfg concurrency.Config, running float64, state lockstep.State) (limit float64, notable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.group(name)
	g.config = cfg
	if state == lockstep.Closed {
		g.limiter.Reset(now, cfg)
	}
	limit = g.limiter.Update(now, cfg, running)
	return limit, g.notable(now, limit)
}

// retain drops the groups that have no endpoints any more.
func (t *throttle) retain(present map[poolGroup]poolLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.groups, func(name poolGroup, _ *throttled) bool {
		_, ok := present[name]
		return !ok
	})
}

// notableChange is the part by which a limit has to change to be logged, and
// notableAfter the least time between two such lines of a group.
const (
	notableChange = 0.15
	notableAfter  = time.Second
)

// notable reports whether a limit has changed enough to be logged, and takes it as logged.
func (g *throttled) notable(now time.Duration, limit float64) bool {
	if g.logged > 0 && (now-g.loggedAt < notableAfter || math.Abs(limit-g.logged) < notableChange*g.logged) {
		return false
	}
	g.logged, g.loggedAt = limit, now
	return true
}

// poolLoad is what is known of the load of a group.
type poolLoad struct {
	engines, slots, own int
	running             float64
	// paused counts the endpoints that have asked for a pause. The others, and those of them that
	// may get one request as a probe, have open slots and run openRunning calls.
	paused, open int
	openRunning  float64
	// reopens is when the first endpoint in a pause takes a request again.
	reopens time.Duration
}

// Throttle sets the places of all pools anew, entries being the number of entries
// that share them. It has to be called every ThrottleInterval.
func (s *Server) Throttle(places Places, entries int) {
	s.Budget.ShareAmong(entries)
	s.Suspects.SetEntries(entries)
	s.setPlaces(s.table.Load(), places, entries)
}

// PublishFirst puts the first site in force, once the places of its pools are set. After a
// restart of all machines everybody who has called since waits for this moment, and would be
// refused while the places are not known.
func (s *Server) PublishFirst(table *site.Table, places Places, entries int) {
	s.setPlaces(table, places, entries)
	s.Publish(table)
}

// setPlaces works out and sets the places of the pools of a site.
func (s *Server) setPlaces(table *site.Table, places Places, entries int) {
	next := s.place(s.clock(), table, entries)
	s.placement.Store(next)
	for pool, rooms := range next.pools {
		places.SetPlaces(pool, total(rooms))
	}
}

// place works out how many calls this entry may have in flight in each group of the pools
// of a site. A pool without endpoints has no room.
func (s *Server) place(now time.Duration, table *site.Table, entries int) *placement {
	loads := s.poolLoads(now)
	s.throttle.retain(loads)
	pauses, young := site.Pauses(table.Routes()), s.young(now)
	next := &placement{pools: map[string][]room{}, reopens: reopenings(loads), sizes: sizes(loads)}
	for _, pool := range table.Pools() {
		next.pools[pool.GetName()] = nil
	}
	for name, load := range loads {
		engine := table.Pool(name.pool).GetEngine()
		if _, published := next.pools[name.pool]; !published {
			continue
		}
		cfg := concurrency.Config{MaxGap: pauses[name.pool], Slots: load.slots, FixedGap: fixedPause(engine)}
		cfg.InitialLimit = firstCalls(engine, cfg, load.engines)
		room := s.room(now, name, cfg, load, entries)
		if young && isLoose(name.group) && engine.GetSets() > 0 {
			room.state = lockstep.Closed
		}
		next.pools[name.pool] = append(next.pools[name.pool], room)
	}
	return next
}

// fixedPause is the part of a pause that does not grow with the calls: the time of the
// steps between two parts of an answer, without work.
func fixedPause(engine *fleetv1.EngineModel) time.Duration {
	return time.Duration(engine.GetStepMs() * float64(max(engine.GetStride(), 1)) * float64(time.Millisecond))
}

// reportGrace is how long after its first site an entry leaves engines alone whose groups
// it has not heard of: their hosts speak within a tenth of a second, and after a restart of
// all machines most groups are not open yet. An engine without a host is used after that.
const reportGrace = 2 * time.Second

// young reports whether the entry has had a site for so short a time that hosts may not
// have been heard yet.
func (s *Server) young(now time.Duration) bool {
	if !s.Published() {
		return true
	}
	since := s.since.Load()
	if since == 0 {
		s.since.Store(int64(now))
		return true
	}
	return now-time.Duration(since) < reportGrace
}

// room works out how many calls this entry may have in flight in a group.
func (s *Server) room(now time.Duration, name poolGroup, cfg concurrency.Config, load poolLoad, entries int) room {
	state := lockstep.Paced
	if !isLoose(name.group) {
		state = s.Groups.State(now, name.group, cfg.MaxGap)
	}
	limit, notable := s.throttle.update(name, now, cfg, load.running, state)
	if load.open == 0 {
		state = lockstep.Closed
	}
	r := room{group: name.group, state: state, places: load.places(limit, entries), own: load.own}
	r.held = max(r.places-load.own-load.growth(cfg.MaxGap, entries), 0)
	if notable {
		s.Logger.Info("limited the calls of a pool", slog.String("pool", name.pool), slog.String("group", strings.TrimPrefix(name.group, looseGroup)), slog.String("state", r.state.String()),
			slog.Float64("limit", limit), slog.Float64("running", load.running), slog.Int("slots", load.slots), slog.Int("own", load.own), slog.Int("places", r.places))
	}
	return r
}

// places is how many calls this entry may have in flight under a limit for all.
func (p poolLoad) places(limit float64, entries int) int {
	if p.running > limit {
		kept := max(limit/p.running, leastKept)
		return max(int(float64(p.own)*kept), 1)
	}
	free := limit - p.running
	if p.paused > 0 && p.open > 0 {
		free = min(free, max(float64(p.open)-p.openRunning, 0))
	}
	return p.own + int(math.Ceil(free*p.share(entries)))
}

// note adds an endpoint with the calls that run there. opens is when it takes a request again,
// if it has asked for a pause.
func (p *poolLoad) note(slots int, running float64, paused bool, opens time.Duration) {
	p.engines++
	p.slots += slots
	p.running += running
	switch {
	case !paused:
		p.open += slots
		p.openRunning += running
		return
	case opens == 0:
		p.open++ // a probe
	}
	if p.paused == 0 || opens < p.reopens {
		p.reopens = opens
	}
	p.paused++
}

// sizes returns how many endpoints each pool has.
func sizes(loads map[poolGroup]poolLoad) map[string]int {
	sizes := map[string]int{}
	for name, load := range loads {
		sizes[name.pool] += load.engines
	}
	return sizes
}

// reopenings returns when the first endpoint of each pool takes a request again, of those pools
// whose endpoints are all in a pause.
func reopenings(loads map[poolGroup]poolLoad) map[string]time.Duration {
	open, reopens := map[string]bool{}, map[string]time.Duration{}
	for name, load := range loads {
		if load.open > 0 {
			open[name.pool] = true
			continue
		}
		if at, known := reopens[name.pool]; !known || load.reopens < at {
			reopens[name.pool] = load.reopens
		}
	}
	maps.DeleteFunc(reopens, func(pool string, _ time.Duration) bool { return open[pool] })
	return reopens
}

// share is the part of a pool's free room that is for this entry: as much as it has
// of the calls in flight, and no less than an equal part, which lets each entry begin.
func (p poolLoad) share(entries int) float64 {
	equal := 1 / float64(max(entries, 1))
	if p.running <= 0 {
		return equal
	}
	return min(max(float64(p.own)/p.running, equal), 1)
}

// poolLoads adds up the load of the endpoints of each group.
func (s *Server) poolLoads(now time.Duration) map[poolGroup]poolLoad {
	loads := map[poolGroup]poolLoad{}
	view := s.Endpoints.Snapshot()
	reserves := s.RateLimits.Reserves()
	for _, e := range view.All() {
		reserve, paused := reserves[e.ID]
		if e.Addr == "" || e.State != endpoint.Serving || e.AnnouncementExpired || reserve.Leaving {
			continue
		}
		if present, ok := view.ByAddr(e.Addr); ok && present.ID != e.ID {
			continue
		}
		name := poolGroup{e.Pool, groupOf(s.Groups, e)}
		load := loads[name]
		load.own += s.Loads.InFlight(e.ID)
		load.note(max(e.Slots, 1), s.Loads.Estimate(now, e.ID).Running, paused, reserve.BlockedUntil)
		loads[name] = load
	}
	return loads
}
