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

// design says how the entries of a world keep a limit together.
type design int

const (
	// alone: each entry keeps the whole limit for itself.
	alone design = iota
	// shares: each keeps an equal part of it.
	shares
	// permits: each asks a host before it sends.
	permits
)

const (
	// oneWay is the time of a message, runTime that between a request's arrival and the head
	// of its answer.
	oneWay, runTime = 2 * time.Millisecond, 60 * time.Millisecond
	// askTimeout is how long a host is waited for, awayTime how long one that did not answer
	// is left out, reportTime the longest time between two reports.
	askTimeout, awayTime, reportTime = 50 * time.Millisecond, time.Second, 200 * time.Millisecond
	// toldTime is how long an entry must have known the limit for its requests to count, and
	// window the time in which they are counted.
	toldTime, window = 500 * time.Millisecond, 4 * time.Second
	// namedTime is how long after the first naming the count begins.
	namedTime = 3 * time.Second
)

// world plays entries before one endpoint in virtual time.
type world struct {
	rng     *rand.Rand
	design  design
	now     time.Duration
	queue   []event
	entries []*worldEntry
	hosts   []*worldHost
	// rate is what the endpoint names now, run names the run of its process.
	rate float64
	run  int
	// named is when it first named a limit, limits all that it has named since.
	named   time.Duration
	limits  []worldLimit
	arrived []time.Duration
	counted []time.Duration
}

type worldLimit struct {
	from time.Duration
	rate float64
}

type worldEntry struct {
	table  *Table
	bucket Bucket
	// told is when the entry learnt the limit of the present run, negative before.
	told   time.Duration
	wishes float64
	down   bool
	// cut says which hosts it does not reach, away until when one is left out.
	cut  []bool
	away []time.Duration
	read []uint64
}

type worldHost struct {
	arbiter *Arbiter
	frozen  bool
}

type event struct {
	at time.Duration
	do func()
}

func (w *world) after(d time.Duration, do func()) {
	e := event{w.now + d, do}
	i, _ := slices.BinarySearchFunc(w.queue, e, func(a, b event) int {
		if a.at <= b.at {
			return -1
		}
		return 1
	})
	w.queue = slices.Insert(w.queue, i, e)
}

// newWorld has entries that wish to send so many requests a second to the endpoint together,
// the first ones more than the others.
func newWorld(seed uint64, d design, entries int, wishes, skew float64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 2)), design: d, rate: Unlimited}
	weights, sum := make([]float64, entries), 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -skew)
		sum += weights[i]
	}
	for range 3 {
		w.hosts = append(w.hosts, &worldHost{arbiter: NewArbiter()})
	}
	for i := range entries {
		e := &worldEntry{wishes: wishes * weights[i] / sum}
		w.entries = append(w.entries, e)
		w.start(e)
		w.wish(e)
		for h := range w.hosts {
			w.report(e, h)
		}
	}
	return w
}

// start gives an entry an empty memory.
func (w *world) start(e *worldEntry) {
	e.table, e.bucket, e.told, e.down = NewTable(), Bucket{}, -1, false
	e.cut, e.away, e.read = make([]bool, len(w.hosts)), make([]time.Duration, len(w.hosts)), make([]uint64, len(w.hosts))
}

// wish has an entry wish to send a request, again and again.
func (w *world) wish(e *worldEntry) {
	w.after(time.Duration(w.rng.ExpFloat64()/e.wishes*float64(time.Second)), func() {
		if !e.down {
			w.send(e)
		}
		w.wish(e)
	})
}

// report has a host report to an entry, again and again.
func (w *world) report(e *worldEntry, h int) {
	w.after(reportTime/2+time.Duration(w.rng.Float64()*float64(reportTime/2)), func() {
		if host := w.hosts[h]; !host.frozen && !e.cut[h] && !e.down {
			var found []EndpointLimit
			found, e.read[h] = host.arbiter.Since(e.read[h])
			for _, n := range found {
				if n.Endpoint == w.name() {
					w.learn(e, n.Limit)
				}
			}
		}
		w.report(e, h)
	})
}

func (w *world) name() string { return fmt.Sprint("e/", w.run) }

