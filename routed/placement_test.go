package routed

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/lockstep"
)

func TestCallsGoWhereThePaceIsKept(t *testing.T) {
	is := is.New(t)
	paced := room{group: "a", state: lockstep.Paced, places: 10, own: 4}
	behind := room{group: "b", state: lockstep.Behind, places: 6, own: 5}
	stalled := room{group: "c", state: lockstep.Stalled, places: 9, own: 7}
	closed := room{group: "d", state: lockstep.Closed, places: 9}
	is.Equal(total([]room{paced, behind, stalled, closed}), PoolCapacity{OnTime: 10, OtherInFlight: 12, LateSlots: 1})
	is.Equal(total([]room{behind, stalled}), PoolCapacity{OnTime: 6, OtherInFlight: 7})                  // the best there is
	is.Equal(total([]room{stalled, closed}), PoolCapacity{OnTime: 1, OtherInFlight: 7, AfterReopen: 18}) // one call at a time finds out
	is.Equal(total([]room{closed}), PoolCapacity{AfterReopen: 9})
	is.Equal(total(nil), PoolCapacity{})
}

// TestOneSilentCallDoesNotCloseAGroupForAnEntry plays an entry with a single call, to an
// endpoint that never answers, in a group that runs.
func TestOneSilentCallDoesNotCloseAGroupForAnEntry(t *testing.T) {
	is := is.New(t)
	groups := lockstep.New()
	groups.Report("10.0.0.1:80", "g", false)
	groups.Sent(0, "g")
	const longest = 120 * time.Millisecond
	now := time.Second
	r := room{group: "g", state: groups.State(now, "g", longest), places: 5, own: 1}
	is.Equal(r.state, lockstep.Stalled)
	is.Equal(total([]room{r}), PoolCapacity{OnTime: 1, OtherInFlight: 1, AfterReopen: 5}) // a second call may go
	groups.Sent(now, "g")
	groups.Chunk(now+150*time.Millisecond, "g", 0, longest)
	is.Equal(groups.State(now+200*time.Millisecond, "g", longest), lockstep.Paced)
}

func TestALateCallLeavesThePacedPlaces(t *testing.T) {
	is := is.New(t)
	groups := lockstep.New()
	groups.Report("10.0.0.1:80", "a", false)
	groups.Report("10.0.0.2:80", "b", false)
	p := &placement{pools: map[string][]room{"p": {
		{group: "a", state: lockstep.Paced, places: 3}, {group: "b", state: lockstep.Behind, places: 3},
	}}}
	a, b := &endpoint.Endpoint{Pool: "p", Addr: "10.0.0.1:80"}, &endpoint.Endpoint{Pool: "p", Addr: "10.0.0.2:80"}
	inTime, late := p.allow(groups, "p", true), p.allow(groups, "p", false)
	is.True(inTime(a) && !inTime(b))
	is.True(late(b) && !late(a))
	for range 3 {
		groups.Sent(0, "b")
	}
	late = p.allow(groups, "p", false)
	is.True(late(a) && !late(b)) // none left there
	is.Equal(p.allow(groups, "other", true) == nil, true)
}

// TestOnlyAYoungEntryWaitsForHosts has a site since a second: engines of which no host has
// spoken are left alone for a moment after that, and never again.
func TestOnlyAYoungEntryWaitsForHosts(t *testing.T) {
	is := is.New(t)
	b := newBed(t, answerOK)
	is.True(b.server.young(time.Second))
	is.True(b.server.young(time.Second + reportGrace/2))
	is.True(!b.server.young(time.Second + reportGrace))
}
