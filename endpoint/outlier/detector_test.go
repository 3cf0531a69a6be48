package outlier

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const normalLatency = 5 * time.Millisecond

// observe adds samples for the given span and number of ranks, with the latency that
// the function returns for each rank. It returns the end of the span.
func observe(d *Detector, start, span time.Duration, ranks int, latency func(rank int) time.Duration) time.Duration {
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

// ejected returns the number of ranks out of rotation.
func ejected(d *Detector, now time.Duration, ranks int) int {
	n := 0
	for r := range ranks {
		if d.Share(now, id(r)) == 0 {
			n++
		}
	}
	return n
}

// TestSlowRankIsEjectedAndReturns checks that a rank much slower than its peers is
// ejected, stays ejected while it is slow, and returns with a slow start, and that a
// load peak that slows all ranks ejects none.
func TestSlowRankIsEjectedAndReturns(t *testing.T) {
	is := is.New(t)
	// The ejection time is chosen to end between two verdicts.
	d := New(Config{BaseEjectionTime: 9 * time.Second})
	now := observe(d, 0, 10*time.Second, 16, func(int) time.Duration { return normalLatency })
	now = observe(d, now, 10*time.Second, 16, func(int) time.Duration { return 6 * normalLatency })
	is.Equal(ejected(d, now, 16), 0) // all are slow: no outlier

	slowRank := func(r int) time.Duration {
		if r == 3 {
			return 6 * normalLatency
		}
		return normalLatency
	}
	now = observe(d, now, 10*time.Second, 16, slowRank)
	for range 60 {
		is.Equal(d.Share(now, id(3)), 0.0) // no return while it still reports slow steps
		now = observe(d, now, time.Second, 16, slowRank)
	}
	is.Equal(ejected(d, now, 16), 1)

	for d.Share(now, id(3)) == 0 {
		now = observe(d, now, time.Second, 16, func(int) time.Duration { return normalLatency })
	}
	is.True(d.Share(now, id(3)) < 0.3) // slow start
	now = observe(d, now, DefaultSlowStart, 16, func(int) time.Duration { return normalLatency })
	is.Equal(d.Share(now, id(3)), 1.0)
}

// TestEjectedShareIsLimited checks that at most a third of the peers is ejected,
// however many fail.
func TestEjectedShareIsLimited(t *testing.T) {
	is := is.New(t)
	for _, ranks := range []int{2, 3, 16} {
		d := New(Config{})
		now := time.Duration(0)
		most := 0
		for range 120 {
			for r := range ranks {
				for range DefaultMinSamples {
					d.Observe(now, "group", id(r), Sample{Failed: r < (ranks-1)/2, Latency: normalLatency})
				}
			}
			now += time.Second
			d.Tick(now)
			most = max(most, ejected(d, now, ranks))
		}
		is.Equal(most, ranks/3)
	}
}

// TestReportsDoNotHideFailures checks that an endpoint is ejected for failing calls
// despite many good reports, and for slow steps despite successful calls, and that
// the latencies of calls are not compared with those of reports.
func TestReportsDoNotHideFailures(t *testing.T) {
	is := is.New(t)
	d := New(Config{})
	now := time.Duration(0)
	for range 60 {
		now += 500 * time.Millisecond
		for r := range 9 {
			step := normalLatency
			if r == 1 {
				step = 6 * normalLatency
			}
			for range 5 {
				d.Observe(now, "group", id(r), Sample{Latency: step, FromReport: true})
			}
			call := Sample{Failed: r == 2}
			if r > 5 {
				call.Latency = 100 * normalLatency // not yet known to report their step time
			}
			d.Observe(now, "group", id(r), call)
		}
		d.Tick(now)
	}
	for r := range 9 {
		is.Equal(d.Ejections(id(r)) > 0, r == 1 || r == 2)
	}
}
