package ratelimit

import (
	"sync"
	"time"
)

const (
	// choiceRetention is how long a host remembers its rank in the order of preference of a sender
	// that has asked it for a permit.
	choiceRetention = 10 * time.Second
	// endpointRetention is how long an endpoint is kept after its limit was last received, and
	// maxEndpoints bounds the number of endpoints.
	endpointRetention = 10 * time.Minute
	maxEndpoints      = 4096
)

// choiceShares are the shares of a limit that a host grants, by its rank in the senders' order of
// preference. Their sum stays below one and a half times the limit, whichever hosts the senders are
// partitioned from.
var choiceShares = [...]float64{1, 0.3, 0.1}

// MaxPermitHosts is the number of hosts that a sender may ask for a permit, one after the other.
const MaxPermitHosts = len(choiceShares)

// EndpointLimit is the limit of an endpoint, or of one run of its process.
type EndpointLimit struct {
	Endpoint string
	Limit    Limit
}

// Arbiter enforces the limits of endpoints across all entries by granting a permit for each
// request. It is safe for concurrent use. No other lock is acquired while its lock is held.
type Arbiter struct {
	mu        sync.Mutex
	endpoints map[string]*limitedEndpoint
	// revision counts the changes of all limits.
	revision uint64
}

// limitedEndpoint is the state of an endpoint that advertises a limit, or did.
type limitedEndpoint struct {
	limit  Limit
	bucket Bucket
	// lastAsked is when a permit was last requested, by the arbiter's rank in the sender's order of
	// preference; lastSeen is when the endpoint's limit was last received.
	lastAsked [MaxPermitHosts]time.Duration
	lastSeen  time.Duration
	// revision is the arbiter's revision at the last change of the limit.
	revision uint64
}

// Permit is the response to a request for permission to send one request.
type Permit struct {
	// Granted is true if the request may be sent now; otherwise Wait is the time after which to ask
	// again.
	Granted bool
	Wait    time.Duration
	// Limit is the latest limit that the arbiter knows.
	Limit Limit
}

// NewArbiter returns an arbiter without limits.
func NewArbiter() *Arbiter { return &Arbiter{endpoints: map[string]*limitedEndpoint{}} }

// Learn updates the limit of an endpoint. It returns false if the limit is already known or
// superseded.
func (a *Arbiter) Learn(now time.Duration, l EndpointLimit) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, changed := a.learn(now, l)
	return changed
}

// learn is like Learn and also returns the endpoint, nil if it has never advertised a limit. The
// caller must hold the lock.
func (a *Arbiter) learn(now time.Duration, l EndpointLimit) (e *limitedEndpoint, changed bool) {
	e = a.endpoints[l.Endpoint]
	switch {
	case e == nil && !l.Limit.Limited():
		return nil, false
	case e == nil:
		a.evictStale(now)
		a.evictIfFull(now)
		e = &limitedEndpoint{}
		a.endpoints[l.Endpoint] = e
	case !l.Limit.Supersedes(e.limit):
		e.lastSeen = now
		return e, false
	}
	a.revision++
	e.limit, e.revision, e.lastSeen = l.Limit, a.revision, now
	return e, true
}

// Limit returns the limit that an endpoint advertises; limited is false if it advertises none.
func (a *Arbiter) Limit(endpoint string) (limit Limit, limited bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.endpoints[endpoint]
	if e == nil || !e.limit.Limited() {
		return Limit{Rate: Unlimited}, false
	}
	return e.limit, true
}

// Acquire requests a permit to send one request, under the limit that the sender knows. choice is
// the arbiter's rank in the sender's order of preference, 0 for the first.
func (a *Arbiter) Acquire(now time.Duration, l EndpointLimit, choice int) Permit {
	a.mu.Lock()
	defer a.mu.Unlock()
	e, _ := a.learn(now, l)
	if e == nil {
		return Permit{Granted: true, Limit: l.Limit}
	}
	if !e.limit.Limited() {
		return Permit{Granted: true, Limit: e.limit}
	}
	e.lastAsked[min(max(choice, 0), MaxPermitHosts-1)] = now
	e.bucket.SetRate(now, e.limit.Rate*e.share(now))
	granted, wait := e.bucket.Take(now)
	return Permit{Granted: granted, Wait: wait, Limit: e.limit}
}

// share returns the share of the limit that this arbiter may grant.
func (e *limitedEndpoint) share(now time.Duration) float64 {
	for choice, lastAsked := range e.lastAsked {
		if lastAsked > 0 && now-lastAsked <= choiceRetention {
			return choiceShares[choice]
		}
	}
	return choiceShares[MaxPermitHosts-1]
}

// Since returns the limits that have changed after a reader's position, zero for the beginning, and
// the reader's next position.
func (a *Arbiter) Since(position uint64) ([]EndpointLimit, uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if position == a.revision {
		return nil, position
	}
	var changed []EndpointLimit
	next := a.revision
	for name, e := range a.endpoints {
		if e.revision <= position {
			continue
		}
		changed = append(changed, EndpointLimit{name, e.limit})
	}
	return changed, next
}

// evictStale evicts the endpoints not seen for endpointRetention. The caller must hold the lock.
func (a *Arbiter) evictStale(now time.Duration) {
	for name, e := range a.endpoints {
		if now-e.lastSeen > endpointRetention {
			delete(a.endpoints, name)
		}
	}
}

// evictIfFull evicts the least recently seen endpoint if there is no room for one more. The
// caller must hold the lock.
func (a *Arbiter) evictIfFull(now time.Duration) {
	if len(a.endpoints) < maxEndpoints {
		return
	}
	var oldest string
	oldestSeen := now
	for name, e := range a.endpoints {
		if oldest == "" || e.lastSeen < oldestSeen {
			oldest, oldestSeen = name, e.lastSeen
		}
	}
	delete(a.endpoints, oldest)
}
