package routed

import (
	"sync"
	"time"
)

// firstChunkTimes estimates, for each pool, the time from sending a request to the first chunk
// of its response. The rest of the objective is available for queueing. No other lock is
// acquired while its lock is held. The zero value is ready for use.
//
// A request that queues for longer than that is already late when its response begins. Under
// overload such requests occupy capacity with which others would have been on time: with a
// fixed queue limit of 0.3 s and an objective of 0.4 s, half of the responses of an overloaded
// pool began late.
type firstChunkTimes struct {
	mu    sync.Mutex
	means map[string]time.Duration
}

const (
	// firstChunkWeight is the weight of the latest sample in the mean.
	firstChunkWeight = 0.05
	// queueWaitMargin is the fraction of the mean that is reserved for its variance.
	queueWaitMargin = 0.15
	// minQueueWait lets a request queue briefly even if the first chunk takes up the whole
	// objective.
	minQueueWait = 20 * time.Millisecond
)

// observe records the time to a first chunk.
func (f *firstChunkTimes) observe(pool string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	mean, known := f.means[pool]
	if !known {
		if f.means == nil {
			f.means = map[string]time.Duration{}
		}
		mean = took
	}
	f.means[pool] = mean + time.Duration(firstChunkWeight*float64(took-mean))
}

// mean returns the mean time to the first chunk; zero if it is unknown.
func (f *firstChunkTimes) mean(pool string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.means[pool]
}

const (
	// silenceFactor is how many times the mean time to the first chunk an endpoint may send
	// nothing at all before it counts as silent; minSilence is the minimum of that time.
	silenceFactor = 3
	minSilence    = 500 * time.Millisecond
)

// silenceTimeout returns how long an endpoint of a pool may send nothing at all before it
// counts as unreachable.
func (f *firstChunkTimes) silenceTimeout(pool string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(silenceFactor*f.means[pool], minSilence)
}

// maxQueueWait returns how long a request may queue and still be on time; zero if its route
// has no objective.
func (f *firstChunkTimes) maxQueueWait(q *request) time.Duration {
	objective := time.Duration(q.route.GetObjectiveMs()) * time.Millisecond
	if objective <= 0 {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	mean := f.means[q.pool]
	return max(objective-mean-time.Duration(queueWaitMargin*float64(mean)), minQueueWait)
}
