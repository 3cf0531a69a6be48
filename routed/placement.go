package routed

import (
	"strings"
	"time"

	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/lockstep"
)

// looseGroup begins the name of the endpoints of a pool that run their steps each by
// itself, as far as is known. A name of a group has no such sign.
const looseGroup = "\x00"

// groupOf returns the lock-step group of an endpoint or, for one of none, a name for all
// such endpoints of its pool.
func groupOf(groups *lockstep.Tracker, e *endpoint.Endpoint) string {
	if name := groups.GroupOf(e.Addr); name != "" {
		return name
	}
	return looseGroup + e.Pool
}

// isLoose reports whether a name stands for endpoints that do not run in lock-step: the
// silence of one says nothing about the others.
func isLoose(group string) bool { return strings.HasPrefix(group, looseGroup) }

// placement says how many calls this entry may have in flight in each group of each
// pool. It does not change.
type placement struct {
	pools map[string][]room
	// reopens is when the first endpoint of each pool takes a request again, of those pools in
	// which none does now.
	reopens map[string]time.Duration
	// sizes is how many endpoints each pool has.
	sizes map[string]int
}

// room is what there is for this entry in one group.
type room struct {
	group string
	state lockstep.State
	// places is how many calls it may have in flight, held how many of these only after the
	// next look, own how many it has.
	places, held, own int
}

// Room is what there is for an entry in a pool.
type PoolCapacity struct {
	// InTime is how many calls may be in flight where answers come in time.
	OnTime int
	// Stuck is how many calls are in flight elsewhere.
	OtherInFlight int
	// Late is how many more calls may begin where answers come late.
	LateSlots int
	// Opening is how many calls may be in flight once groups run again, while none does:
	// so many may wait for that.
	AfterReopen int
}

// total adds up the groups of a pool. Where none keeps the pace, those that are behind
// are the best there are. One that has stopped takes nothing new: what waits for it
// would wait as long, and another may be free sooner. Where all have stopped one more call
// is let through to each at a time, which shows whether it runs again: the silence may be
// that of a single endpoint that holds this entry's only call.
func total(rooms []room) PoolCapacity {
	var sum PoolCapacity
	if len(rooms) > 0 && best(rooms) >= lockstep.Stalled {
		for _, r := range rooms {
			sum.AfterReopen += r.places
		}
	}
	if best(rooms) == lockstep.Stalled {
		for _, r := range rooms {
			if sum.OtherInFlight += r.own; r.state == lockstep.Stalled {
				sum.OnTime++
			}
		}
		return sum
	}
	wanted := max(min(best(rooms), lockstep.Behind), lockstep.Paced)
	for _, r := range rooms {
		switch {
		case r.state == wanted:
			sum.OnTime += r.places - r.held
		case r.state == lockstep.Behind:
			sum.LateSlots += max(r.places-r.held-r.own, 0)
			sum.OtherInFlight += r.own
		default:
			sum.OtherInFlight += r.own
		}
	}
	return sum
}

// best is the best state of any group.
func best(rooms []room) lockstep.State {
	state := lockstep.Closed
	for _, r := range rooms {
		state = min(state, r.state)
	}
	return state
}

// allow returns which endpoints a call may go to: those of the group that has most room
// left. A call that can be in time goes to a group that keeps the pace; one that is late
// anyway leaves those places to others while a group is behind. nil allows all.
func (p *placement) allow(groups *lockstep.Tracker, pool string, inTime bool) func(e *endpoint.Endpoint) bool {
	rooms := p.pools[pool]
	if len(rooms) < 2 {
		return nil
	}
	order := [...]lockstep.State{lockstep.Paced, lockstep.Behind}
	if !inTime {
		order = [...]lockstep.State{lockstep.Behind, lockstep.Paced}
	}
	for _, state := range order {
		if group, ok := roomiest(rooms, groups, state); ok {
			return func(e *endpoint.Endpoint) bool { return groupOf(groups, e) == group }
		}
	}
	if best(rooms) >= lockstep.Stalled {
		return nil
	}
	// All are full: one that runs is better than one that does not.
	return func(e *endpoint.Endpoint) bool { return runs(rooms, groupOf(groups, e)) }
}

// roomiest returns the group in a state with the largest part of its places left; ok is
// false if none has any.
func roomiest(rooms []room, groups *lockstep.Tracker, state lockstep.State) (group string, ok bool) {
	most := 0.0
	for _, r := range rooms {
		if r.state != state || r.places <= 0 {
			continue
		}
		if left := 1 - float64(groups.InFlight(r.group))/float64(r.places); left > most {
			group, most, ok = r.group, left, true
		}
	}
	return group, ok
}

func runs(rooms []room, group string) bool {
	for _, r := range rooms {
		if r.group == group {
			return r.state < lockstep.Stalled
		}
	}
	return true
}
