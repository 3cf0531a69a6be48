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
