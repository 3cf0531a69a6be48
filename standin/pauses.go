package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// pauseGrace is the time after a rejection in which requests that were already in flight may
// still arrive.
const pauseGrace = 500 * time.Millisecond

// pauseTracker counts the requests that arrive during the pauses requested by Retry-After. The
// zero value is ready to use.
type pauseTracker struct {
	mu sync.Mutex
	// start and end delimit the current or last pause. count is the number of requests in it
	// that arrived later than pauseGrace after its start, and maxCount the largest such number
	// of any pause.
	start, end      time.Time
	count, maxCount int
}

// recordRejection records a request that was rejected with a Retry-After value.
func (p *pauseTracker) recordRejection(retryAfter string) {
	seconds, err := strconv.ParseFloat(retryAfter, 64)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Before(p.end) {
		if now.Sub(p.start) >= pauseGrace {
			p.count++
			p.maxCount = max(p.maxCount, p.count)
		}
		return
	}
	p.start, p.end, p.count = now, now.Add(time.Duration(seconds*float64(time.Second))), 0
}

// serve responds with the largest number of requests that arrived in any pause.
func (p *pauseTracker) serve(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, http.StatusOK, p.maxCount)
}
