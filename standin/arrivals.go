package standin

import (
	"slices"
	"sync"
	"time"
)

// maxArrivals bounds the times that are kept: the newest.
const maxArrivals = 1 << 16

// arrivals are the times at which requests came. The zero value is ready.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivals) note() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.times) == maxArrivals {
		a.times = slices.Delete(a.times, 0, maxArrivals/2)
	}
	a.times = append(a.times, time.Now())
}

// most returns the greatest number of requests that came within any window since a time.
func (a *arrivals) most(since time.Time, window time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	first, _ := slices.BinarySearchFunc(a.times, since, time.Time.Compare)
	counted := a.times[first:]
	most, begin := 0, 0
	for i, at := range counted {
		for at.Sub(counted[begin]) >= window {
			begin++
		}
		most = max(most, i-begin+1)
	}
	return most
}
