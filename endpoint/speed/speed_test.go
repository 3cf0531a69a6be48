package speed

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestInvalidAndExpiredReportsAreNominal guards against a fault of a report, or a lost report
// stream, that keeps calls away from an endpoint.
func TestInvalidAndExpiredReportsAreNominal(t *testing.T) {
	is := is.New(t)
	tracker := New()
	for reported, used := range map[float64]float64{
		0: 1, -3: 1, math.Inf(1): 1, math.Inf(-1): 1, 1.1: 1, 0.9: 1, 1.6: 1.6, 1e9: 64, 1e-9: 0.25,
	} {
		tracker.Report(time.Second, "e", reported)
		is.Equal(tracker.Slowdown(time.Second, "e"), used)
		tracker.Forget("e")
	}
	tracker.Report(time.Second, "e", math.NaN())
	is.Equal(tracker.Slowdown(time.Second, "e"), 1.0)

	tracker.Report(time.Second, "e", 2)
	is.Equal(tracker.Slowdown(3*time.Second, "e"), 2.0)
	is.Equal(tracker.Slowdown(3*time.Second, "other"), 1.0)
	is.Equal(tracker.Slowdown(3*time.Second+1, "e"), 1.0)
	is.True(!tracker.Any(3*time.Second + 1))
	is.Equal((*Tracker)(nil).Slowdown(0, "e"), 1.0)
}

// TestSmallVariationsAreIgnored guards against a varying report that changes the limit of a group
// each time. A report that does not change the value still renews it, and a recovery counts at once.
func TestSmallVariationsAreIgnored(t *testing.T) {
	is := is.New(t)
	tracker := New()
	for i, reported := range []float64{2, 2.15, 1.85, 2.1} {
		tracker.Report(time.Duration(i)*time.Second, "e", reported)
		is.Equal(tracker.Slowdown(time.Duration(i)*time.Second, "e"), 2.0)
	}
	tracker.Report(4*time.Second, "e", 2.3)
	is.Equal(tracker.Slowdown(4*time.Second, "e"), 2.3)
	tracker.Report(4*time.Second, "e", 1)
	is.Equal(tracker.Slowdown(4*time.Second, "e"), 1.0)
}

func BenchmarkSlowdown(b *testing.B) {
	tracker := New()
	tracker.Report(0, "e", 2)
	for b.Loop() {
		tracker.Slowdown(0, "e")
	}
}

// TestReportExpiresBesideFreshOnes guards against an endpoint that stays slow by a lost report while
// the reports of others go on.
func TestReportExpiresBesideFreshOnes(t *testing.T) {
	is := is.New(t)
	tracker := New()
	tracker.Report(0, "e", 2)
	tracker.Report(reportTTL, "other", 3)
	is.Equal(tracker.Slowdown(reportTTL, "e"), 2.0)
	is.Equal(tracker.Slowdown(reportTTL+1, "e"), 1.0)
	is.Equal(tracker.CountSlow(reportTTL+1, func(string) bool { return true }), 1)
	tracker.Report(reportTTL+1, "e", 2.1)
	is.Equal(tracker.Slowdown(reportTTL+1, "e"), 2.1) // not held to the value that has expired
}
