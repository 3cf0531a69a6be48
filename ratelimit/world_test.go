package ratelimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// strategy is the way in which the entries of a simulation enforce a limit together.
type strategy int

const (
	// alone: each entry enforces the whole limit on its own.
	alone strategy = iota
	// shares: each entry enforces an equal share of the limit.
	shares
	// permits: each entry asks a host for a permit before it sends a request.
	permits
)

const (
	// messageDelay is the delay of a message, serviceTime the time between the arrival of a request
	// and the head of its response.
	messageDelay, serviceTime = 2 * time.Millisecond, 60 * time.Millisecond
	// permitTimeout is the timeout of a permit request, hostBackoff the time for which a host that
	// did not respond is skipped, maxReportInterval the longest time between two reports.
	permitTimeout, hostBackoff, maxReportInterval = 50 * time.Millisecond, time.Second, 200 * time.Millisecond
	// propagationTime is how long an entry must have known the limit for its requests to count, and
	// window the time in which they are counted.
	propagationTime, window = 500 * time.Millisecond, 4 * time.Second
	// settlingTime is the time after the first advertised limit before counting starts.
	settlingTime = 3 * time.Second
)

// simulation simulates entries and one endpoint behind them in virtual time.
type simulation struct {
	rng      *rand.Rand
	strategy strategy
	now      time.Duration
	queue    []event
	entries  []*simulatedEntry
	hosts    []*simulatedHost
	// rate is the limit that the endpoint advertises now, run numbers the run of its process.
	rate float64
	run  int
	// limitedSince is when the present run first advertised a limit, limits holds all limits that
	// the endpoint has advertised.
	limitedSince    time.Duration
	limits          []advertisedLimit
	arrivals        []time.Duration
	countedArrivals []time.Duration
}

type advertisedLimit struct {
	from time.Duration
	rate float64
}

type simulatedEntry struct {
	table  *Table
	bucket Bucket
	// limitLearntAt is when the entry learnt of a limit of the present run, negative before.
	limitLearntAt time.Duration
	demand        float64
	down          bool
	// unreachable marks the hosts that the entry cannot reach, skippedUntil is the time until which
	// each host is skipped, positions are the positions read to in the hosts' limits.
	unreachable  []bool
	skippedUntil []time.Duration
	positions    []uint64
}

type simulatedHost struct {
	arbiter *Arbiter
	frozen  bool
}

type event struct {
	at time.Duration
	do func()
}

// schedule schedules do to run after d.
func (s *simulation) schedule(d time.Duration, do func()) {
	e := event{s.now + d, do}
	i, _ := slices.BinarySearchFunc(s.queue, e, func(a, b event) int {
		if a.at <= b.at {
			return -1
		}
		return 1
	})
	s.queue = slices.Insert(s.queue, i, e)
}

// newSimulation returns a simulation whose entries together have demand requests per second for the
// endpoint, the first entries more than the others, by a power law with exponent skew.
func newSimulation(seed uint64, st strategy, entries int, demand, skew float64) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 2)), strategy: st, rate: Unlimited}
	weights, sum := make([]float64, entries), 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -skew)
		sum += weights[i]
	}
	for range 3 {
		sim.hosts = append(sim.hosts, &simulatedHost{arbiter: NewArbiter()})
	}
	for i := range entries {
		e := &simulatedEntry{demand: demand * weights[i] / sum}
		sim.entries = append(sim.entries, e)
		sim.startEntry(e)
		sim.generateRequests(e)
		for h := range sim.hosts {
			sim.sendReports(e, h)
		}
	}
	return sim
}

// startEntry starts an entry without state.
func (s *simulation) startEntry(e *simulatedEntry) {
	e.table, e.bucket, e.limitLearntAt, e.down = NewTable(), Bucket{}, -1, false
	e.unreachable, e.skippedUntil, e.positions = make([]bool, len(s.hosts)), make([]time.Duration, len(s.hosts)), make([]uint64, len(s.hosts))
}

// generateRequests keeps generating the requests of an entry.
func (s *simulation) generateRequests(e *simulatedEntry) {
	s.schedule(time.Duration(s.rng.ExpFloat64()/e.demand*float64(time.Second)), func() {
		if !e.down {
			s.send(e)
		}
		s.generateRequests(e)
	})
}

// sendReports keeps sending the reports of a host to an entry.
func (s *simulation) sendReports(e *simulatedEntry, h int) {
	s.schedule(maxReportInterval/2+time.Duration(s.rng.Float64()*float64(maxReportInterval/2)), func() {
		if host := s.hosts[h]; !host.frozen && !e.unreachable[h] && !e.down {
			var limits []EndpointLimit
			limits, e.positions[h] = host.arbiter.Since(e.positions[h])
			for _, l := range limits {
				if l.Endpoint == s.runName() {
					s.learn(e, l.Limit)
				}
			}
		}
		s.sendReports(e, h)
	})
}

