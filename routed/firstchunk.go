package routed

import (
	"sync"
	"time"

	"github.com/lilackeel/lilackeel/endpoint/speed"
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
	// slow contains the pools that work slower than nominal.
	slow map[string]*slowFirstChunks
}

// slowFirstChunks is the state of a pool that works slower than nominal.
type slowFirstChunks struct {
	slowdown float64
	// nominal is the mean from before the pool was slow; zero if it is unknown.
	nominal time.Duration
	// samples is the number of samples since the last change of the slowdown.
	samples int
}

// setSlowdown sets the slowdown of a pool. The mean of a pool that becomes slow follows its next
// samples quickly, as what was observed at another speed does not predict them; on recovery the mean
// from before is used again.
func (f *firstChunkTimes) setSlowdown(pool string, slowdown float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.slow[pool]
	switch {
	case slowdown <= speed.Nominal && state == nil:
	case slowdown <= speed.Nominal:
		delete(f.slow, pool)
		if state.nominal > 0 {
			f.means[pool] = state.nominal
		}
	case state == nil:
		if f.slow == nil {
			f.slow = map[string]*slowFirstChunks{}
		}
		f.slow[pool] = &slowFirstChunks{slowdown: slowdown, nominal: f.means[pool]}
	case state.slowdown != slowdown:
		state.slowdown, state.samples = slowdown, 0
	}
}

// weight returns the weight of the next sample of a pool in its mean. The caller must hold the lock.
func (f *firstChunkTimes) weight(pool string) float64 {
	state := f.slow[pool]
	if state == nil {
		return firstChunkWeight
	}
	state.samples++
	return max(firstChunkWeight, 1/float64(state.samples+1)) // the earlier mean counts as one sample
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
	f.means[pool] = mean + time.Duration(f.weight(pool)*float64(took-mean))
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
