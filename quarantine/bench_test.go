package quarantine

import (
	"strconv"
	"testing"
	"time"

	"github.com/lilackeel/lilackeel/call"
)

// BenchmarkRequest is what one request costs an entry that remembers no request, and one that
// remembers as many as it may.
func BenchmarkRequest(b *testing.B) {
	body := make([]byte, 4<<10)
	for _, known := range []int{0, maxRequests} {
		b.Run(strconv.Itoa(known), func(b *testing.B) {
			tracker := NewTracker()
			for i := range known {
				tracker.RecordCrash(time.Second, named(strconv.Itoa(i)), "e"+strconv.Itoa(i/10))
			}
			for b.Loop() {
				f := call.FingerprintOf("crew", "POST", "/draft", body)
				tracker.HoldRemaining(time.Second, f)
				tracker.RecordCompletion(time.Second, time.Second, f, "engine/1")
			}
		})
	}
}

// BenchmarkCrashReport is what one end under a request costs where as many are remembered as may be.
func BenchmarkCrashReport(b *testing.B) {
	tracker := NewTracker()
	i := 0
	for b.Loop() {
		i++
		tracker.RecordCrash(time.Second, named(strconv.Itoa(i)), "e"+strconv.Itoa(i/10))
	}
}

// BenchmarkAttempt is what noting an attempt costs a request, while some requests are suspects.
func BenchmarkAttempt(b *testing.B) {
	t := NewTracker()
	for i := range 100 {
		t.RecordCrash(0, named(strconv.Itoa(i)), "e")
	}
	f := named("good")
	for b.Loop() {
		t.AttemptStarted(0, f)
		t.AttemptEnded(0, f)
	}
}
