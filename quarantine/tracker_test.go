package quarantine

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/call"
)

func fp(name string) call.Fingerprint { return call.FingerprintOf("crew", "POST", "/"+name, nil) }

// newTrackerWithHistory returns a tracker that has seen enough completions for crashes to be rare.
func newTrackerWithHistory(now time.Duration) *Tracker {
	tracker := NewTracker()
	for range 1000 {
		tracker.RecordCompletion(now, now, fp("good"), "healthy run")
	}
	return tracker
}

func TestRequestIsHeldAfterThreeCrashes(t *testing.T) {
	is := is.New(t)
	tracker, bad := newTrackerWithHistory(0), fp("bad")
	is.Equal(tracker.RecordCrash(1*time.Second, bad, "e1"), CrashResult{Crashes: 1})
	is.Equal(tracker.RecordCrash(1*time.Second, bad, "e1"), CrashResult{Crashes: 1}) // the same crash, reported twice
	is.Equal(tracker.RecordCrash(2*time.Second, bad, "e2"), CrashResult{Crashes: 2})
	is.Equal(tracker.RecordCrash(3*time.Second, bad, "e3"), CrashResult{Crashes: 3, Hold: initialHold})
	is.Equal(tracker.HoldRemaining(13*time.Second, bad), initialHold-10*time.Second)
	is.Equal(tracker.HoldRemaining(13*time.Second, fp("good")), time.Duration(0))
	// It may run again after the hold, which grows with each further crash.
	is.Equal(tracker.HoldRemaining(3*time.Second+initialHold, bad), time.Duration(0))
	is.Equal(tracker.RecordCrash(70*time.Second, bad, "e4"), CrashResult{Crashes: 4, Hold: holdMultiplier * initialHold})
}

func TestCompletionClearsARequest(t *testing.T) {
	is := is.New(t)
	tracker, other, unlucky := newTrackerWithHistory(0), newTrackerWithHistory(0), fp("unlucky")
	for i := range 3 {
		tracker.RecordCrash(time.Second, unlucky, "e"+strconv.Itoa(i))
	}
	reports, position := tracker.LocalReports().Since(0)
	is.Equal(other.Merge(time.Second, reports), []call.Fingerprint{unlucky})
	is.True(other.HoldRemaining(2*time.Second, unlucky) > 0)
	is.Equal(tracker.RecordCompletion(3*time.Second, 3*time.Second, unlucky, "e7"), 3)
	is.Equal(tracker.HoldRemaining(3*time.Second, unlucky), time.Duration(0))
	reports, _ = tracker.LocalReports().Since(position)
	other.Merge(3*time.Second, reports)
	is.Equal(other.HoldRemaining(3*time.Second, unlucky), time.Duration(0)) // cleared at the other entry too
	is.Equal(tracker.RecordCrash(4*time.Second, unlucky, "e9").Crashes, 1)  // the count starts again
}

// Guards against holding a request that twice runs by coincidence on the endpoint that another
// request crashes. A third crash that the two share makes them indistinguishable, and both are
// held; a fourth crash of one of them alone releases the other.
func TestCoincidentalSuspectIsNotHeld(t *testing.T) {
	is := is.New(t)
	tracker, bad, unlucky := newTrackerWithHistory(0), fp("bad"), fp("unlucky")
	for _, run := range []string{"e1", "e2"} {
		tracker.RecordCrash(time.Second, bad, run)
		tracker.RecordCrash(time.Second, unlucky, run)
	}
	tracker.RecordCrash(2*time.Second, bad, "e3")
	is.True(tracker.HoldRemaining(2*time.Second, bad) > 0)
	tracker.RecordCrash(2*time.Second, bad, "e4")
	tracker.RecordCrash(3*time.Second, unlucky, "e5") // its third, of which two are attributed to the other request
	is.Equal(tracker.HoldRemaining(3*time.Second, unlucky), time.Duration(0))

	inseparable := newTrackerWithHistory(0)
	for _, run := range []string{"e1", "e2", "e3"} {
		inseparable.RecordCrash(time.Second, bad, run)
		inseparable.RecordCrash(time.Second, unlucky, run)
	}
	is.True(inseparable.HoldRemaining(time.Second, unlucky) > 0) // the two cannot be told apart
	inseparable.RecordCrash(70*time.Second, bad, "e4")
	is.Equal(inseparable.HoldRemaining(time.Second, unlucky), time.Duration(0)) // now they can
}

