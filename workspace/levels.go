package workspace

import (
	"math"
	"time"

	"github.com/lilackeel/lilackeel/fault"
)

// SetLevels turns the order by level on or off, see Config.Levels. It also applies to the requests
// that are queued.
func (a *Admission) SetLevels(now time.Duration, on bool) {
	if a.config.Levels == on {
		return
	}
	a.config.Levels = on
	clear(a.queuedByLevel)
	clear(a.leastShares)
	for _, s := range a.active {
		for _, e := range s.queue.items {
			e.level = a.levelOf(&e.request)
			a.countQueued(e.level, 1)
		}
		s.queue.rebuild()
	}
	a.recompute(now)
}

// levelOf returns the level by which a request is ordered.
func (a *Admission) levelOf(r *Request) int {
	if a.config.Levels {
		return r.Level
	}
	return 0
}

// countQueued adds change to the number of queued requests of a level.
func (a *Admission) countQueued(level, change int) {
	if !a.config.Levels {
		return
	}
	if a.queuedByLevel[level] += change; a.queuedByLevel[level] == 0 {
		delete(a.queuedByLevel, level)
	}
}

// queuedBefore returns the number of queued requests of levels with a higher priority.
func (a *Admission) queuedBefore(level int) int {
	sum := 0
	for other, count := range a.queuedByLevel {
		if other < level {
			sum += count
		}
	}
	return sum
}

// queuedUpTo returns the number of queued requests of a level and of those with a higher priority.
func (a *Admission) queuedUpTo(level int) int {
	if !a.config.Levels {
		return a.queued
	}
	return a.queuedBefore(level) + a.queuedByLevel[level]
}

const (
	// maxLeastShares bounds the least shares of all levels together.
	maxLeastShares = 0.5
	// askingTime is how long after its last request a level still earns its least share.
	askingTime = time.Second
)

// leastShare describes what a level is owed by Config.LeastShare.
type leastShare struct {
	// credit is the number of slots that the level is owed, at most 1.
	credit  float64
	askedAt time.Duration
}

// countAsking records a request of a level. Requests that are refused count too: while the queue is
// long, no request of a lower-priority level would be queued otherwise.
func (a *Admission) countAsking(now time.Duration, level int) {
	if !a.config.Levels || a.config.LeastShare <= 0 {
		return
	}
	l := a.leastShares[level]
	if l == nil {
		l = &leastShare{}
		a.leastShares[level] = l
	}
	l.askedAt = now
}

// leastShareOf returns the least share of each level, as a fraction of the granted slots.
func (a *Admission) leastShareOf() float64 {
	return min(a.config.LeastShare, maxLeastShares/float64(max(len(a.leastShares), 1)))
}

// creditLevels credits the levels with recent requests with their least share of the slot that e
// gets, and debits the level of e.
func (a *Admission) creditLevels(now time.Duration, e *entry) {
	share := a.leastShareOf()
	for level, l := range a.leastShares {
		if now-l.askedAt > askingTime && a.queuedByLevel[level] == 0 {
			delete(a.leastShares, level)
			continue
		}
		l.credit = min(l.credit+share, 1)
	}
	if l := a.leastShares[e.level]; l != nil {
		l.credit = max(l.credit-1, 0)
	}
}

// owedWait estimates how long a request waits for a slot that its level is owed, in seconds. It is
// infinite without a least share.
func (a *Admission) owedWait(now time.Duration, e *entry) float64 {
	l := a.leastShares[e.level]
	if l == nil {
		return math.Inf(1)
	}
	needed := float64(a.queuedByLevel[e.level]) + 1 - l.credit
	rate := max(a.releaseRate(now), minRate)
	if needed <= roundingSlack {
		return 1 / rate
	}
	return needed / (a.leastShareOf() * rate)
}

// owedRequest returns the request that starts next because its level is owed a slot, or nil. Of
// several such levels, the one with the highest priority goes first.
func (a *Admission) owedRequest() *entry {
	var next *entry
	for level, l := range a.leastShares {
		if l.credit < 1-roundingSlack || a.queuedByLevel[level] == 0 || next != nil && next.level < level {
			continue
		}
		if e := a.firstOf(level); e != nil {
			next = e
		}
	}
	return next
}

// firstOf returns the first request of a level in the workspace with the least virtual time, among
// those whose next request may start; nil if there is none.
func (a *Admission) firstOf(level int) *entry {
	var first *entry
	for _, s := range a.byVirtualTime.items {
		if first != nil && s.virtualTime >= first.workspace.virtualTime {
			continue
		}
		var own *entry
		for _, e := range s.queue.items {
			if e.level == level && (own == nil || e.before(own)) {
				own = e
			}
		}
		if own != nil {
			first = own
		}
	}
	return first
}

// makeRoomByLevel evicts a request of the lowest-priority level that has queued requests, if e is of
// a level with a higher priority; within one level, the longest queue loses a request, as without
// levels. Otherwise it returns the fault for e.
func (a *Admission) makeRoomByLevel(now time.Duration, e *entry) *fault.Error {
	lowest := math.MinInt
	for level := range a.queuedByLevel {
		lowest = max(lowest, level)
	}
	longest := a.longestQueueWith(lowest)
	if lowest < e.level || lowest == e.level && float64(e.workspace.queue.len()+1)/e.workspace.limits.weight() >= longest.weightedQueueLength() {
		return a.overloadedFault(now, e.workspace, "the limit on queued requests over all workspaces is reached")
	}
	a.evict(now, longest)
	return nil
}

// longestQueueWith returns the workspace with the longest weighted queue among those with a queued
// request of the level; there must be one. It looks at all queued requests, of which there are at
// most Config.MaxQueued.
func (a *Admission) longestQueueWith(level int) *workspaceState {
	var longest *workspaceState
	for _, s := range a.byQueueLength.items {
		if longest != nil && !longerQueue(s, longest) {
			continue
		}
		for _, e := range s.queue.items {
			if e.level == level {
				longest = s
				break
			}
		}
	}
	return longest
}

// advanceMinVirtualTime raises minVirtualTime to the least virtual time of the workspaces whose next
// request may start. With levels, the first workspace need not have the least one.
func (a *Admission) advanceMinVirtualTime() {
	top := a.byVirtualTime.top()
	if top == nil {
		return
	}
	least := top.virtualTime
	if a.config.Levels {
		for _, s := range a.byVirtualTime.items {
			least = min(least, s.virtualTime)
		}
	}
	a.minVirtualTime = max(a.minVirtualTime, least)
}
