package entry

import (
	"math"
	"sync"
	"time"

	"github.com/lilackeel/lilackeel/routed"
	"github.com/lilackeel/lilackeel/workspace"
)

const (
	// lateRateDecay is the time constant of the exponentially decaying counters from which the rates
	// of admitted late requests and of on-time requests are estimated. It is somewhat longer than
	// the duration of a stream.
	lateRateDecay = 2 * time.Second
	// minLateWaiting is the number of late requests that may always wait, so that their admission
	// rate can be measured.
	minLateWaiting = 3
)

// occupancy is the load of a pool's gate as seen by a request of one level, and the mean time that
// a request holds a slot.
type occupancy struct {
	// Load counts as queued the requests of this level and of higher-priority ones.
	workspace.Load
	holdTime time.Duration
	// lowerQueued is the number of queued requests of lower-priority levels.
	lowerQueued int
	// allLevels is true if the request goes after the on-time requests of all levels, which then all
	// count as queued.
	allLevels bool
}

// occupancyOf returns the current occupancy of a gate for a request of a level.
func occupancyOf(gate *workspace.Gate, level int) occupancy {
	load, upTo := gate.Load(), gate.QueuedUpTo(level)
	lower := max(load.Queued-upTo, 0)
	load.Queued = upTo
	return occupancy{Load: load, holdTime: gate.MeanHoldTime(), lowerQueued: lower}
}

// lateQueues tracks, for each pool, the late requests that wait for a slot, the rate at which
// they are admitted, and the slots that are reserved for them. A request is late if it can no
// longer be answered within its objective, and on time otherwise. No other lock is taken while the
// lock is held. The zero value is ready to use.
type lateQueues struct {
	mu    sync.Mutex
	pools map[string]*lateQueue
}

type lateQueue struct {
	// waiting counts the late requests that wait, by level; lower levels go first.
	waiting map[int]int
	// admitted is the number of late requests that got a slot, decaying with lateRateDecay.
	admitted  float64
	updatedAt time.Duration
	// reopeningSlots is the number of slots that the pool will have once it runs again; zero while
	// it runs.
	reopeningSlots int
	// sharedHeld is the number of late requests that hold a slot of the gate.
	sharedHeld int
	// onTime is the number of requests that arrived on time, by level, decaying with lateRateDecay.
	onTime map[int]float64
	// lateFree and lateHeld count the free and the used slots of lock-step groups that are behind
	// their step rate, where every answer is late.
	lateFree, lateHeld int
}

// queue returns the queue of a pool with its counters decayed to now. The caller must hold the
// lock.
func (l *lateQueues) queue(pool string, now time.Duration) *lateQueue {
	q := l.pools[pool]
	if q == nil {
		if l.pools == nil {
			l.pools = map[string]*lateQueue{}
		}
		q = &lateQueue{waiting: map[int]int{}, onTime: map[int]float64{}}
		l.pools[pool] = q
	}
	if now > q.updatedAt {
		decay := math.Exp(-float64(now-q.updatedAt) / float64(lateRateDecay))
		q.admitted *= decay
		for level := range q.onTime {
			q.onTime[level] *= decay
		}
		q.updatedAt = now
	}
	return q
}

// waitingBefore returns how many late requests of higher-priority levels wait.
func (q *lateQueue) waitingBefore(level int) int {
	sum := 0
	for other, count := range q.waiting {
		if other < level {
			sum += count
		}
	}
	return sum
}

// countOnTime counts a request that arrived on time.
func (l *lateQueues) countOnTime(pool string, level int, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue(pool, now).onTime[level]++
}

// onTimeDemand returns the mean number of slots that on-time requests of a level and of
// higher-priority ones hold: those that arrive during one mean hold time. The count starts at zero:
// the requests that have waited for the entry to start arrive in a burst and are already late, so
// they say nothing about the rate.
func (q *lateQueue) onTimeDemand(level int, load occupancy) float64 {
	arrived := 0.0
	for other, count := range q.onTime {
		if other <= level || load.allLevels {
			arrived += count
		}
	}
	return arrived / lateRateDecay.Seconds() * load.holdTime.Seconds()
}

