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

// BenchmarkPartsOfRequest measures what a request with three parts costs while a part is held.
func BenchmarkPartsOfRequest(b *testing.B) {
	tracker := NewTracker().Parts()
	for i := range 3 {
		tracker.RecordCrash(time.Duration(i)*4*time.Second, NewParts("pool", "crew", []string{"crash"}), strconv.Itoa(i))
	}
	ids := []string{"5c1e07a2", "91bd3f06", ""}
	for i := range b.N {
		ids[2] = strconv.Itoa(i)
		parts := NewParts("pool", "crew", ids)
		if tracker.Refusal(9*time.Second, parts) != nil {
			b.Fatal("refused")
		}
		end, _ := tracker.BeginAttempt(9*time.Second, parts)
		tracker.RecordSurvival(10*time.Second, 9*time.Second, parts, "run")
		end()
	}
}

// BenchmarkMergePartReports measures one batch of reports on new parts at an entry that tracks as many
// as it may, of which 32 are candidates.
func BenchmarkMergePartReports(b *testing.B) {
	tracker := NewTracker()
	ids := make([]string, maxPartsPerRequest-1)
	for i := range ids {
		ids[i] = "held " + strconv.Itoa(i)
	}
	for i := range maxRuns {
		tracker.Parts().RecordCrash(time.Duration(i)*4*time.Second, NewParts("pool", "crew", ids), strconv.Itoa(i))
	}
	for n := 0; b.Loop(); {
		reports := make([]CrashReport, maxBatch)
		for i := range reports {
			n++
			reports[i] = CrashReport{Request: call.PartFingerprint("pool", strconv.Itoa(n)), Run: uint64(n / 16), At: time.Duration(n)}
		}
		tracker.Merge(time.Minute, reports)
	}
}
