package quarantine

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

func parts(ids ...string) Parts { return NewParts("pool", "crew", ids) }

// recordThreeCrashes records three crashes of requests with these parts and one of their own, 4 s apart.
func recordThreeCrashes(tracker *PartTracker, from time.Duration, ids ...string) {
	for i := range 3 {
		name := strconv.Itoa(i)
		tracker.RecordCrash(from+time.Duration(i)*4*time.Second, parts(append(ids, "own "+name)...), "run "+name)
	}
}

// Guards against refusing sound requests with a part that has met the same crashes as the cause, and
// against serving the cause without it once they can be told apart.
func TestInseparablePartsAreHeldTogether(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker().Parts()
	recordThreeCrashes(tracker, 0, "crash", "rare")
	is.True(tracker.Refusal(9*time.Second, parts("crash", "rare", "own")) != nil)
	is.True(tracker.Refusal(9*time.Second, parts("rare", "own")) == nil)
	tracker.RecordCrash(12*time.Second, parts("crash", "own"), "run 3")
	is.True(tracker.Refusal(13*time.Second, parts("crash", "own")) != nil)
	is.True(tracker.Refusal(13*time.Second, parts("rare", "own")) == nil)
}

// Guards against a wrong verdict that lasts although a sound request has run, and against evidence
// of one pool that counts in another.
func TestSurvivalReleasesAPart(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker().Parts()
	recordThreeCrashes(tracker, 0, "unlucky")
	is.True(tracker.Refusal(9*time.Second, parts("unlucky", "own")) != nil)
	is.Equal(tracker.Refusal(9*time.Second, NewParts("other pool", "crew", []string{"unlucky", "own"})), nil)
	is.Equal(len(tracker.RecordSurvival(10*time.Second, 9*time.Second, NewParts("other pool", "crew", []string{"unlucky", "own"}), "x")), 0)
	is.True(tracker.Refusal(10*time.Second, parts("unlucky", "own")) != nil)
	is.Equal(len(tracker.RecordSurvival(10*time.Second, 9*time.Second, parts("unlucky", "own"), "x")), 1)
	is.True(tracker.Refusal(10*time.Second, parts("unlucky", "own")) == nil)
}

// Guards against counting a process that answers requests sent after its reported crash.
func TestLaterResponseRefutesACrashOfParts(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker().Parts()
	recordThreeCrashes(tracker, 0, "unlucky")
	tracker.RecordSurvival(9*time.Second, 7*time.Second, parts("another"), "run 2") // sent before the crash at 8 s
	is.True(tracker.Refusal(9*time.Second, parts("unlucky", "own")) != nil)
	tracker.RecordSurvival(10*time.Second, 9*time.Second, parts("another"), "run 2")
	is.True(tracker.Refusal(10*time.Second, parts("unlucky", "own")) == nil)
}

// Guards against more than one request at a time that tests a part after its hold.
func TestOneTrialAtATime(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker().Parts()
	recordThreeCrashes(tracker, 0, "crash")
	now := 8*time.Second + initialHold
	end, refusal := tracker.BeginAttempt(now, parts("crash", "own 1"))
	is.True(refusal == nil)
	_, refusal = tracker.BeginAttempt(now, parts("crash", "own 2"))
	is.True(refusal != nil)
	end() // without a result
	end, refusal = tracker.BeginAttempt(now, parts("crash", "own 3"))
	is.True(refusal == nil)
	tracker.RecordCrash(now, parts("crash", "own 3"), "run 3")
	end()
	is.Equal(tracker.Refusal(now, parts("crash", "own 4")).Fault.RetryAfter, holdMultiplier*initialHold)
}

// Guards against memory that grows with what callers send, and against evicting what is held.
func TestPartTrackerIsBounded(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	recordThreeCrashes(tracker.Parts(), 0, "crash")
	for i := range 3 * maxTrackedParts {
		name := strconv.Itoa(i)
		tracker.Parts().RecordCrash(9*time.Second, parts("shared "+name, "own "+name), "run "+name)
		tracker.Parts().RecordSurvival(9*time.Second, 0, parts("sound "+name), "run")
	}
	known, held := tracker.Parts().Counts(9 * time.Second)
	is.True(known <= maxTrackedParts)
	is.Equal(held, 1)
	is.True(tracker.Parts().Refusal(9*time.Second, parts("crash", "own")) != nil)
	is.True(len(tracker.Parts().runs) <= maxTrackedParts*maxPartRuns)
	is.True(len(tracker.Parts().credits.newer)+len(tracker.Parts().credits.older) <= 2*creditGeneration)
	tracker.EvictStale(3 * maxHold)
	known, _ = tracker.Parts().Counts(3 * maxHold)
	is.Equal(known, 0)
	is.Equal(len(tracker.Parts().runs), 0)
	is.Equal(tracker.Parts().suspectCount.Load(), int64(0))
}

// Guards against blaming the parts of sound requests for a series of joint crashes: the credit is
// spent once for each event, not for each process.
func TestCreditIsSpentOncePerEvent(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker().Parts()
	for range int(maxCredit) {
		tracker.RecordSurvival(0, 0, parts("shared", "own"), "x")
	}
	for event := range 4 {
		for engine := range 6 {
			tracker.RecordCrash(time.Duration(event)*4*time.Second, parts("shared", "own"), strconv.Itoa(10*event+engine))
		}
	}
	is.Equal(tracker.State(12*time.Second, parts("shared")[0].Fingerprint).Crashes, 0)
	is.True(tracker.Proven(parts("shared", "own")))
}
