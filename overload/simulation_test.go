package overload

import (
	"fmt"
	"iter"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/workspace"
)

const (
	simTick     = 5 * time.Millisecond
	simSlots    = 18 // per entry, shared by all
	simHoldTime = 1200 * time.Millisecond
	simMaxWait  = 300 * time.Millisecond
	// simRate is the demand per entry before the bursts, in requests per second.
	simRate    = 0.8 * simSlots / 1.2
	lowest     = 22
	halfSecond = 500 * time.Millisecond
	burstTime  = 5 * time.Second
)

// simulation drives entries and hosts in virtual time.
type simulation struct {
	entries []*simEntry
	hosts   [2]Sums
	// hostOf returns the host that an entry reaches, or nil.
	hostOf func(now time.Duration, entry int) *Sums
	// route changes the entry and the level of a request, if set.
	route  func(entry, level int) (int, int)
	random *rand.Rand
	// arrived and served count the requests by half second of their arrival and by level; atFirst
	// counts those of the lowest level at the first entry, byWorkspace those that were served.
	arrived, served [40][lowest + 1]int
	atFirst         [2]int
	byWorkspace     map[string]int
}

type simEntry struct {
	admission  *workspace.Admission
	slots      int
	counter    Counter
	controller *Controller
	running    []simRequest
	retries    []simRequest
	sent       map[string]simRequest
	lastID     int
	published  time.Duration
}

type simRequest struct {
	workspace string
	level     int
	arrived   time.Duration
	// due is when a refused request is sent again, or a running one ends.
	due      time.Duration
	id       string
	attempts int
}

func newSimulation(entries int, seed uint64) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 1)), byWorkspace: map[string]int{}}
	sim.hostOf = func(time.Duration, int) *Sums { return &sim.hosts[0] }
	for i := range entries {
		e := &simEntry{
			admission:  workspace.NewAdmission(workspace.Config{Levels: true, LeastShare: DefaultLeastShare, MaxWait: simMaxWait, MaxRetryAfter: 2500 * time.Millisecond, InitialHoldTime: simHoldTime}),
			controller: NewController(DefaultLeastShare), sent: map[string]simRequest{}, published: time.Duration(i) * 11 * time.Millisecond,
		}
		sim.entries = append(sim.entries, e)
	}
	return sim
}

// run simulates 2 s of normal demand, a burst of the lowest priority to 2.3 times the demand, 2 s of
// normal demand, and a burst of the highest to 1.8 times.
func (sim *simulation) run() {
	for now := simTick; now < 4*time.Second+2*burstTime; now += simTick {
		extra, level := 0.0, 0
		switch {
		case now > 2*time.Second && now < 2*time.Second+burstTime:
			extra, level = 1.3, lowest
		case now > 4*time.Second+burstTime:
			extra = 0.8
		}
		if now%(100*time.Millisecond) == 0 {
			sim.setSlots(now)
		}
		for i, e := range sim.entries {
			if now >= e.published+Interval(len(sim.entries)) {
				e.published = now
				sim.publish(now, i)
			}
			if sim.random.Float64() < simRate*simTick.Seconds() {
				w := sim.random.IntN(24)
				sim.arrive(now, i, w, w%3*10+sim.random.IntN(3))
			}
			if sim.random.Float64() < extra*simRate*simTick.Seconds() {
				sim.arrive(now, i, level%10+3*sim.random.IntN(8), level)
			}
			sim.step(now, e)
		}
	}
}

// setSlots divides the slots of the pool as package routed does: each entry keeps those in use and
// gets a share of the free ones, by its share of those in use but at least an equal one.
func (sim *simulation) setSlots(now time.Duration) {
	used := 0
	for _, e := range sim.entries {
		used += len(e.running)
	}
	free := float64(max(simSlots*len(sim.entries)-used, 0))
	for _, e := range sim.entries {
		share := max(float64(len(e.running))/float64(max(used, 1)), 1/float64(len(sim.entries)))
		e.slots = len(e.running) + int(math.Ceil(free*share))
		slots := e.slots
		if limit, limited := e.controller.Slots(e.counter.Demand(now, 0), e.admission.MeanHoldTime()); limited {
			slots = min(slots, limit)
		}
		e.admission.SetCapacity(now, slots)
	}
}

func (sim *simulation) publish(now time.Duration, entry int) {
	e := sim.entries[entry]
	own := e.counter.Demand(now, float64(e.slots)/e.admission.MeanHoldTime().Seconds())
	if host := sim.hostOf(now, entry); host != nil {
		own = host.Publish(now, fmt.Sprint(entry), map[string]*Demand{"pool": own})["pool"]
	}
	e.controller.Update(now, own)
}

func (sim *simulation) arrive(now time.Duration, entry, w, level int) {
	if sim.route != nil {
		entry, level = sim.route(entry, level)
	}
	r := simRequest{workspace: fmt.Sprint(w), level: level, arrived: now}
	sim.arrived[now/halfSecond][level]++
	if entry == 0 && level == lowest {
		sim.atFirst[0]++
	}
	sim.send(now, sim.entries[entry], r)
}

func (sim *simulation) send(now time.Duration, e *simEntry, r simRequest) {
	r.attempts++
	e.counter.Arrive(now, r.level)
	e.lastID++
	id := fmt.Sprint(e.lastID)
	e.sent[id] = r
	decision, err := e.admission.Arrive(now, workspace.Request{ID: id, Workspace: r.workspace, Level: r.level})
	switch {
	case err != nil:
		e.refused(now, r, e.controller.RetryAfter(r.level, sim.random.Float64(), 2500*time.Millisecond))
	case decision == workspace.Admitted:
		sim.start(now, e, id)
	}
}

