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
