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

// maxArrivals bounds the number of arrival times kept. When it is reached, the older half is
// dropped.
const maxArrivals = 1 << 16

// arrivals records the arrival times of requests. The zero value is ready to use.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

// adminPrefix is the path prefix of the stand-in's admin API, whose requests are not counted.
const adminPrefix = "/standin/"

func isAdminRequest(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, adminPrefix) }

func (a *arrivals) record(r *http.Request) {
	if isAdminRequest(r) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.times) == maxArrivals {
		a.times = slices.Delete(a.times, 0, maxArrivals/2)
	}
	a.times = append(a.times, time.Now())
}

// serveMax responds with the largest number of requests that arrived within any window_ms
// during the past last_ms, both in milliseconds.
func (a *arrivals) serveMax(w http.ResponseWriter, r *http.Request) {
	window, err := strconv.Atoi(r.URL.Query().Get("window_ms"))
	age, ageErr := strconv.Atoi(r.URL.Query().Get("last_ms"))
	if err = errors.Join(err, ageErr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	since := time.Now().Add(-time.Duration(age) * time.Millisecond)
	writeJSON(w, http.StatusOK, a.maxInWindow(since, time.Duration(window)*time.Millisecond))
}

// maxInWindow returns the largest number of requests that arrived within any window of the
// given length since a time.
func (a *arrivals) maxInWindow(since time.Time, window time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	first, _ := slices.BinarySearchFunc(a.times, since, time.Time.Compare)
	counted := a.times[first:]
	largest, start := 0, 0
	for i, at := range counted {
		for at.Sub(counted[start]) >= window {
			start++
		}
		largest = max(largest, i-start+1)
	}
	return largest
}
