package lockstep

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const longest = 120 * time.Millisecond

func TestAGroupThatStopsIsStalledUntilItIsHeard(t *testing.T) {
	is := is.New(t)
	tracker := New()
	tracker.Report("e1", "g", false)
	tracker.Report("e2", "g", false)
	is.Equal(tracker.GroupOf("e1"), "g")
	is.Equal(tracker.State(time.Second, "g", longest), Paced) // no calls: silence says nothing
	tracker.Sent(time.Second, "g")
	is.Equal(tracker.State(1200*time.Millisecond, "g", longest), Paced) // a prompt is being read
	is.Equal(tracker.State(1400*time.Millisecond, "g", longest), Stalled)
	tracker.Chunk(1500*time.Millisecond, "g", 0, longest)
	is.Equal(tracker.State(1600*time.Millisecond, "g", longest), Paced)
	is.Equal(tracker.TimeSinceProgress(2500*time.Millisecond, "g"), time.Second)
	tracker.Done("g")
	is.Equal(tracker.State(time.Minute, "g", longest), Paced)
	is.Equal(tracker.TimeSinceProgress(time.Minute, "g"), time.Duration(0))
}

func TestAGroupIsClosedWhileMostOfItsRanksSaySo(t *testing.T) {
	is := is.New(t)
	tracker := New()
	for _, addr := range []string{"e1", "e2", "e3"} {
		tracker.Report(addr, "g", true)
	}
	is.Equal(tracker.State(0, "g", longest), Closed)
	tracker.Report("e1", "g", false)
	is.Equal(tracker.State(0, "g", longest), Closed)
	tracker.Report("e2", "g", false)
	is.Equal(tracker.State(0, "g", longest), Paced) // e3 has been cut off, or its host
	tracker.Report("e2", "g", true)
	tracker.ClearReport("e2")
	is.Equal(tracker.State(0, "g", longest), Paced) // nobody speaks for it any more
	is.Equal(tracker.GroupOf("e2"), "g")            // it still belongs there
	tracker.Report("e3", "h", false)                // formed elsewhere
	is.Equal(tracker.GroupOf("e3"), "h")
	is.Equal(tracker.State(0, "", longest), Paced) // no group, no judgement
}

// TestASlowRankPutsItsGroupBehind plays a group whose steps take five times as long for
// a while, as when one rank of it is slow: 60 ms, then 300 ms.
func TestASlowRankPutsItsGroupBehind(t *testing.T) {
	is := is.New(t)
	tracker := New()
	tracker.Sent(0, "g")
	now := time.Duration(0)
	run := func(pause time.Duration, steps int) {
		for range steps {
			now += pause
			tracker.Chunk(now, "g", pause, longest)
		}
	}
	run(60*time.Millisecond, 20)
	run(200*time.Millisecond, 1)
	is.Equal(tracker.State(now, "g", longest), Paced) // one long step
	run(250*time.Millisecond, 4)
	is.Equal(tracker.State(now, "g", longest), Behind)
	is.Equal(tracker.State(now+2*paceTTL, "h", longest), Paced)
	run(60*time.Millisecond, 30)
	is.Equal(tracker.State(now, "g", longest), Paced)
	run(250*time.Millisecond, 6)
	tracker.Done("g")
	is.Equal(tracker.State(now+2*paceTTL, "g", longest), Paced) // worth a try again
}

func TestAGroupThatAllHaveLeftIsForgottenWithItsLastCall(t *testing.T) {
	is := is.New(t)
	tracker := New()
	tracker.Report("a", "g", true)
	tracker.Report("b", "g", true)
	tracker.Sent(0, "g")
	tracker.Forget("a")
	tracker.Report("b", "h", false) // its engine is of another group now
	is.Equal(tracker.InFlight("g"), 1)
	is.Equal(len(tracker.groups), 2)
	tracker.Done("g")
	is.Equal(len(tracker.groups), 1)
	tracker.Forget("b")
	is.Equal(len(tracker.groups), 0)
	is.Equal(len(tracker.members), 0)
}
