package ratelimit

import (
	"sync"
	"time"
)

const (
	// choiceMemory is how long a host remembers which choice of a sender it is.
	choiceMemory = 10 * time.Second
	// memory is how long nothing may be heard of an endpoint before it is forgotten, and
	// maxEndpoints the number of endpoints that are remembered.
	memory       = 10 * time.Minute
	maxEndpoints = 4096
)

// choiceParts are the parts of a limit that a host lets pass by which choice of the senders it
// is. All of them together stay below one and a half times the limit, however the senders are
// cut off from hosts.
var choiceParts = [...]float64{1, 0.3, 0.1}

// Choices is how many hosts may be asked for a permit, one after the other.
const MaxPermitHosts = len(choiceParts)

// Named is the limit of one endpoint, or of one run of its process.
type EndpointLimit struct {
	Endpoint string
	Limit    Limit
}

// Arbiter lets the requests of all entries to endpoints that name limits pass, one by one. It
// is safe for concurrent use; its lock is a leaf.
type Arbiter struct {
	mu        sync.Mutex
	endpoints map[string]*arbitrated
	// changes counts the changes of any limit.
	changes uint64
}

// arbitrated is an endpoint whose requests an arbiter lets pass.
type arbitrated struct {
	limit  Limit
	bucket Bucket
	// asked is when the arbiter was last asked as each choice of a sender, touched when
	// anything was last heard of the endpoint.
	asked   [MaxPermitHosts]time.Duration
	touched time.Duration
	// change numbers the last change of the limit.
	change uint64
}

// Permit is the answer to the wish to send a request.
type Permit struct {
	// Granted is true if it may be sent now; Wait is after which time to ask again otherwise.
	Granted bool
	Wait    time.Duration
	// Limit is the latest that the arbiter knows.
	Limit Limit
}

// NewArbiter returns an arbiter that knows of no limit.
func NewArbiter() *Arbiter { return &Arbiter{endpoints: map[string]*arbitrated{}} }

// Learn takes in the limit of an endpoint. It returns false if that is known, or overtaken.
func (a *Arbiter) Learn(now time.Duration, n EndpointLimit) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, changed := a.learn(now, n)
	return changed
}

// learn returns the endpoint, nil if it is not known to name a limit; the lock is held.
func (a *Arbiter) learn(now time.Duration, n EndpointLimit) (e *arbitrated, changed bool) {
	e = a.endpoints[n.Endpoint]
	switch {
	case e == nil && !n.Limit.Limited():
		return nil, false
	case e == nil:
		a.forget(now)
		a.makeRoom(now)
		e = &arbitrated{}
		a.endpoints[n.Endpoint] = e
	case !n.Limit.Supersedes(e.limit):
		e.touched = now
		return e, false
	}
	a.changes++
	e.limit, e.change, e.touched = n.Limit, a.changes, now
	return e, true
}

// Limit returns what an endpoint names; limited is false if it names no limit.
func (a *Arbiter) Limit(endpoint string) (limit Limit, limited bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.endpoints[endpoint]
	if e == nil || !e.limit.Limited() {
		return Limit{Rate: Unlimited}, false
	}
	return e.limit, true
}

// Ask asks to send a request under the limit that the sender knows; choice says which choice of
// the sender the arbiter is, 0 for the first.
func (a *Arbiter) Acquire(now time.Duration, n EndpointLimit, choice int) Permit {
	a.mu.Lock()
	defer a.mu.Unlock()
	e, _ := a.learn(now, n)
	if e == nil {
		return Permit{Granted: true, Limit: n.Limit}
	}
	if !e.limit.Limited() {
		return Permit{Granted: true, Limit: e.limit}
	}
	e.asked[min(max(choice, 0), MaxPermitHosts-1)] = now
	e.bucket.SetRate(now, e.limit.Rate*e.part(now))
	granted, wait := e.bucket.Take(now)
	return Permit{Granted: granted, Wait: wait, Limit: e.limit}
}

// part is the part of the limit that is let pass here.
func (e *arbitrated) part(now time.Duration) float64 {
	for choice, asked := range e.asked {
		if asked > 0 && now-asked <= choiceMemory {
			return choiceParts[choice]
		}
	}
	return choiceParts[MaxPermitHosts-1]
}

// Since returns the limits that have changed after a position that a reader has read to, zero
// for the beginning, and the next position.
func (a *Arbiter) Since(position uint64) ([]EndpointLimit, uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if position == a.changes {
		return nil, position
	}
	var found []EndpointLimit
	next := a.changes
	for name, e := range a.endpoints {
		if e.change <= position {
			continue
		}
		found = append(found, EndpointLimit{name, e.limit})
	}
	return found, next
}

// forget drops the endpoints of which nothing has been heard for long; the lock is held.
func (a *Arbiter) forget(now time.Duration) {
	for name, e := range a.endpoints {
		if now-e.touched > memory {
			delete(a.endpoints, name)
		}
	}
}

// makeRoom drops the endpoint that was heard of the longest ago if there is no room for one
// more; the lock is held.
func (a *Arbiter) makeRoom(now time.Duration) {
	if len(a.endpoints) < maxEndpoints {
		return
	}
	var oldest string
	least := now
	for name, e := range a.endpoints {
		if oldest == "" || e.touched < least {
			oldest, least = name, e.touched
		}
	}
	delete(a.endpoints, oldest)
}
