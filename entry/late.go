package entry

import (
	"math"
	"sync"
	"time"

	"github.com/lilackeel/lilackeel/routed"
	"github.com/lilackeel/lilackeel/workspace"
)

const (
	// lateMemory is the time over which rates are measured: that of late requests that
	// found a place and that of requests in time. It is somewhat longer than a stream takes.
	lateMemory = 2 * time.Second
	// lateAlways is the number of late requests that may wait in any case, so that
	// the rate is found out.
	lateAlways = 3
)

// occupancy is how the places of a pool are taken, and for how long in the mean.
type occupancy struct {
	workspace.Load
	hold time.Duration
}

// occupancyOf returns how the places of a gate are taken.
func occupancyOf(gate *workspace.Gate) occupancy { return occupancy{gate.Load(), gate.Hold()} }

// lateQueues keep, for each pool, the late requests that wait for a place, the rate at
// which they find one, and the places that are theirs alone. The lock is a leaf. The zero
// value is ready.
type lateQueues struct {
	mu    sync.Mutex
	pools map[string]*lateQueue
}

type lateQueue struct {
	waiting int
	// placed is the number that found a place, fading with lateMemory.
	placed float64
	at     time.Duration
	// opening is the number of places that the pool will have once it runs again; zero
	// while it runs.
	opening int
	// running is how many late requests hold a place among the others.
	running int
	// inTime counts the requests that came in time, fading with lateMemory.
	inTime float64
	// free and taken count the places where answers come late: in lock-step groups that
	// are behind their pace.
	free, taken int
}

// queue returns the queue of a pool, brought up to now; the lock is held.
func (l *lateQueues) queue(pool string, now time.Duration) *lateQueue {
	q := l.pools[pool]
	if q == nil {
		if l.pools == nil {
			l.pools = map[string]*lateQueue{}
		}
		q = &lateQueue{}
		l.pools[pool] = q
	}
	if now > q.at {
		fading := math.Exp(-float64(now-q.at) / float64(lateMemory))
		q.placed *= fading
		q.inTime *= fading
		q.at = now
	}
	return q
}

// arrived notes a request that came in time.
func (l *lateQueues) arrived(pool string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue(pool, now).inTime++
}

// needed is how many of the places requests in time hold in the mean: those that come in
// the time that one of them holds its place. It counts from nothing: in the first second
// after a start nobody is in time who has waited for it, and the crowd that came at once
// says nothing about the rate.
func (q *lateQueue) needed(load occupancy) float64 {
	return q.inTime / lateMemory.Seconds() * load.hold.Seconds()
}

// spare is how many late requests may begin now: the places that requests in time neither
// hold nor will need while a late one holds its own.
func (q *lateQueue) spare(load occupancy) float64 {
	used := max(float64(load.InFlight-q.running), math.Floor(q.needed(load)))
	return float64(load.Slots-q.running) - used
}

// enter takes a place among the others for a late request, if one is to spare.
//
// Nobody in time waits behind a late request: a place that is free at the moment is needed by
// the next one in time, which would become late in turn.
func (l *lateQueues) enter(pool string, now time.Duration, load occupancy) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.queue(pool, now)
	if load.Queued > 0 || q.spare(load) < 1 {
		return false
	}
	q.running++
	return true
}

// leave gives the place of enter back.
func (l *lateQueues) leave(pool string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue(pool, now).running--
}

// begin adds a request that would wait up to patience, unless so many wait already
// that it would find no place by then.
func (l *lateQueues) begin(pool string, now, patience time.Duration, load occupancy) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.queue(pool, now)
	expected := max(q.placed/lateMemory.Seconds()*patience.Seconds(), q.places(patience, load))
	if q.waiting >= max(lateAlways, q.opening) && float64(q.waiting) >= expected {
		return false
	}
	q.waiting++
	return true
}

// places is how many late requests can begin within patience, at the present load.
func (q *lateQueue) places(patience time.Duration, load occupancy) float64 {
	given := max(float64(load.Slots)-q.needed(load), 0) / max(load.hold, time.Millisecond).Seconds()
	return max(q.spare(load), 0) + given*patience.Seconds()
}

// set takes in what there is for late requests in a pool, and returns how many places
// where answers come late are taken.
//
// So many may wait for a pool that does not run as it will have places once it does. After
// a restart of all machines its groups form soon, and no rate is known yet by which to expect
// places.
func (l *lateQueues) set(pool string, now time.Duration, r routed.PoolCapacity) (taken int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.queue(pool, now)
	q.opening, q.free = r.AfterReopen, r.LateSlots
	return q.taken
}

// take takes a place where answers come late, if there is one.
func (l *lateQueues) take(pool string, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.queue(pool, now)
	if q.free <= 0 {
		return false
	}
	q.free--
	q.taken++
	return true
}

// giveBack gives back a place that was taken.
func (l *lateQueues) giveBack(pool string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue(pool, now).taken--
}

// end takes a request out that found a place or not.
func (l *lateQueues) end(pool string, now time.Duration, placed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.queue(pool, now)
	q.waiting--
	if placed {
		q.placed++
	}
}
