package ratelimit

import (
	"sync"
	"time"
)

// RetrySchedule gives refused senders successive turns, so that each retries when a request may be
// sent. The zero value is ready for use. It is not safe for concurrent use.
type RetrySchedule struct{ next time.Duration }

// Next returns the next turn, not before soonest and not after latest. Turns are spaced for the
// given rate, in requests per second.
func (t *RetrySchedule) Next(soonest, latest time.Duration, rate float64) time.Duration {
	turn := min(max(t.next, soonest), latest)
	t.next = turn + time.Duration(float64(time.Second)/max(rate, minRate))
	return turn
}

// Table holds, by endpoint id, the limits and pauses of endpoints that one entry knows. It is safe
// for concurrent use. No other lock is acquired while its lock is held.
type Table struct {
	mu        sync.Mutex
	endpoints map[string]*record
}

// record is the state of one endpoint.
type record struct {
	limit Limit
	// coldRate is the rate that the endpoint takes while it is cold, in requests per second; zero
	// if it is not cold.
	coldRate float64
	// pause is the pause that the endpoint has asked for.
	pause Pause
	// leaving is set once the endpoint has announced that it is about to stop.
	leaving bool
	// sentInPause counts the requests that were sent during the pause, retriesInPause the retries
	// among them.
	sentInPause, retriesInPause int
	// sent counts the requests that were sent under the current limit, retries the retries among
	// them.
	sent, retries int
	// notBefore is the time before which nothing may be sent for reasons other than the pause;
	// pendingPermits counts the permit requests in flight.
	notBefore      time.Duration
	pendingPermits int
}

// maxPendingPermits bounds the permit requests in flight for one endpoint.
const maxPendingPermits = 4

// LimitChange is a change of the limit that an endpoint advertises.
type LimitChange struct {
	From, To Limit
	// Sent counts the requests that this entry has sent under the previous limit, Retries the
	// retries among them.
	Sent, Retries int
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{endpoints: map[string]*record{}} }

// Update updates the limit that an endpoint advertises. changed is false if the limit is already
// known or superseded.
func (t *Table) Update(id string, limit Limit) (change LimitChange, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.endpoints[id]
	if r == nil {
		if !limit.Limited() {
			return LimitChange{}, false
		}
		t.getOrCreate(id).limit = limit
		return LimitChange{From: Limit{Rate: Unlimited}, To: limit}, true
	}
	if !limit.Supersedes(r.limit) {
		if limit.Rate == r.limit.Rate {
			r.limit.ReceivedAt = max(r.limit.ReceivedAt, limit.ReceivedAt)
		}
		return LimitChange{}, false
	}
	change = LimitChange{From: r.limit, To: limit, Sent: r.sent, Retries: r.retries}
	r.limit, r.sent, r.retries, r.notBefore, r.pendingPermits = limit, 0, 0, 0, 0
	return change, true
}

// SetColdRate sets the rate, in requests per second, that an endpoint takes while it is cold; zero
// for an endpoint that is not cold. It reports whether the rate has changed.
func (t *Table) SetColdRate(id string, rate float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.endpoints[id]
	if r == nil && rate <= 0 || r != nil && r.coldRate == rate {
		return false
	}
	r = t.getOrCreate(id)
	r.coldRate, r.notBefore = rate, 0
	return true
}

// effectiveLimit returns the stricter of the advertised limit and the cold rate.
func (r *record) effectiveLimit(now time.Duration) Limit {
	if r.coldRate <= 0 || r.coldRate >= r.limit.Rate {
		return r.limit
	}
	return Limit{Rate: r.coldRate, SentAt: now, ReceivedAt: now, Cold: true}
}

// getOrCreate returns the record of an endpoint and creates it on first use. The caller must hold
// the lock.
func (t *Table) getOrCreate(id string) *record {
	r := t.endpoints[id]
	if r == nil {
		r = &record{limit: Limit{Rate: Unlimited}}
		t.endpoints[id] = r
	}
	return r
}

// PreviousPause describes the previous pause of an endpoint that asks for a new one.
type PreviousPause struct {
	// Exists is true if the endpoint had asked for a pause before.
	Exists bool
	// Sent counts the requests that this entry has sent during the previous pause, Retries the
	// retries among them.
	Sent, Retries int
}

// RecordPushback records that an endpoint has asked for a pause. started is false if this only
// extends a pause.
func (t *Table) RecordPushback(now time.Duration, id string, pause time.Duration) (previous PreviousPause, started bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.getOrCreate(id)
	started = now >= r.pause.until
	if started {
		previous = PreviousPause{Exists: r.pause.until > 0, Sent: r.sentInPause, Retries: r.retriesInPause}
		r.sentInPause, r.retriesInPause = 0, 0
	}
	r.pause.Extend(now, pause)
	return previous, started
}

// RecordAccepted records that an endpoint did not reject a request sent at the given time.
func (t *Table) RecordAccepted(id string, sent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.endpoints[id]; r != nil {
		r.pause.RecordAccepted(sent)
	}
}

// MarkLeaving records that an endpoint is about to stop. It reports whether this was not known
// before.
func (t *Table) MarkLeaving(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.getOrCreate(id)
	changed := !r.leaving
	r.leaving = true
	return changed
}

// BlockUntil blocks requests to an endpoint until the given time.
func (t *Table) BlockUntil(id string, until time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.getOrCreate(id)
	r.notBefore = max(r.notBefore, until)
}

// Admission is the decision whether a request may be sent to an endpoint.
type Admission int

