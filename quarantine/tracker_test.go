package quarantine

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/call"
)

func named(name string) call.Fingerprint { return call.FingerprintOf("crew", "POST", "/"+name, nil) }

// played is a tracker that has seen so many requests complete that crashes are rare.
func played(now time.Duration) *Tracker {
	b := NewTracker()
	for range 1000 {
		b.RecordCompletion(now, now, named("good"), "runs on")
	}
	return b
}

func TestARequestIsHeldAfterThreeEnds(t *testing.T) {
	is := is.New(t)
	b, bad := played(0), named("bad")
	is.Equal(b.RecordCrash(1*time.Second, bad, "e1"), CrashResult{Crashes: 1})
	is.Equal(b.RecordCrash(1*time.Second, bad, "e1"), CrashResult{Crashes: 1}) // one crash, reported twice
	is.Equal(b.RecordCrash(2*time.Second, bad, "e2"), CrashResult{Crashes: 2})
	is.Equal(b.RecordCrash(3*time.Second, bad, "e3"), CrashResult{Crashes: 3, Hold: firstHold})
	is.Equal(b.HoldRemaining(13*time.Second, bad), firstHold-10*time.Second)
	is.Equal(b.HoldRemaining(13*time.Second, named("good")), time.Duration(0))
	// It may run again after the hold, which grows with each further end.
	is.Equal(b.HoldRemaining(3*time.Second+firstHold, bad), time.Duration(0))
	is.Equal(b.RecordCrash(70*time.Second, bad, "e4"), CrashResult{Crashes: 4, Hold: holdGrowth * firstHold})
}

func TestARequestThatRunsToItsEndIsCleared(t *testing.T) {
	is := is.New(t)
	b, other, unlucky := played(0), played(0), named("unlucky")
	for i := range 3 {
		b.RecordCrash(time.Second, unlucky, "e"+strconv.Itoa(i))
	}
	reports, position := b.LocalReports().Since(0)
	is.Equal(other.Merge(time.Second, reports), []call.Fingerprint{unlucky})
	is.True(other.HoldRemaining(2*time.Second, unlucky) > 0)
	is.Equal(b.RecordCompletion(3*time.Second, 3*time.Second, unlucky, "e7"), 3)
	is.Equal(b.HoldRemaining(3*time.Second, unlucky), time.Duration(0))
	reports, _ = b.LocalReports().Since(position)
	other.Merge(3*time.Second, reports)
	is.Equal(other.HoldRemaining(3*time.Second, unlucky), time.Duration(0)) // at the other entry too
	is.Equal(b.RecordCrash(4*time.Second, unlucky, "e9").Crashes, 1)        // counted from anew
}

// TestWhatWasCutWithAnotherIsNotHeld has a request on the same endpoints as one that ends them,
// twice by chance and once more for it to be held as well.
func TestWhatWasCutWithAnotherIsNotHeld(t *testing.T) {
	is := is.New(t)
	b, bad, unlucky := played(0), named("bad"), named("unlucky")
	for _, run := range []string{"e1", "e2"} {
		b.RecordCrash(time.Second, bad, run)
		b.RecordCrash(time.Second, unlucky, run)
	}
	b.RecordCrash(2*time.Second, bad, "e3")
	is.True(b.HoldRemaining(2*time.Second, bad) > 0)
	b.RecordCrash(2*time.Second, bad, "e4")
	b.RecordCrash(3*time.Second, unlucky, "e5") // its own third, of which two are explained
	is.Equal(b.HoldRemaining(3*time.Second, unlucky), time.Duration(0))

	both := played(0)
	for _, run := range []string{"e1", "e2", "e3"} {
		both.RecordCrash(time.Second, bad, run)
		both.RecordCrash(time.Second, unlucky, run)
	}
	is.True(both.HoldRemaining(time.Second, unlucky) > 0) // nothing tells them apart
	both.RecordCrash(70*time.Second, bad, "e4")
	is.Equal(both.HoldRemaining(time.Second, unlucky), time.Duration(0)) // now it does
}