// learn has an entry take a limit in, and pass it on if it is news.
func (w *world) learn(e *worldEntry, limit Limit) {
	if _, changed := e.table.Update(w.name(), limit); !changed {
		return
	}
	if e.told < 0 && limit.Limited() {
		e.told = w.now
	}
	part := map[design]float64{alone: 1, shares: 1 / float64(len(w.entries)), permits: 1}[w.design]
	e.bucket.SetRate(w.now, limit.Rate*part)
	if w.design != permits {
		return
	}
	for h := range w.hosts {
		if !e.cut[h] && !w.hosts[h].frozen {
			w.after(oneWay, func() { w.hosts[h].arbiter.Learn(w.now, EndpointLimit{w.name(), limit}) })
			return
		}
	}
}

// send sends a request if the entry's design lets it.
func (w *world) send(e *worldEntry) {
	limit, admission := e.table.Admit(w.now, w.name())
	switch {
	case admission == Allowed:
		w.dispatch(e)
	case admission == Blocked:
	case w.design == permits:
		w.ask(e, limit, 0)
	default:
		granted, wait := e.bucket.Take(w.now)
		e.table.FinishPermit(w.name(), w.now+wait)
		if granted {
			w.dispatch(e)
		}
	}
}

// ask asks the hosts in turn.
func (w *world) ask(e *worldEntry, limit Limit, h int) {
	for h < len(w.hosts) && e.away[h] > w.now {
		h++
	}
	if h == len(w.hosts) {
		e.table.FinishPermit(w.name(), w.now+awayTime/2)
		return
	}
	run, table := w.name(), e.table
	if e.cut[h] || w.hosts[h].frozen {
		w.after(askTimeout, func() {
			e.away[h] = w.now + awayTime
			w.ask(e, limit, h+1)
		})
		return
	}
	w.after(oneWay, func() {
		p := w.hosts[h].arbiter.Acquire(w.now, EndpointLimit{run, limit}, h)
		w.after(oneWay, func() {
			if e.table != table || run != w.name() || e.down {
				return
			}
			w.learn(e, p.Limit)
			e.table.FinishPermit(run, w.now+p.Wait)
			if p.Granted {
				w.dispatch(e)
			}
		})
	})
}

// dispatch sends a request and brings its answer back.
func (w *world) dispatch(e *worldEntry) {
	sent, run, table := w.now, w.name(), e.table
	w.after(oneWay, func() {
		w.arrived = append(w.arrived, w.now)
		if e.told >= 0 && w.now-e.told >= toldTime {
			w.counted = append(w.counted, w.now)
		}
		w.after(runTime, func() {
			rate := w.rate
			w.after(oneWay, func() {
				if run == w.name() && e.table == table && !e.down {
					w.learn(e, Limit{Rate: rate, SentAt: sent, ReceivedAt: w.now})
				}
			})
		})
	})
}

// set has the endpoint name another limit.
func (w *world) set(rate float64) {
	w.rate = rate
	w.limits = append(w.limits, worldLimit{w.now, rate})
	if w.named == 0 && !math.IsInf(rate, 1) {
		w.named = w.now
	}
}

// play plays until a time.
func (w *world) play(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := w.queue[0]
		w.queue = w.queue[1:]
		w.now = e.at
		e.do()
	}
	w.now = until
}

// worst returns by how much the count of any window goes beyond what is allowed: one and a half
// times the greatest limit in force during it or the time that news takes before it, and five.
func (w *world) worst() float64 {
	worst := math.Inf(-1)
	begin := 0
	for i, at := range w.counted {
		for at-w.counted[begin] >= window {
			begin++
		}
		if w.named == 0 || at-window < w.named+namedTime {
			continue
		}
		worst = max(worst, float64(i-begin+1)-(1.5*w.most(at-window-toldTime, at)*window.Seconds()+5))
	}
	return worst
}

// most is the greatest limit in force between two times.
func (w *world) most(from, to time.Duration) float64 {
	most := 0.0
	for i, l := range w.limits {
		if l.from < to && (i+1 == len(w.limits) || w.limits[i+1].from > from) {
			most = max(most, l.rate)
		}
	}
	return most
}

