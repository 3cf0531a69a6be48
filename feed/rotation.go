package feed

import (
	"math/rand/v2"
	"time"
)

const (
	// firstRetry and lastRetry bound the pause after all sources have failed.
	firstRetry = 100 * time.Millisecond
	lastRetry  = time.Second
	// returnAfter is how long a client stays with a source that is not its
	// first before it tries the first one again, and returnAfterMax the longest
	// such time.
	returnAfter    = 30 * time.Second
	returnAfterMax = 10 * time.Minute
)

// rotation is the order in which a client tries its sources: the preferred one
// first, and from any other it comes back to that one after a while.
type rotation struct {
	// sources is the number of sources, index the present one.
	sources, index int
	// failures counts the sources left since one last worked.
	failures int
	// back is the longest stay with a source that is not the first.
	back time.Duration
}

func newRotation(sources int) *rotation {
	return &rotation{sources: sources, back: returnAfter}
}

// resize fits the rotation to another number of sources.
func (r *rotation) resize(sources int) {
	r.sources = sources
	r.index %= sources
}

// stay returns how long to watch the present source; zero for no limit.
func (r *rotation) stay() time.Duration {
	if r.index == 0 {
		return 0
	}
	return jitter(r.back)
}

// stayed goes back to the first source after a stay that reached its limit.
func (r *rotation) stayed() {
	r.index = 0
	r.back = min(2*r.back, returnAfterMax)
}

// failed goes on to the next source and returns the pause before it. worked
// reports whether the source that failed had fresh knowledge.
func (r *rotation) failed(worked bool) time.Duration {
	if worked {
		r.failures = 0
	}
	if worked && r.index == 0 {
		r.back = returnAfter
	}
	r.failures++
	r.index = (r.index + 1) % r.sources
	return retryPause(r.failures, r.sources)
}

// retryPause is zero while there are sources that were not tried since the last
// one that worked, then grows.
func retryPause(failures, sources int) time.Duration {
	rounds := failures / sources
	if rounds == 0 {
		return 0
	}
	return jitter(min(firstRetry<<min(rounds-1, 10), lastRetry))
}

// jitter returns between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