func (s *simulation) runName() string { return fmt.Sprint("e/", s.run) }

// learn updates the limit at an entry, and forwards it to a host if it has changed.
func (s *simulation) learn(e *simulatedEntry, limit Limit) {
	if _, changed := e.table.Update(s.runName(), limit); !changed {
		return
	}
	if e.limitLearntAt < 0 && limit.Limited() {
		e.limitLearntAt = s.now
	}
	share := map[strategy]float64{alone: 1, shares: 1 / float64(len(s.entries)), permits: 1}[s.strategy]
	e.bucket.SetRate(s.now, limit.Rate*share)
	if s.strategy != permits {
		return
	}
	for h := range s.hosts {
		if !e.unreachable[h] && !s.hosts[h].frozen {
			s.schedule(messageDelay, func() { s.hosts[h].arbiter.Learn(s.now, EndpointLimit{s.runName(), limit}) })
			return
		}
	}
}

// send sends a request if the entry's strategy allows it.
func (s *simulation) send(e *simulatedEntry) {
	limit, admission := e.table.Admit(s.now, s.runName())
	switch {
	case admission == Allowed:
		s.dispatch(e)
	case admission == Blocked:
	case s.strategy == permits:
		s.requestPermit(e, limit, 0)
	default:
		granted, wait := e.bucket.Take(s.now)
		e.table.FinishPermit(s.runName(), s.now+wait)
		if granted {
			s.dispatch(e)
		}
	}
}

// requestPermit requests a permit from the hosts in turn, starting with host h.
func (s *simulation) requestPermit(e *simulatedEntry, limit Limit, h int) {
	for h < len(s.hosts) && e.skippedUntil[h] > s.now {
		h++
	}
	if h == len(s.hosts) {
		e.table.FinishPermit(s.runName(), s.now+hostBackoff/2)
		return
	}
	run, table := s.runName(), e.table
	if e.unreachable[h] || s.hosts[h].frozen {
		s.schedule(permitTimeout, func() {
			e.skippedUntil[h] = s.now + hostBackoff
			s.requestPermit(e, limit, h+1)
		})
		return
	}
	s.schedule(messageDelay, func() {
		p := s.hosts[h].arbiter.Acquire(s.now, EndpointLimit{run, limit}, h)
		s.schedule(messageDelay, func() {
			if e.table != table || run != s.runName() || e.down {
				return
			}
			s.learn(e, p.Limit)
			e.table.FinishPermit(run, s.now+p.Wait)
			if p.Granted {
				s.dispatch(e)
			}
		})
	})
}

// dispatch delivers a request to the endpoint and its response to the entry.
func (s *simulation) dispatch(e *simulatedEntry) {
	sent, run, table := s.now, s.runName(), e.table
	s.schedule(messageDelay, func() {
		s.arrivals = append(s.arrivals, s.now)
		if e.limitLearntAt >= 0 && s.now-e.limitLearntAt >= propagationTime {
			s.countedArrivals = append(s.countedArrivals, s.now)
		}
		s.schedule(serviceTime, func() {
			rate := s.rate
			s.schedule(messageDelay, func() {
				if run == s.runName() && e.table == table && !e.down {
					s.learn(e, Limit{Rate: rate, SentAt: sent, ReceivedAt: s.now})
				}
			})
		})
	})
}

// setLimit changes the limit that the endpoint advertises.
func (s *simulation) setLimit(rate float64) {
	s.rate = rate
	s.limits = append(s.limits, advertisedLimit{s.now, rate})
	if s.limitedSince == 0 && !math.IsInf(rate, 1) {
		s.limitedSince = s.now
	}
}

// runUntil advances the simulation to the given time.
func (s *simulation) runUntil(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := s.queue[0]
		s.queue = s.queue[1:]
		s.now = e.at
		e.do()
	}
	s.now = until
}

// worstExcess returns the greatest excess of the number of requests in a window over the allowed
// number: five more than one and a half times the highest limit in force during the window or the
// propagationTime before it.
func (s *simulation) worstExcess() float64 {
	excess := math.Inf(-1)
	begin := 0
	for i, at := range s.countedArrivals {
		for at-s.countedArrivals[begin] >= window {
			begin++
		}
		if s.limitedSince == 0 || at-window < s.limitedSince+settlingTime {
			continue
		}
		excess = max(excess, float64(i-begin+1)-(1.5*s.maxLimit(at-window-propagationTime, at)*window.Seconds()+5))
	}
	return excess
}