const (
	// Allowed: the request may be sent.
	Allowed Admission = iota
	// Blocked: no request may be sent now.
	Blocked
	// PermitRequired: the request needs a permit, since the endpoint advertises a limit.
	PermitRequired
)

// Admit decides whether a request may be sent to an endpoint. After PermitRequired, FinishPermit
// must follow.
func (t *Table) Admit(now time.Duration, id string) (Limit, Admission) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.endpoints[id]
	switch {
	case r == nil:
		return Limit{Rate: Unlimited}, Allowed
	case r.leaving, r.blockedUntil(now) > 0:
		return r.limit, Blocked
	}
	limit := r.effectiveLimit(now)
	if limit.Limited() && r.pendingPermits >= maxPendingPermits {
		return limit, Blocked
	}
	r.pause.Take(now)
	if !limit.Limited() {
		return limit, Allowed
	}
	r.pendingPermits++
	return limit, PermitRequired
}

// blockedUntil returns the time from which a request may be sent, zero if one may be sent now.
func (r *record) blockedUntil(now time.Duration) time.Duration {
	until := max(r.notBefore, r.pause.BlockedUntil(now))
	if until <= now {
		return 0
	}
	return until
}

// FinishPermit ends a permit request that followed from Admit, and blocks requests before
// notBefore.
func (t *Table) FinishPermit(id string, notBefore time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.endpoints[id]; r != nil {
		r.pendingPermits = max(r.pendingPermits-1, 0)
		r.notBefore = max(r.notBefore, notBefore)
	}
}

// Blocked returns the endpoints to which nothing may be sent now, in no particular order.
func (t *Table) Blocked(now time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var blocked []string
	for id, r := range t.endpoints {
		if r.leaving || r.blockedUntil(now) > 0 {
			blocked = append(blocked, id)
		}
	}
	return blocked
}

// Restriction says why an endpoint does not accept requests as usual.
type Restriction struct {
	// Leaving is true if the endpoint is about to stop and gets no more requests.
	Leaving bool
	// BlockedUntil is the time from which an endpoint that has asked for a pause, and has accepted
	// no request since, may be sent one; zero if it may be sent one now.
	BlockedUntil time.Duration
}

// Restrictions returns the endpoints that are leaving, or have asked for a pause and accepted no
// request since. Endpoints that only advertise a limit are not included.
func (t *Table) Restrictions(now time.Duration) map[string]Restriction {
	t.mu.Lock()
	defer t.mu.Unlock()
	var restrictions map[string]Restriction
	for id, r := range t.endpoints {
		if !r.leaving && !r.pause.Active() {
			continue
		}
		if restrictions == nil {
			restrictions = map[string]Restriction{}
		}
		restrictions[id] = Restriction{Leaving: r.leaving, BlockedUntil: r.blockedUntil(now)}
	}
	return restrictions
}

// InPause reports whether an endpoint is in a pause that it has asked for.
func (t *Table) InPause(now time.Duration, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.endpoints[id]
	return r != nil && now < r.pause.until
}

// BlockedUntil returns the time from which a request may be sent to an endpoint, zero if one may be
// sent now, or never again since the endpoint is leaving.
func (t *Table) BlockedUntil(now time.Duration, id string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.endpoints[id]; r != nil && !r.leaving {
		return r.blockedUntil(now)
	}
	return 0
}

// Limit returns the limit that an endpoint advertises; limited is false if it advertises none.
func (t *Table) Limit(id string) (limit Limit, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.endpoints[id]
	if r == nil {
		return Limit{Rate: Unlimited}, false
	}
	return r.limit, r.limit.Limited()
}

// EffectiveRate returns the rate that an endpoint takes, in requests per second: the stricter of
// its advertised limit and its cold rate. limited is false if it has neither.
func (t *Table) EffectiveRate(id string) (rate float64, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.endpoints[id]
	if r == nil {
		return Unlimited, false
	}
	limit := r.effectiveLimit(0)
	return limit.Rate, limit.Limited()
}

// ColdCount returns the number of cold endpoints that have a cold rate.
func (t *Table) ColdCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, r := range t.endpoints {
		if r.coldRate > 0 {
			count++
		}
	}
	return count
}

// LimitedEndpoints returns the endpoints that advertise a limit or are cold, in no particular
// order.
func (t *Table) LimitedEndpoints() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var limited []string
	for id, r := range t.endpoints {
		if r.effectiveLimit(0).Limited() {
			limited = append(limited, id)
		}
	}
	return limited
}

// RecordSent records that a request is sent to an endpoint. It reports whether the endpoint
// advertises a limit or is cold, and whether it is in a pause.
func (t *Table) RecordSent(now time.Duration, id string, retry bool) (limited, paused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.endpoints[id]
	if r == nil {
		return false, false
	}
	limited, paused = r.effectiveLimit(now).Limited(), now < r.pause.until
	if limited {
		countAttempt(&r.sent, &r.retries, retry)
	}
	if paused {
		countAttempt(&r.sentInPause, &r.retriesInPause, retry)
	}
	return limited, paused
}

func countAttempt(total, retries *int, retry bool) {
	*total++
	if retry {
		*retries++
	}
}

// Forget deletes the state of an endpoint that has been removed or restarted.
func (t *Table) Forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.endpoints, id)
}

// LimitedCount returns the number of endpoints that advertise a limit or are cold.
func (t *Table) LimitedCount() int { return len(t.LimitedEndpoints()) }
