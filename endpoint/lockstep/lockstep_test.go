package lockstep

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const maxGap = 120 * time.Millisecond

func TestStalledGroupRecoversWithNextChunk(t *testing.T) {
	is := is.New(t)
	tracker := New()
	tracker.Report("e1", "g", false)
	tracker.Report("e2", "g", false)
	is.Equal(tracker.GroupOf("e1"), "g")
	is.Equal(tracker.State(time.Second, "g", maxGap), Paced) // without calls in flight, no progress is expected
	tracker.Sent(time.Second, "g")
	is.Equal(tracker.State(1200*time.Millisecond, "g", maxGap), Paced) // within the time allowed for prefill
	is.Equal(tracker.State(1400*time.Millisecond, "g", maxGap), Stalled)
	tracker.Chunk(1500*time.Millisecond, "g", 0, maxGap)
	is.Equal(tracker.State(1600*time.Millisecond, "g", maxGap), Paced)
	is.Equal(tracker.TimeSinceProgress(2500*time.Millisecond, "g"), time.Second)
	tracker.Done("g")
	is.Equal(tracker.State(time.Minute, "g", maxGap), Paced)
	is.Equal(tracker.TimeSinceProgress(time.Minute, "g"), time.Duration(0))
}

func TestGroupIsClosedByMajorityOfRanks(t *testing.T) {
	is := is.New(t)
	tracker := New()
	for _, addr := range []string{"e1", "e2", "e3"} {
		tracker.Report(addr, "g", true)
	}
	is.Equal(tracker.State(0, "g", maxGap), Closed)
	tracker.Report("e1", "g", false)
	is.Equal(tracker.State(0, "g", maxGap), Closed)
	tracker.Report("e2", "g", false)
	is.Equal(tracker.State(0, "g", maxGap), Paced) // e3 or its host has been disconnected
	tracker.Report("e2", "g", true)
	tracker.ClearReport("e2")
	is.Equal(tracker.State(0, "g", maxGap), Paced) // reports about e2 have ceased
	is.Equal(tracker.GroupOf("e2"), "g")           // membership is kept
	tracker.Report("e3", "h", false)               // now a rank of another group
	is.Equal(tracker.GroupOf("e3"), "h")
	is.Equal(tracker.State(0, "", maxGap), Paced) // without a group nothing is known
}

// TestSlowRankPutsGroupBehind simulates a group whose step time rises from 60 ms to 250 ms
// for a while, as when one of its ranks is slow.
func TestSlowRankPutsGroupBehind(t *testing.T) {
	is := is.New(t)
	tracker := New()
	tracker.Sent(0, "g")
	now := time.Duration(0)
	run := func(gap time.Duration, steps int) {
		for range steps {
			now += gap
			tracker.Chunk(now, "g", gap, maxGap)
		}
	}
	run(60*time.Millisecond, 20)
	run(200*time.Millisecond, 1)
	is.Equal(tracker.State(now, "g", maxGap), Paced) // one long step
	run(250*time.Millisecond, 4)
	is.Equal(tracker.State(now, "g", maxGap), Behind)
	is.Equal(tracker.State(now+2*gapTTL, "h", maxGap), Paced)
	run(60*time.Millisecond, 30)
	is.Equal(tracker.State(now, "g", maxGap), Paced)
	run(250*time.Millisecond, 6)
	tracker.Done("g")
	is.Equal(tracker.State(now+2*gapTTL, "g", maxGap), Paced) // may be tried again
}

func TestGroupWithoutMembersIsDroppedWithLastCall(t *testing.T) {
	is := is.New(t)
	tracker := New()
	tracker.Report("a", "g", true)
	tracker.Report("b", "g", true)
	tracker.Sent(0, "g")
	tracker.Forget("a")
	tracker.Report("b", "h", false) // its engine now belongs to another group
	is.Equal(tracker.InFlight("g"), 1)
	is.Equal(len(tracker.groups), 2)
	tracker.Done("g")
	is.Equal(len(tracker.groups), 1)
	tracker.Forget("b")
	is.Equal(len(tracker.groups), 0)
	is.Equal(len(tracker.members), 0)
}
