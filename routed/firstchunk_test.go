package routed

import (
	"testing"
	"time"

	"github.com/matryer/is"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
)

func TestMaxQueueWaitLeavesTimeForFirstChunk(t *testing.T) {
	is := is.New(t)
	var f firstChunkTimes
	q := &request{pool: "writers", route: &fleetv1.Route{ObjectiveMs: 400}}
	is.Equal(f.maxQueueWait(q), 400*time.Millisecond) // no samples yet
	for range 200 {
		f.observe("writers", 200*time.Millisecond)
	}
	is.Equal(f.maxQueueWait(q), 170*time.Millisecond)
	for range 200 {
		f.observe("writers", time.Second)
	}
	is.Equal(f.maxQueueWait(q), minQueueWait)
	is.Equal(f.maxQueueWait(&request{pool: "writers", route: &fleetv1.Route{}}), time.Duration(0))
}

// TestFirstChunkTimesFollowSlowdown guards against requests that queue for too long because the mean
// still stems from the nominal speed, and that are refused after a recovery because it does not.
func TestFirstChunkTimesFollowSlowdown(t *testing.T) {
	is := is.New(t)
	var f firstChunkTimes
	observe := func(n int, took time.Duration) time.Duration {
		for range n {
			f.observe("writers", took)
		}
		return f.mean("writers").Round(time.Millisecond)
	}
	observe(200, 100*time.Millisecond)
	f.setSlowdown("writers", 1)
	is.Equal(observe(1, 200*time.Millisecond), 105*time.Millisecond)
	f.setSlowdown("writers", 2.26)
	is.True(observe(5, 250*time.Millisecond) > 220*time.Millisecond)
	f.setSlowdown("writers", 1)
	is.Equal(observe(0, 0), 105*time.Millisecond)
	is.Equal(observe(1, 205*time.Millisecond), 110*time.Millisecond)
}
