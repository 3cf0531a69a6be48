package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// pauseGrace is how long after a rejection what was under way may still come.
const pauseGrace = 500 * time.Millisecond

// pauses counts the requests that come within the pauses that rejections ask for. The zero value
// is ready.
type pauses struct {
	mu sync.Mutex
	// began and end are those of the present pause, or of the last one; in counts the requests
	// in it, later than pauseGrace after its beginning, and most is the greatest such number.
	began, end time.Time
	in, most   int
}

// rejected takes in a request that was rejected with a Retry-After.
func (p *pauses) rejected(retryAfter string) {
	seconds, err := strconv.ParseFloat(retryAfter, 64)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Before(p.end) {
		if now.Sub(p.began) >= pauseGrace {
			p.in++
			p.most = max(p.most, p.in)
		}
		return
	}
	p.began, p.end, p.in = now, now.Add(time.Duration(seconds*float64(time.Second))), 0
}

// serve answers the greatest number of requests that came in any pause.
func (p *pauses) serve(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, http.StatusOK, p.most)
}