// TestMoreEndsAreNeededWhereProcessesEndAnyway has a third of all runs end with their endpoint,
// whatever they are.
func TestMoreEndsAreNeededWhereProcessesEndAnyway(t *testing.T) {
	is := is.New(t)
	b, run := NewTracker(), 0
	for i := range 300 {
		run++
		b.RecordCrash(time.Second, named("r"+strconv.Itoa(i)), "e"+strconv.Itoa(run))
		b.RecordCompletion(time.Second, time.Second, named("s"+strconv.Itoa(i)), "runs on")
		b.RecordCompletion(time.Second, time.Second, named("t"+strconv.Itoa(i)), "runs on")
	}
	unlucky := named("unlucky")
	for i := range 3 {
		is.Equal(b.RecordCrash(time.Second, unlucky, "u"+strconv.Itoa(i)).Hold, time.Duration(0))
	}
	// One that goes on is held all the same.
	b.RecordCrash(time.Second, unlucky, "u8")
	is.True(b.RecordCrash(time.Second, unlucky, "u9").Hold > 0)
}

func TestTheTrackerIsBoundedAndForgets(t *testing.T) {
	is := is.New(t)
	b, bad := NewTracker(), named("bad")
	for _, run := range []string{"e1", "e2", "e3"} {
		b.RecordCrash(0, bad, run)
	}
	for i := range 3 * maxRequests {
		b.RecordCrash(time.Duration(i), named(strconv.Itoa(i)), "rack")
		b.RecordCrash(time.Duration(i), bad, "x"+strconv.Itoa(i))
	}
	requests, _ := b.Len(time.Second)
	is.Equal(requests, maxRequests)
	is.True(b.HoldRemaining(time.Second, bad) > 0) // what matters stays
	is.True(len(b.requests[bad].ends) <= maxRuns)
	is.True(len(b.runs) <= maxRequests*maxRuns)
	is.True(len(b.registry.stored) <= maxReports && len(b.registry.present) <= maxReports)
	b.EvictStale(3 * longestHold)
	requests, _ = b.Len(3 * longestHold)
	is.Equal(requests, 0)
	is.Equal(len(b.runs), 0)
	is.Equal(len(b.registry.stored)+len(b.registry.present), 0)
}

func TestReadersOfARegistryGetEverythingOnce(t *testing.T) {
	is := is.New(t)
	registry := NewRegistry()
	for i := range 3 * maxRead {
		registry.Add(CrashReport{Request: named(strconv.Itoa(i)), Run: 1})
		registry.Add(CrashReport{Request: named(strconv.Itoa(i)), Run: 1}) // reported by a second entry
	}
	seen := map[call.Fingerprint]int{}
	position := uint64(0)
	for {
		found, next := registry.Since(position)
		is.True(len(found) <= maxRead)
		if len(found) == 0 {
			break
		}
		position = next
		for _, s := range found {
			seen[s.Request]++
		}
	}
	is.Equal(len(seen), 3*maxRead)
	for _, times := range seen {
		is.Equal(times, 1)
	}
	// A cleared report is read, and the one that it clears is not read any more.
	registry.Add(CrashReport{Request: named("0"), Run: 1, Cleared: true})
	registry.Add(CrashReport{Request: named("0"), Run: 1})
	found, _ := registry.Since(position)
	is.Equal(found, []CrashReport{{Request: named("0"), Run: 1, Cleared: true}})
	is.Equal(len(registry.stored), 3*maxRead)
}

// TestAnEndpointThatAnswersHasNotEnded has an endpoint that refused a connection while it was
// crowded, and answers what is sent to it later.
func TestAnEndpointThatAnswersHasNotEnded(t *testing.T) {
	is := is.New(t)
	b, unlucky := played(0), named("unlucky")
	for i := range 3 {
		b.RecordCrash(time.Second, unlucky, "e"+strconv.Itoa(i))
	}
	is.True(b.HoldRemaining(time.Second, unlucky) > 0)
	b.RecordCompletion(2*time.Second, 500*time.Millisecond, named("sent before"), "e1")
	is.True(b.HoldRemaining(2*time.Second, unlucky) > 0) // the answer was on its way
	b.RecordCompletion(2*time.Second, 1500*time.Millisecond, named("sent after"), "e1")
	is.Equal(b.HoldRemaining(2*time.Second, unlucky), time.Duration(0))
}