// spareSlots returns how many late requests of a level may start now: the slots that on-time
// requests that go before it neither hold nor will need while it holds its slot. While requests of
// lower-priority levels are queued, the slots that are held are spare too: whatever holds them, the
// next one that is released goes to the late request.
func (q *lateQueue) spareSlots(level int, load occupancy) float64 {
	used := math.Floor(q.onTimeDemand(level, load))
	if load.lowerQueued == 0 {
		used = max(float64(load.InFlight-q.sharedHeld), used)
	}
	return float64(load.Slots-q.sharedHeld) - used
}

// acquireShared reserves a slot of the gate for a late request, if there is one to spare beside
// those for waiting requests of higher-priority levels.
//
// No on-time request of its level may wait behind a late one: a slot that is merely free at the
// moment will be needed by the next on-time request, which would otherwise become late itself.
func (l *lateQueues) acquireShared(pool string, level int, now time.Duration, load occupancy) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.queue(pool, now)
	if load.Queued > 0 || q.spareSlots(level, load) < float64(1+q.waitingBefore(level)) {
		return false
	}
	q.sharedHeld++
	return true
}

// releaseShared releases a slot that was reserved by acquireShared.
func (l *lateQueues) releaseShared(pool string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue(pool, now).sharedHeld--
}

// enqueue adds a request that waits up to maxWait, unless so many of its level and of
// higher-priority ones are waiting that it is not expected to get a slot by then.
func (l *lateQueues) enqueue(pool string, level int, now, maxWait time.Duration, load occupancy) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.queue(pool, now)
	expected := max(q.admitted/lateRateDecay.Seconds()*maxWait.Seconds(), q.expectedSlots(level, maxWait, load))
	waiting := q.waitingBefore(level) + q.waiting[level]
	if waiting >= max(minLateWaiting, q.reopeningSlots) && float64(waiting) >= expected {
		return false
	}
	q.waiting[level]++
	return true
}

// expectedSlots returns how many late requests up to a level can start within maxWait at the current load.
func (q *lateQueue) expectedSlots(level int, maxWait time.Duration, load occupancy) float64 {
	freed := max(float64(load.Slots)-q.onTimeDemand(level, load), 0) / max(load.holdTime, time.Millisecond).Seconds()
	return max(q.spareSlots(level, load), 0) + freed*maxWait.Seconds()
}

// setCapacity updates the capacity for late requests in a pool, and returns how many slots of
// groups behind their step rate are in use.
//
// While a pool is stopped, as many requests may wait for it as it will have slots once it runs.
// After a restart of all machines its groups form soon, and no admission rate is known yet from
// which to estimate free slots.
func (l *lateQueues) setCapacity(pool string, now time.Duration, r routed.PoolCapacity) (lateHeld int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.queue(pool, now)
	q.reopeningSlots, q.lateFree = r.AfterReopen, r.LateSlots
	return q.lateHeld
}

// acquireLate takes a slot of a group that is behind its step rate, if one is free beside those for
// waiting requests of higher-priority levels.
func (l *lateQueues) acquireLate(pool string, level int, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.queue(pool, now)
	if q.lateFree <= q.waitingBefore(level) {
		return false
	}
	q.lateFree--
	q.lateHeld++
	return true
}

// releaseLate releases a slot that was taken by acquireLate.
func (l *lateQueues) releaseLate(pool string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue(pool, now).lateHeld--
}

// dequeue removes a request that was added by enqueue; admitted tells whether it got a slot.
func (l *lateQueues) dequeue(pool string, level int, now time.Duration, admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.queue(pool, now)
	if q.waiting[level]--; q.waiting[level] == 0 {
		delete(q.waiting, level)
	}
	if admitted {
		q.admitted++
	}
}