// Guards against holding harmless requests where a third of all runs end in a crash, whatever the
// request.
func TestMoreCrashesAreRequiredWhereCrashesAreFrequent(t *testing.T) {
	is := is.New(t)
	tracker, run := NewTracker(), 0
	for i := range 300 {
		run++
		tracker.RecordCrash(time.Second, fp("r"+strconv.Itoa(i)), "e"+strconv.Itoa(run))
		tracker.RecordCompletion(time.Second, time.Second, fp("s"+strconv.Itoa(i)), "healthy run")
		tracker.RecordCompletion(time.Second, time.Second, fp("t"+strconv.Itoa(i)), "healthy run")
	}
	unlucky := fp("unlucky")
	for i := range 3 {
		is.Equal(tracker.RecordCrash(time.Second, unlucky, "u"+strconv.Itoa(i)).Hold, time.Duration(0))
	}
	// With further crashes the request is held nevertheless.
	tracker.RecordCrash(time.Second, unlucky, "u8")
	is.True(tracker.RecordCrash(time.Second, unlucky, "u9").Hold > 0)
}

func TestTrackerIsBoundedAndEvictsStaleRequests(t *testing.T) {
	is := is.New(t)
	tracker, bad := NewTracker(), fp("bad")
	for _, run := range []string{"e1", "e2", "e3"} {
		tracker.RecordCrash(0, bad, run)
	}
	for i := range 3 * maxRequests {
		tracker.RecordCrash(time.Duration(i), fp(strconv.Itoa(i)), "rack")
		tracker.RecordCrash(time.Duration(i), bad, "x"+strconv.Itoa(i))
	}
	requests, _ := tracker.Counts(time.Second)
	is.Equal(requests, maxRequests)
	is.True(tracker.HoldRemaining(time.Second, bad) > 0) // the request with the most crashes is not evicted
	is.True(len(tracker.requests[bad].crashes) <= maxRuns)
	is.True(len(tracker.suspects) <= maxRequests*maxRuns)
	is.True(len(tracker.registry.stored) <= maxReports && len(tracker.registry.sequences) <= maxReports)
	tracker.EvictStale(3 * maxHold)
	requests, _ = tracker.Counts(3 * maxHold)
	is.Equal(requests, 0)
	is.Equal(len(tracker.suspects), 0)
	is.Equal(len(tracker.registry.stored)+len(tracker.registry.sequences), 0)
}

func TestRegistryReaderGetsEachReportOnce(t *testing.T) {
	is := is.New(t)
	registry := NewRegistry()
	for i := range 3 * maxBatch {
		registry.Add(CrashReport{Request: fp(strconv.Itoa(i)), Run: 1})
		registry.Add(CrashReport{Request: fp(strconv.Itoa(i)), Run: 1}) // reported by a second entry as well
	}
	seen := map[call.Fingerprint]int{}
	position := uint64(0)
	for {
		found, next := registry.Since(position)
		is.True(len(found) <= maxBatch)
		if len(found) == 0 {
			break
		}
		position = next
		for _, report := range found {
			seen[report.Request]++
		}
	}
	is.Equal(len(seen), 3*maxBatch)
	for _, times := range seen {
		is.Equal(times, 1)
	}
	// A cleared report replaces the uncleared one and is read.
	registry.Add(CrashReport{Request: fp("0"), Run: 1, Cleared: true})
	registry.Add(CrashReport{Request: fp("0"), Run: 1})
	found, _ := registry.Since(position)
	is.Equal(found, []CrashReport{{Request: fp("0"), Run: 1, Cleared: true}})
	is.Equal(len(registry.stored), 3*maxBatch)
}

// Guards against taking an overloaded endpoint that refused connections for a crashed one although
// it responds to requests that are sent later.
func TestLaterResponseRefutesACrash(t *testing.T) {
	is := is.New(t)
	tracker, unlucky := newTrackerWithHistory(0), fp("unlucky")
	for i := range 3 {
		tracker.RecordCrash(time.Second, unlucky, "e"+strconv.Itoa(i))
	}
	is.True(tracker.HoldRemaining(time.Second, unlucky) > 0)
	tracker.RecordCompletion(2*time.Second, 500*time.Millisecond, fp("sent before"), "e1")
	is.True(tracker.HoldRemaining(2*time.Second, unlucky) > 0) // the response may have been under way
	tracker.RecordCompletion(2*time.Second, 1500*time.Millisecond, fp("sent after"), "e1")
	is.Equal(tracker.HoldRemaining(2*time.Second, unlucky), time.Duration(0))
}