// refused sends a request again after the given time, once.
func (e *simEntry) refused(now time.Duration, r simRequest, retryAfter time.Duration) {
	if r.due = now + retryAfter; r.attempts < 2 {
		e.retries = append(e.retries, r)
	}
}

func (sim *simulation) start(now time.Duration, e *simEntry, id string) {
	r := e.sent[id]
	e.counter.Admit(now, r.level)
	r.id, r.due = id, now+time.Duration(float64(simHoldTime)*(0.5+sim.random.Float64()))
	e.running = append(e.running, r)
	sim.served[r.arrived/halfSecond][r.level]++
	sim.byWorkspace[r.workspace]++
	if e == sim.entries[0] && r.level == lowest {
		sim.atFirst[1]++
	}
}

func (sim *simulation) step(now time.Duration, e *simEntry) {
	isDue := func(r simRequest) bool { return r.due <= now }
	ended := slices.Collect(filter(e.running, isDue))
	e.running = slices.DeleteFunc(e.running, isDue)
	for _, r := range ended {
		for _, grant := range e.admission.Done(now, r.id) {
			sim.start(now, e, grant.ID)
		}
	}
	grants, refusals := e.admission.Tick(now)
	for _, grant := range grants {
		sim.start(now, e, grant.ID)
	}
	for _, refusal := range refusals {
		level := e.sent[refusal.ID].level
		e.refused(now, e.sent[refusal.ID], e.controller.RetryAfter(level, sim.random.Float64(), 2500*time.Millisecond))
	}
	due := slices.Collect(filter(e.retries, isDue))
	e.retries = slices.DeleteFunc(e.retries, isDue)
	for _, r := range due {
		sim.send(now, e, r)
	}
}

func filter(requests []simRequest, keep func(simRequest) bool) iter.Seq[simRequest] {
	return func(yield func(simRequest) bool) {
		for _, r := range requests {
			if keep(r) && !yield(r) {
				return
			}
		}
	}
}

// share returns the fraction of the requests of a level that were served, over some half seconds.
func (sim *simulation) share(level, from, to int) float64 {
	arrived, served := 0, 0
	for i := from; i < to; i++ {
		arrived += sim.arrived[i][level]
		served += sim.served[i][level]
	}
	return float64(served) / float64(max(arrived, 1))
}

// Guards against bursts in which the highest priority is refused more often than the lowest, also
// while the exchange between the entries fails, and against levels, workspaces or entries that
// starve.
func TestBurstsOfLowestAndHighestPriority(t *testing.T) {
	lossy := rand.New(rand.NewPCG(1, 2))
	for name, c := range map[string]struct {
		entries int
		prepare func(*simulation)
	}{
		"17 entries":  {17, func(*simulation) {}},
		"212 entries": {212, func(*simulation) {}},
		"one without urgent": {17, func(sim *simulation) {
			sim.route = func(entry, level int) (int, int) {
				if entry == 0 {
					return entry, lowest
				}
				return entry, level
			}
		}},
		"three with all urgent": {17, func(sim *simulation) {
			sim.route = func(entry, level int) (int, int) {
				if level < 10 {
					return 14 + entry%3, level
				}
				return entry % 14, level
			}
		}},
		"host lost": {17, func(sim *simulation) {
			sim.hostOf = func(now time.Duration, _ int) *Sums {
				if now > 3*time.Second && now < 4*time.Second {
					return nil
				}
				return &sim.hosts[now/(3*time.Second)%2] // the next host begins empty
			}
		}},
		"no host": {17, func(sim *simulation) { sim.hostOf = func(time.Duration, int) *Sums { return nil } }},
		"messages lost": {17, func(sim *simulation) {
			sim.hostOf = func(time.Duration, int) *Sums { return []*Sums{nil, &sim.hosts[0], &sim.hosts[0]}[lossy.IntN(3)] }
		}},
		"partitioned": {17, func(sim *simulation) {
			sim.hostOf = func(_ time.Duration, i int) *Sums { return &sim.hosts[min(i/4, 1)] }
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(c.entries, 7)
			c.prepare(sim)
			sim.run()
			for i := range 28 {
				if highest, low := sim.share(0, i, i+1), sim.share(lowest, i, i+1); highest < low {
					t.Errorf("in half second %d, %.2f of the highest priority was served and %.2f of the lowest", i, highest, low)
				}
			}
			t.Logf("served in the first burst: %.2f of the highest, %.2f of the lowest; in the second %.2f and %.2f; lowest at the first entry %.2f overall",
				sim.share(0, 4, 14), sim.share(lowest, 4, 14), sim.share(0, 18, 28), sim.share(lowest, 18, 28), float64(sim.atFirst[1])/float64(sim.atFirst[0]))
			is.True(sim.share(0, 4, 14) > 0.98)
			is.True(sim.share(0, 18, 28) > 0.9)
			is.True(sim.share(lowest, 4, 14) > 0.2)
			is.True(sim.share(lowest, 18, 28) > 0.03) // the minimum share
			for w := range 24 {
				is.True(sim.byWorkspace[fmt.Sprint(w)] > 0)
			}
			is.True(sim.atFirst[1] > sim.atFirst[0]/6)
		})
	}
}
