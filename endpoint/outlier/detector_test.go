package outlier

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const usual = 5 * time.Millisecond

// drive gives ranks samples for a span; latency says what each one takes.
func drive(d *Detector, start, span time.Duration, ranks int, latency func(rank int) time.Duration) time.Duration {
	end := start + span
	for now := start; now < end; now += 250 * time.Millisecond {
		for r := range ranks {
			d.Observe(now, "group", id(r), Sample{Latency: latency(r)})
		}
		d.Tick(now)
	}
	return end
}

func id(rank int) string { return fmt.Sprint("rank-", rank) }

// out is the number of ranks out of rotation.
func out(d *Detector, now time.Duration, ranks int) int {
	n := 0
	for r := range ranks {
		if d.Share(now, id(r)) == 0 {
			n++
		}
	}
	return n
}

// TestStalledRankLeavesAndReturns holds that a rank much slower than its peers
// leaves rotation, stays out while it is slow, and returns by slow start; and
// that a peak that slows all of them ejects none.
func TestStalledRankLeavesAndReturns(t *testing.T) {
	is := is.New(t)
	// An ejection that ends between two verdicts.
	d := New(Config{BaseEjectionTime: 9 * time.Second})
	now := drive(d, 0, 10*time.Second, 16, func(int) time.Duration { return usual })
	now = drive(d, now, 10*time.Second, 16, func(int) time.Duration { return 6 * usual })
	is.Equal(out(d, now, 16), 0) // all are slow: no outlier

	stalled := func(r int) time.Duration {
		if r == 3 {
			return 6 * usual
		}
		return usual
	}
	now = drive(d, now, 10*time.Second, 16, stalled)
	for range 60 {
		is.Equal(d.Share(now, id(3)), 0.0) // no return while it still reports slow steps
		now = drive(d, now, time.Second, 16, stalled)
	}
	is.Equal(out(d, now, 16), 1)

	for d.Share(now, id(3)) == 0 {
		now = drive(d, now, time.Second, 16, func(int) time.Duration { return usual })
	}
	is.True(d.Share(now, id(3)) < 0.3) // slow start
	now = drive(d, now, DefaultSlowStart, 16, func(int) time.Duration { return usual })
	is.Equal(d.Share(now, id(3)), 1.0)
}

// TestNeverMoreThanTheStatedShare holds the floor: however many fail, at most
// a third of the peers is out of rotation.
func TestNeverMoreThanTheStatedShare(t *testing.T) {
	is := is.New(t)
	for _, ranks := range []int{2, 3, 16} {
		d := New(Config{})
		now := time.Duration(0)
		most := 0
		for range 120 {
			for r := range ranks {
				for range DefaultMinSamples {
					d.Observe(now, "group", id(r), Sample{Failed: r < (ranks-1)/2, Latency: usual})
				}
			}
			now += time.Second
			d.Tick(now)
			most = max(most, out(d, now, ranks))
		}
		is.Equal(most, ranks/3)
	}
}

// TestReportsDoNotHideFailures holds that an endpoint is ejected for calls that
// fail though its reports are good and many, and for slow steps though its calls
// go well; and that the times of calls are not compared with those of reports.
func TestReportsDoNotHideFailures(t *testing.T) {
	is := is.New(t)
	d := New(Config{})
	now := time.Duration(0)
	for range 60 {
		now += 500 * time.Millisecond
		for r := range 9 {
			step := usual
			if r == 1 {
				step = 6 * usual
			}
			for range 5 {
				d.Observe(now, "group", id(r), Sample{Latency: step, FromReport: true})
			}
			paced := Sample{Failed: r == 2}
			if r > 5 {
				paced.Latency = 100 * usual // these are not known to report steps yet
			}
			d.Observe(now, "group", id(r), paced)
		}
		d.Tick(now)
	}
	for r := range 9 {
		is.Equal(d.Ejections(id(r)) > 0, r == 1 || r == 2)
	}
}
