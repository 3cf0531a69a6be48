package routed

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/lockstep"
	"github.com/lilackeel/lilackeel/endpoint/speed"
)

// ungroupedPrefix begins the group name for the endpoints of a pool that, as far as is known,
// do not run in lock-step. Names of lock-step groups cannot contain this character.
const ungroupedPrefix = "\x00"

// groupOf returns the lock-step group of an endpoint. Endpoints without one share a name per
// pool.
func groupOf(groups *lockstep.Tracker, e *endpoint.Endpoint) string {
	if name := groups.GroupOf(e.Addr); name != "" {
		return name
	}
	return ungroupedPrefix + e.Pool
}

// isUngrouped reports whether a name stands for endpoints that do not run in lock-step. The
// silence of one of them is no evidence about the others.
func isUngrouped(group string) bool { return strings.HasPrefix(group, ungroupedPrefix) }

// placement states how many calls this entry may have in flight in each group of each pool. It
// is immutable.
type placement struct {
	pools map[string][]groupCapacity
	// reopensAt is, for each pool in which no endpoint accepts requests, when the first one
	// accepts requests again.
	reopensAt map[string]time.Duration
	// sizes is the number of endpoints of each pool.
	sizes map[string]int
}

// groupCapacity is the capacity of one group that is available to this entry.
type groupCapacity struct {
	group string
	state lockstep.State
	// limit is how many calls may be in flight, deferred is how many of these may start only
	// after the next update, and ownCalls is how many are in flight.
	limit, deferred, ownCalls int
	// slowdown is that of the slowest rank.
	slowdown float64
}

// PoolCapacity is the capacity of a pool that is available to an entry.
type PoolCapacity struct {
	// OnTime is how many calls may be in flight in groups that respond on time.
	OnTime int
	// Deferred is how many more calls may be in flight in these groups after the next update.
	Deferred int
	// OtherInFlight is how many calls are in flight in other groups.
	OtherInFlight int
	// LateSlots is how many more calls may start in groups that respond late.
	LateSlots int
	// AfterReopen is, while no group runs, how many calls may be in flight once groups run
	// again. That many calls may queue.
	AfterReopen int
}

// poolCapacity sums the groups of a pool. If no group is paced, the groups that are behind
// count as on time. A stalled group gets no new calls: a queued call would wait as long there,
// and another group may become available sooner. If no group runs, one more call at a
// time is let through to each to find out whether it runs again: the group may only seem
// stalled because a single endpoint holds this entry's only call.
func poolCapacity(capacities []groupCapacity) PoolCapacity {
	var capacity PoolCapacity
	if len(capacities) > 0 && bestState(capacities) >= lockstep.Stalled {
		for _, r := range capacities {
			capacity.AfterReopen += r.limit
		}
	}
	if bestState(capacities) == lockstep.Stalled {
		for _, r := range capacities {
			if capacity.OtherInFlight += r.ownCalls; r.state == lockstep.Stalled {
				capacity.OnTime++
			}
		}
		return capacity
	}
	wantedState := max(min(bestState(capacities), lockstep.Behind), lockstep.Paced)
	for _, r := range capacities {
		switch {
		case r.state == wantedState:
			capacity.OnTime += r.limit - r.deferred
			capacity.Deferred += r.deferred
		case r.state == lockstep.Behind:
			capacity.LateSlots += max(r.limit-r.deferred-r.ownCalls, 0)
			capacity.OtherInFlight += r.ownCalls
		default:
			capacity.OtherInFlight += r.ownCalls
		}
	}
	return capacity
}

// lowestSlowdown returns the slowdown of the fastest group, which gets the calls that can be on time.
func lowestSlowdown(capacities []groupCapacity) float64 {
	if len(capacities) == 0 {
		return speed.Nominal
	}
	return slices.MinFunc(capacities, func(a, b groupCapacity) int { return cmp.Compare(a.slowdown, b.slowdown) }).slowdown
}

// bestState returns the best state of any group.
func bestState(capacities []groupCapacity) lockstep.State {
	state := lockstep.Closed
	for _, r := range capacities {
		state = min(state, r.state)
	}
	return state
}

// allow returns which endpoints a call may use: those of the group with the largest fraction
// of free capacity. A call that can be on time uses a paced group. While a group is behind, a
// call that is late anyway uses that group and leaves the paced capacity to others. nil allows
// all endpoints.
func (p *placement) allow(groups *lockstep.Tracker, pool string, onTime bool) func(e *endpoint.Endpoint) bool {
	capacities := p.pools[pool]
	if len(capacities) < 2 {
		return nil
	}
	order := [...]lockstep.State{lockstep.Paced, lockstep.Behind}
	if !onTime {
		order = [...]lockstep.State{lockstep.Behind, lockstep.Paced}
	}
	for _, state := range order {
		if group, ok := leastLoaded(capacities, groups, state); ok {
			return func(e *endpoint.Endpoint) bool { return groupOf(groups, e) == group }
		}
	}
	if bestState(capacities) >= lockstep.Stalled {
		return nil
	}
	// All groups are full; one that runs is better than one that does not.
	return func(e *endpoint.Endpoint) bool { return isRunning(capacities, groupOf(groups, e)) }
}

// leastLoaded returns the group in the given state with the largest fraction of free capacity;
// ok is false if none has any.
func leastLoaded(capacities []groupCapacity, groups *lockstep.Tracker, state lockstep.State) (group string, ok bool) {
	mostFree := 0.0
	for _, r := range capacities {
		if r.state != state || r.limit <= 0 {
			continue
		}
		if free := 1 - float64(groups.InFlight(r.group))/float64(r.limit); free > mostFree {
			group, mostFree, ok = r.group, free, true
		}
	}
	return group, ok
}

func isRunning(capacities []groupCapacity, group string) bool {
	for _, r := range capacities {
		if r.group == group {
			return r.state < lockstep.Stalled
		}
	}
	return true
}
