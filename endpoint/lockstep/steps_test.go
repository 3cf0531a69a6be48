package lockstep

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOneLongStepDoesNotAffectRecentStepTime simulates steps of 65 ms whose chunks three streams receive
// within a few milliseconds, one of them over a slow link. A single step of 600 ms must not show in
// RecentStepTime; two in a row must.
func TestOneLongStepDoesNotAffectRecentStepTime(t *testing.T) {
	is := is.New(t)
	tracker := New()
	tracker.Report("e1", "g", false)
	now := time.Duration(0)
	step := func(took time.Duration) {
		now += took
		for i, late := range []time.Duration{0, 2 * time.Millisecond, 30 * time.Millisecond} {
			tracker.Chunk(now+time.Duration(i)*time.Millisecond, "g", took+late, maxGap)
		}
	}
	is.Equal(tracker.RecentStepTime("g"), time.Duration(0))
	for range 10 {
		step(65 * time.Millisecond)
	}
	step(600 * time.Millisecond)
	is.True(tracker.RecentStepTime("g") <= maxGap)
	step(65 * time.Millisecond)
	step(65 * time.Millisecond)
	is.True(tracker.RecentStepTime("g") <= maxGap)
	step(600 * time.Millisecond)
	step(600 * time.Millisecond)
	is.Equal(tracker.RecentStepTime("g"), 600*time.Millisecond)
	is.Equal(tracker.RecentStepTime("unknown"), time.Duration(0))
}