// used is the part of a limit that has been used between two times.
func (w *world) used(rate float64, from, to time.Duration) float64 {
	count := 0
	for _, at := range w.arrived {
		if at >= from && at < to {
			count++
		}
	}
	return float64(count) / (rate * (to - from).Seconds())
}

// scenario is what befalls a world.
type scenario struct {
	name string
	run  func(w *world)
}

var scenarios = []scenario{
	{"calm", func(w *world) { w.after(5*time.Second, func() { w.set(limitOf(w)) }) }},
	{"changing", func(w *world) {
		for i, rate := range []float64{1, 0.4, 4, Unlimited, 2, 0, 1} {
			w.after(time.Duration(5+10*i)*time.Second, func() { w.set(rate) })
		}
	}},
	{"hosts frozen, entries cut from them", func(w *world) {
		w.after(5*time.Second, func() { w.set(limitOf(w)) })
		w.after(15*time.Second, func() { w.hosts[0].frozen = true })
		w.after(20*time.Second, func() { w.hosts[1].frozen = true })
		w.after(25*time.Second, func() { w.hosts[0].frozen, w.hosts[1].frozen = false, false })
		w.after(35*time.Second, func() {
			for i, e := range w.entries {
				e.cut[0], e.cut[1] = i%3 > 0, i%3 > 1
			}
		})
		w.after(55*time.Second, func() {
			for _, e := range w.entries {
				e.cut[0], e.cut[1] = false, false
			}
		})
	}},
	{"hosts and entries that start anew", func(w *world) {
		w.after(5*time.Second, func() { w.set(limitOf(w)) })
		for i := range 12 {
			w.after(time.Duration(12+5*i)*time.Second, func() {
				e := w.entries[i%len(w.entries)]
				e.down = true
				w.after(2*time.Second, func() { w.start(e) })
				w.hosts[i%3].arbiter = NewArbiter()
				for _, other := range w.entries {
					other.read[i%3] = 0
				}
			})
		}
	}},
	{"a reborn endpoint", func(w *world) {
		w.after(5*time.Second, func() { w.set(limitOf(w)) })
		for i := range 3 {
			w.after(time.Duration(20+20*i)*time.Second, func() {
				w.run++
				w.named, w.rate = 0, Unlimited
				for _, e := range w.entries {
					e.told = -1
				}
				w.after(4*time.Second, func() { w.set(limitOf(w)) })
			})
		}
	}},
}

// limitOf is the limit that a world's endpoint names.
func limitOf(w *world) float64 { return w.limits[0].rate }

// Guards against a sum over all entries that goes beyond a named limit, in deployments of all
// sizes and under faults, and against a limit that is kept by hardly using it.
func TestTheSumOverAllEntriesKeepsTheLimit(t *testing.T) {
	for _, c := range []struct {
		entries int
		rate    float64
	}{{3, 1}, {5, 0.2}, {5, 1.1}, {13, 1}, {36, 5}, {41, 0.5}, {41, 1}, {41, 30}} {
		for _, s := range scenarios {
			t.Run(fmt.Sprintf("%d entries, limit %v, %s", c.entries, c.rate, s.name), func(t *testing.T) {
				is := is.New(t)
				for _, d := range []design{alone, shares, permits} {
					worst, used := math.Inf(-1), 0.0
					const seeds = 4
					for seed := range uint64(seeds) {
						w := newWorld(seed, d, c.entries, 6*max(c.rate, 1), 1)
						w.limits = []worldLimit{{0, c.rate}}
						s.run(w)
						w.play(80 * time.Second)
						worst = max(worst, w.worst())
						used += w.used(c.rate, 60*time.Second, 80*time.Second) / seeds
					}
					t.Logf("%v: beyond what is allowed by %.1f at most, %.2f of the limit used in the last 20 s", d, worst, used)
					if d == permits {
						is.True(worst <= 0)
						is.True(s.name == "changing" || used >= 0.8)
					}
				}
			})
		}
	}
}

func (d design) String() string { return [...]string{"alone", "shares", "permits"}[d] }
