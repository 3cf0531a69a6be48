package routed

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/lockstep"
)

func TestPoolCapacityPrefersPacedGroups(t *testing.T) {
	is := is.New(t)
	paced := groupCapacity{group: "a", state: lockstep.Paced, limit: 10, ownCalls: 4}
	behind := groupCapacity{group: "b", state: lockstep.Behind, limit: 6, ownCalls: 5}
	stalled := groupCapacity{group: "c", state: lockstep.Stalled, limit: 9, ownCalls: 7}
	closed := groupCapacity{group: "d", state: lockstep.Closed, limit: 9}
	is.Equal(poolCapacity([]groupCapacity{paced, behind, stalled, closed}), PoolCapacity{OnTime: 10, OtherInFlight: 12, LateSlots: 1})
	is.Equal(poolCapacity([]groupCapacity{behind, stalled}), PoolCapacity{OnTime: 6, OtherInFlight: 7})                  // the best available
	is.Equal(poolCapacity([]groupCapacity{stalled, closed}), PoolCapacity{OnTime: 1, OtherInFlight: 7, AfterReopen: 18}) // one call at a time as a probe
	is.Equal(poolCapacity([]groupCapacity{closed}), PoolCapacity{AfterReopen: 9})
	is.Equal(poolCapacity(nil), PoolCapacity{})
}

// TestSingleUnansweredCallDoesNotCloseGroup has an entry whose only call is at an endpoint
// that never responds, in a group that runs.
func TestSingleUnansweredCallDoesNotCloseGroup(t *testing.T) {
	is := is.New(t)
	groups := lockstep.New()
	groups.Report("10.0.0.1:80", "g", false)
	groups.Sent(0, "g")
	const longest = 120 * time.Millisecond
	now := time.Second
	r := groupCapacity{group: "g", state: groups.State(now, "g", longest), limit: 5, ownCalls: 1}
	is.Equal(r.state, lockstep.Stalled)
	is.Equal(poolCapacity([]groupCapacity{r}), PoolCapacity{OnTime: 1, OtherInFlight: 1, AfterReopen: 5}) // a second call is allowed
	groups.Sent(now, "g")
	groups.Chunk(now+150*time.Millisecond, "g", 0, longest)
	is.Equal(groups.State(now+200*time.Millisecond, "g", longest), lockstep.Paced)
}

func TestLateCallPrefersGroupThatIsBehind(t *testing.T) {
	is := is.New(t)
	groups := lockstep.New()
	groups.Report("10.0.0.1:80", "a", false)
	groups.Report("10.0.0.2:80", "b", false)
	p := &placement{pools: map[string][]groupCapacity{"p": {
		{group: "a", state: lockstep.Paced, limit: 3}, {group: "b", state: lockstep.Behind, limit: 3},
	}}}
	a, b := &endpoint.Endpoint{Pool: "p", Addr: "10.0.0.1:80"}, &endpoint.Endpoint{Pool: "p", Addr: "10.0.0.2:80"}
	onTime, late := p.allow(groups, "p", true), p.allow(groups, "p", false)
	is.True(onTime(a) && !onTime(b))
	is.True(late(b) && !late(a))
	for range 3 {
		groups.Sent(0, "b")
	}
	late = p.allow(groups, "p", false)
	is.True(late(a) && !late(b)) // that group is full
	is.Equal(p.allow(groups, "other", true) == nil, true)
}

// TestOnlyRecentlyStartedEntryWaitsForGroupReports has an entry that received its first site a
// second ago. It does not use engines whose hosts have not reported until groupReportGrace has
// passed, and uses them from then on.
func TestOnlyRecentlyStartedEntryWaitsForGroupReports(t *testing.T) {
	is := is.New(t)
	b := newTestEntry(t, answerOK)
	is.True(b.server.recentlyStarted(time.Second))
	is.True(b.server.recentlyStarted(time.Second + groupReportGrace/2))
	is.True(!b.server.recentlyStarted(time.Second + groupReportGrace))
}
