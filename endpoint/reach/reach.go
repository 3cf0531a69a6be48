// Package reach excludes unreachable endpoints from selection, with exponential
// backoff.
//
// An endpoint that fails to accept a request is excluded for a period that
// doubles with each consecutive failure. A success ends the exclusion at once. An
// endpoint that has also stopped announcing itself is not retried until it
// announces itself again or answers. Neither missed heartbeats alone nor a single
// lost packet therefore excludes an endpoint for long, and a dead endpoint costs
// few attempts.
package reach

import (
	"sync"
	"time"
)

const (
	// initialBackoff is the exclusion after one failure: several times the delay
	// caused by a lost packet.
	initialBackoff = 250 * time.Millisecond
	// maxBackoff limits the exclusion, so that a recovered endpoint is detected soon.
	maxBackoff = 4 * time.Second
	// maxDoublings prevents overflow of the shift.
	maxDoublings = 8
)

// Tracker tracks which endpoints are unreachable. It is safe for concurrent use;
// no other lock is acquired while its lock is held. Times are monotonic durations
// since an arbitrary start.
type Tracker struct {
	mu      sync.Mutex
	records map[string]*record
	// received is when data last arrived from each endpoint.
	received map[string]time.Duration
}

type record struct {
	failures int
	retryAt  time.Duration
	// replaced is true if another endpoint has answered at this endpoint's address.
	replaced bool
}

// New returns a tracker in which all endpoints are reachable.
func New() *Tracker {
	return &Tracker{records: map[string]*record{}, received: map[string]time.Duration{}}
}

// Received records that data has arrived from an endpoint.
func (t *Tracker) Received(now time.Duration, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received[id] = now
}

// ReceivedSince reports whether data has arrived from an endpoint after since.
func (t *Tracker) ReceivedSince(id string, since time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, known := t.received[id]
	return known && at > since
}

// Failed records that an endpoint did not accept a request.
func (t *Tracker) Failed(now time.Duration, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[id]
	if r == nil {
		r = &record{}
		t.records[id] = r
	}
	backoff := min(initialBackoff<<min(r.failures, maxDoublings), maxBackoff)
	r.failures++
	r.retryAt = now + backoff
}

// Replaced records that another endpoint has answered at the address of endpoint
// id, whose process has therefore ended. If the id is announced again, Forget
// clears the record.
func (t *Tracker) Replaced(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records[id] = &record{replaced: true}
}

// Succeeded records that an endpoint has answered.
func (t *Tracker) Succeeded(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.records, id)
}

// Forget discards the state of an endpoint that has left.
func (t *Tracker) Forget(id string) {
	t.Succeeded(id)
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.received, id)
}

// Excluded returns the endpoints to exclude at now, in no particular order.
// expired reports whether an endpoint's announcement has expired.
func (t *Tracker) Excluded(now time.Duration, expired func(id string) bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var excluded []string
	for id, r := range t.records {
		if r.replaced || now < r.retryAt || expired(id) {
			excluded = append(excluded, id)
		}
	}
	return excluded
}
