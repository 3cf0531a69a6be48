package quarantine

import (
	"strconv"
	"testing"
	"time"

	"github.com/lilackeel/lilackeel/call"
)

// BenchmarkRequest measures the cost of one request at an entry that tracks no requests, and at one
// that tracks the maximum.
func BenchmarkRequest(b *testing.B) {
	body := make([]byte, 4<<10)
	for _, tracked := range []int{0, maxRequests} {
		b.Run(strconv.Itoa(tracked), func(b *testing.B) {
			tracker := NewTracker()
			for i := range tracked {
				tracker.RecordCrash(time.Second, fp(strconv.Itoa(i)), "e"+strconv.Itoa(i/10))
			}
			for b.Loop() {
				f := call.FingerprintOf("crew", "POST", "/draft", body)
				tracker.HoldRemaining(time.Second, f)
				tracker.RecordCompletion(time.Second, time.Second, f, "engine/1")
			}
		})
	}
}

// BenchmarkCrashReport measures the cost of recording one crash with the tracker full.
func BenchmarkCrashReport(b *testing.B) {
	tracker := NewTracker()
	i := 0
	for b.Loop() {
		i++
		tracker.RecordCrash(time.Second, fp(strconv.Itoa(i)), "e"+strconv.Itoa(i/10))
	}
}

// BenchmarkAttempt measures the cost of recording an attempt while some requests are suspects.
func BenchmarkAttempt(b *testing.B) {
	tracker := NewTracker()
	for i := range 100 {
		tracker.RecordCrash(0, fp(strconv.Itoa(i)), "e")
	}
	f := fp("good")
	for b.Loop() {
		tracker.AttemptStarted(0, f)
		tracker.AttemptEnded(0, f)
	}
}
