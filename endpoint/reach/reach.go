// Package reach keeps away from endpoints that cannot be reached, and tries them
// again with care.
//
// An endpoint that fails to take a request is left out for a time that doubles
// with each failure in a row. One that works is back at once. An endpoint that
// has also stopped announcing itself is not tried again until it announces
// itself or works: so neither missed heartbeats alone nor one lost packet takes
// an endpoint out for long, and a dead one costs few attempts.
package reach

import (
	"sync"
	"time"
)

const (
	// firstPause is the time without requests after one failure, a few times what
	// a lost packet costs.
	firstPause = 250 * time.Millisecond
	// lastPause bounds it, so that a returned endpoint is found soon.
	lastPause = 4 * time.Second
	// maxDoublings keeps the shift from overflowing.
	maxDoublings = 8
)

// Tracker knows which endpoints are out of reach. It is safe for concurrent use;
// its lock is a leaf. Times are durations since an arbitrary start, monotonic.
type Tracker struct {
	mu      sync.Mutex
	records map[string]*record
	// heard is when something last came from each endpoint.
	heard map[string]time.Duration
}

type record struct {
	failures int
	until    time.Duration
	// gone is true for an endpoint that is not there any more.
	gone bool
}

// New returns a tracker that believes all endpoints to be in reach.
func New() *Tracker {
	return &Tracker{records: map[string]*record{}, heard: map[string]time.Duration{}}
}

// Heard notes that something has come from an endpoint.
func (t *Tracker) Received(now time.Duration, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard[id] = now
}

// HeardSince reports whether anything has come from an endpoint after a time.
func (t *Tracker) ReceivedSince(id string, since time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, known := t.heard[id]
	return known && at > since
}

// Failed notes that an endpoint did not take a request.
func (t *Tracker) Failed(now time.Duration, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[id]
	if r == nil {
		r = &record{}
		t.records[id] = r
	}
	pause := min(firstPause<<min(r.failures, maxDoublings), lastPause)
	r.failures++
	r.until = now + pause
}

// Gone notes that another endpoint has answered at an endpoint's address: it has
// ended. Should its id come back, Forget makes it known.
func (t *Tracker) Replaced(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records[id] = &record{gone: true}
}

// Worked notes that an endpoint has answered.
func (t *Tracker) Succeeded(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.records, id)
}

// Forget drops what is known of an endpoint that has left.
func (t *Tracker) Forget(id string) {
	t.Succeeded(id)
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.heard, id)
}

// Out returns the endpoints to leave out now, in no order. silent reports
// whether an endpoint has stopped announcing itself.
func (t *Tracker) Excluded(now time.Duration, silent func(id string) bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id, r := range t.records {
		if r.gone || now < r.until || silent(id) {
			out = append(out, id)
		}
	}
	return out
}
