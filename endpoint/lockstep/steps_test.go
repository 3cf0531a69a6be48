package lockstep

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOneLongPassIsNotTakenForThePace plays passes of 65 ms whose parts three streams get within a few
// milliseconds, one of them over a slow link; one pass is held for 600 ms, and later all are.
func TestOneLongPassIsNotTakenForThePace(t *testing.T) {
	is := is.New(t)
	tracker := New()
	tracker.Report("e1", "g", false)
	now := time.Duration(0)
	pass := func(took time.Duration) {
		now += took
		for i, late := range []time.Duration{0, 2 * time.Millisecond, 30 * time.Millisecond} {
			tracker.Chunk(now+time.Duration(i)*time.Millisecond, "g", took+late, longest)
		}
	}
	is.Equal(tracker.RecentStepTime("g"), time.Duration(0))
	for range 10 {
		pass(65 * time.Millisecond)
	}
	pass(600 * time.Millisecond)
	is.True(tracker.RecentStepTime("g") <= longest)
	pass(65 * time.Millisecond)
	pass(65 * time.Millisecond)
	is.True(tracker.RecentStepTime("g") <= longest)
	pass(600 * time.Millisecond)
	pass(600 * time.Millisecond)
	is.Equal(tracker.RecentStepTime("g"), 600*time.Millisecond)
	is.Equal(tracker.RecentStepTime("unknown"), time.Duration(0))
}
