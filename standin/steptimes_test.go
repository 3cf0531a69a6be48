package standin

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A step that does not end raises the step time of every rank in the group, but the own time
// only of the rank that has stalled. An idle engine does not report the times of old steps.
func TestStepTimesOfRunningStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const ranked, stalled = true, true
		var s stepTimes
		for range 5 {
			s.record(5*time.Millisecond, 4*time.Millisecond)
		}
		expect := func(isRanked, isStalled bool, wantStep, wantOwn time.Duration) {
			step, own := s.recent(isRanked, isStalled)
			is.Equal([]time.Duration{step, own}, []time.Duration{wantStep, wantOwn})
		}
		time.Sleep(time.Second)
		expect(ranked, !stalled, time.Second, 4*time.Millisecond)
		expect(ranked, stalled, time.Second, time.Second)
		expect(!ranked, !stalled, 5*time.Millisecond, 4*time.Millisecond)
		time.Sleep(time.Minute)
		expect(!ranked, !stalled, 0, 0)
		s.callStarted() // a call starts after a long idle period
		time.Sleep(20 * time.Millisecond)
		expect(!ranked, !stalled, 20*time.Millisecond, 20*time.Millisecond)
		s.callEnded()
	})
}
