package routed

import (
	"sync"
	"time"
)

// firstParts learns, for each pool, how long the first part of an answer takes once its
// request has a place: what of the objective is left for waiting. Its lock is a leaf. The
// zero value is ready.
//
// A request that waits longer than that is late when its answer begins. Under overload the
// places that such requests take are those in which others would have been in time: with
// 0.3 s of patience for all, of 0.4 s of objective, half of the answers of an overloaded
// pool began late.
type firstParts struct {
	mu    sync.Mutex
	means map[string]time.Duration
}

const (
	// firstWeight is the weight of the newest first part in the mean.
	firstWeight = 0.05
	// firstMargin is the part of the mean that is left for the scatter around it.
	firstMargin = 0.15
	// leastPatience lets a request wait at all where first parts take the objective.
	leastPatience = 20 * time.Millisecond
)

// observe takes in how long a first part took.
func (f *firstParts) observe(pool string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	mean, known := f.means[pool]
	if !known {
		if f.means == nil {
			f.means = map[string]time.Duration{}
		}
		mean = took
	}
	f.means[pool] = mean + time.Duration(firstWeight*float64(took-mean))
}

// mean is how long a first part takes; zero if that is not known.
func (f *firstParts) mean(pool string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.means[pool]
}

const (
	// silentFirsts is how many times the mean an endpoint may take for a first part, while
	// nothing else comes from it, before it counts as silent, and leastSilence the least.
	silentFirsts = 3
	leastSilence = 500 * time.Millisecond
)

// silence is how long an endpoint of a pool may send nothing at all before it counts as
// out of reach.
func (f *firstParts) silence(pool string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(silentFirsts*f.means[pool], leastSilence)
}

// patience is how long a request may wait for a place and still be in time; zero if its
// route has no objective.
func (f *firstParts) patience(q *request) time.Duration {
	objective := time.Duration(q.route.GetObjectiveMs()) * time.Millisecond
	if objective <= 0 {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	mean := f.means[q.pool]
	return max(objective-mean-time.Duration(firstMargin*float64(mean)), leastPatience)
}
