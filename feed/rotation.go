package feed

import (
	"math/rand/v2"
	"time"
)

const (
	// minRetryDelay and maxRetryDelay bound the delay after all sources have
	// failed.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// minReturnDelay is how long a client stays with a source other than its
	// first before it tries the first one again. The delay doubles each time, up
	// to maxReturnDelay.
	minReturnDelay = 30 * time.Second
	maxReturnDelay = 10 * time.Minute
)

// rotation determines the order in which a client tries its sources: the first,
// preferred one, then the others in turn. From any other source the client returns
// to the first one after a delay.
type rotation struct {
	// sources is the number of sources, index that of the current one.
	sources, index int
	// failures counts the sources left since one last had a fresh configuration.
	failures int
	// returnDelay is the longest time to stay with a source other than the first.
	returnDelay time.Duration
}

func newRotation(sources int) *rotation {
	return &rotation{sources: sources, returnDelay: minReturnDelay}
}

// resize adapts the rotation to a changed number of sources.
func (r *rotation) resize(sources int) {
	r.sources = sources
	r.index %= sources
}

// watchLimit returns how long to watch the current source; zero for no limit.
func (r *rotation) watchLimit() time.Duration {
	if r.index == 0 {
		return 0
	}
	return jitter(r.returnDelay)
}

// returnToFirst switches back to the first source after watchLimit has passed.
func (r *rotation) returnToFirst() {
	r.index = 0
	r.returnDelay = min(2*r.returnDelay, maxReturnDelay)
}

// advance moves on to the next source after a failure and returns the delay before
// trying it. wasFresh reports whether the failed source had a fresh configuration.
func (r *rotation) advance(wasFresh bool) time.Duration {
	if wasFresh {
		r.failures = 0
	}
	if wasFresh && r.index == 0 {
		r.returnDelay = minReturnDelay
	}
	r.failures++
	r.index = (r.index + 1) % r.sources
	return retryDelay(r.failures, r.sources)
}

// retryDelay returns zero until every source has been tried since one last had a
// fresh configuration; then the delay grows exponentially with each round.
func retryDelay(failures, sources int) time.Duration {
	rounds := failures / sources
	if rounds == 0 {
		return 0
	}
	return jitter(min(minRetryDelay<<min(rounds-1, 10), maxRetryDelay))
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
