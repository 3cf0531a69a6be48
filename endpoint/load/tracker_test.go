package load

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/endpoint"
)

// TestCountsOwnCallsOnce checks that a call is counted exactly once from dispatch
// until its end, regardless of the reports that arrive in between, and that the
// estimate of running calls is never below this entry's own calls in flight.
func TestCountsOwnCallsOnce(t *testing.T) {
	is := is.New(t)
	table := endpoint.NewTable()
	table.Replace([]endpoint.Endpoint{{ID: "a", Pool: "p", Slots: 8, Group: "g"}})
	tracker := New(Config{DecayTime: -1}, table)
	running := func(now time.Duration) float64 { return tracker.Estimate(now, "a").Running }

	tracker.Report(0, "a", Report{Running: 2, Age: 0})
	first := tracker.Sent(time.Second, "a", Work{PromptTokens: 100})
	second := tracker.Sent(2*time.Second, "a", Work{PromptTokens: 100})
	is.Equal(running(2*time.Second), 4.0)

	late := Report{Running: 3, Age: 1500 * time.Millisecond} // taken between the two calls
	tracker.Report(3*time.Second, "a", late)
	is.Equal(running(3*time.Second), 4.0)
	tracker.Report(3*time.Second, "a", Report{Running: 9, Age: 2900 * time.Millisecond})
	is.Equal(running(3*time.Second), 4.0) // older than the last report: dropped

	tracker.Done(4*time.Second, &second, Result{Tokens: 5})
	is.Equal(running(4*time.Second), 3.0)
	tracker.Report(5*time.Second, "a", Report{Age: 0}) // reports no running calls
	is.Equal(running(5*time.Second), 1.0)
	tracker.Done(5*time.Second, &first, Result{Tokens: 5})
	is.Equal(running(5*time.Second), 0.0)
}

// TestTrackerFollowsTable checks that an endpoint moved to another group counts
// in the new group, and that a late report or the end of a call does not restore
// the state of an endpoint that has left.
func TestTrackerFollowsTable(t *testing.T) {
	is := is.New(t)
	table := endpoint.NewTable()
	table.Replace([]endpoint.Endpoint{{ID: "a", Group: "g"}, {ID: "b", Group: "h"}})
	tracker := New(Config{DecayTime: -1}, table)
	tracker.Report(0, "a", Report{Running: 2})
	tracker.Report(0, "b", Report{Running: 5})
	table.Apply([]endpoint.Endpoint{{ID: "a", Group: "h", Revision: 1}}, nil)
	tracker.Report(0, "a", Report{Running: 2})
	is.Equal(tracker.Estimate(0, "b").GroupRunning, 7.0)

	call := tracker.Sent(0, "a", Work{})
	table.Apply(nil, []string{"a"})
	tracker.Forget("a")
	tracker.Done(0, &call, Result{})
	tracker.Report(0, "a", Report{Running: 9})
	is.Equal(tracker.Estimate(0, "b").GroupRunning, 5.0)
	is.Equal(len(tracker.records), 1)
}