// maxLimit returns the highest limit in force between two times.
func (s *simulation) maxLimit(from, to time.Duration) float64 {
	limit := 0.0
	for i, l := range s.limits {
		if l.from < to && (i+1 == len(s.limits) || s.limits[i+1].from > from) {
			limit = max(limit, l.rate)
		}
	}
	return limit
}

// utilization returns the share of a limit that was used between two times.
func (s *simulation) utilization(rate float64, from, to time.Duration) float64 {
	count := 0
	for _, at := range s.arrivals {
		if at >= from && at < to {
			count++
		}
	}
	return float64(count) / (rate * (to - from).Seconds())
}

// scenario is a sequence of faults and limit changes in a simulation.
type scenario struct {
	name  string
	apply func(sim *simulation)
}

var scenarios = []scenario{
	{"calm", func(sim *simulation) { sim.schedule(5*time.Second, func() { sim.setLimit(configuredLimit(sim)) }) }},
	{"changing", func(sim *simulation) {
		for i, rate := range []float64{1, 0.4, 4, Unlimited, 2, 0, 1} {
			sim.schedule(time.Duration(5+10*i)*time.Second, func() { sim.setLimit(rate) })
		}
	}},
	{"frozen hosts, entries partitioned from hosts", func(sim *simulation) {
		sim.schedule(5*time.Second, func() { sim.setLimit(configuredLimit(sim)) })
		sim.schedule(15*time.Second, func() { sim.hosts[0].frozen = true })
		sim.schedule(20*time.Second, func() { sim.hosts[1].frozen = true })
		sim.schedule(25*time.Second, func() { sim.hosts[0].frozen, sim.hosts[1].frozen = false, false })
		sim.schedule(35*time.Second, func() {
			for i, e := range sim.entries {
				e.unreachable[0], e.unreachable[1] = i%3 > 0, i%3 > 1
			}
		})
		sim.schedule(55*time.Second, func() {
			for _, e := range sim.entries {
				e.unreachable[0], e.unreachable[1] = false, false
			}
		})
	}},
	{"restarting hosts and entries", func(sim *simulation) {
		sim.schedule(5*time.Second, func() { sim.setLimit(configuredLimit(sim)) })
		for i := range 12 {
			sim.schedule(time.Duration(12+5*i)*time.Second, func() {
				e := sim.entries[i%len(sim.entries)]
				e.down = true
				sim.schedule(2*time.Second, func() { sim.startEntry(e) })
				sim.hosts[i%3].arbiter = NewArbiter()
				for _, other := range sim.entries {
					other.positions[i%3] = 0
				}
			})
		}
	}},
	{"restarting endpoint", func(sim *simulation) {
		sim.schedule(5*time.Second, func() { sim.setLimit(configuredLimit(sim)) })
		for i := range 3 {
			sim.schedule(time.Duration(20+20*i)*time.Second, func() {
				sim.run++
				sim.limitedSince, sim.rate = 0, Unlimited
				for _, e := range sim.entries {
					e.limitLearntAt = -1
				}
				sim.schedule(4*time.Second, func() { sim.setLimit(configuredLimit(sim)) })
			})
		}
	}},
}

// configuredLimit returns the limit that the test case sets for the endpoint.
func configuredLimit(sim *simulation) float64 { return sim.limits[0].rate }

// Guards against entries that together exceed an advertised limit, in deployments of all sizes and
// under faults, and against enforcing a limit by leaving most of it unused.
func TestTheSumOverAllEntriesKeepsTheLimit(t *testing.T) {
	for _, c := range []struct {
		entries int
		rate    float64
	}{{3, 1}, {5, 0.2}, {5, 1.1}, {13, 1}, {36, 5}, {41, 0.5}, {41, 1}, {41, 30}} {
		for _, scene := range scenarios {
			t.Run(fmt.Sprintf("%d entries, limit %v, %s", c.entries, c.rate, scene.name), func(t *testing.T) {
				is := is.New(t)
				for _, st := range []strategy{alone, shares, permits} {
					excess, utilization := math.Inf(-1), 0.0
					const seeds = 4
					for seed := range uint64(seeds) {
						sim := newSimulation(seed, st, c.entries, 6*max(c.rate, 1), 1)
						sim.limits = []advertisedLimit{{0, c.rate}}
						scene.apply(sim)
						sim.runUntil(80 * time.Second)
						excess = max(excess, sim.worstExcess())
						utilization += sim.utilization(c.rate, 60*time.Second, 80*time.Second) / seeds
					}
					t.Logf("%v: %.1f requests beyond the allowed number at most, %.2f of the limit used in the last 20 s", st, excess, utilization)
					if st == permits {
						is.True(excess <= 0)
						is.True(scene.name == "changing" || utilization >= 0.8)
					}
				}
			})
		}
	}
}

func (s strategy) String() string { return [...]string{"alone", "shares", "permits"}[s] }
