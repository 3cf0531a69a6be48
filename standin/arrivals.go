package standin

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
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

// ownAPI begins the paths of the stand-in's own API, whose requests do not count.
const ownAPI = "/standin/"

func isOwnAPI(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, ownAPI) }

func (a *arrivals) note(r *http.Request) {
	if isOwnAPI(r) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.times) == maxArrivals {
		a.times = slices.Delete(a.times, 0, maxArrivals/2)
	}
	a.times = append(a.times, time.Now())
}

// serve answers the greatest number of requests within any window, of the last part of the
// time: both in milliseconds.
func (a *arrivals) serve(w http.ResponseWriter, r *http.Request) {
	window, err := strconv.Atoi(r.URL.Query().Get("window_ms"))
	last, also := strconv.Atoi(r.URL.Query().Get("last_ms"))
	if err = errors.Join(err, also); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	since := time.Now().Add(-time.Duration(last) * time.Millisecond)
	writeJSON(w, http.StatusOK, a.most(since, time.Duration(window)*time.Millisecond))
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
