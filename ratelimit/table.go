package ratelimit

import (
	"sync"
	"time"
)

// Turns gives refused senders turns, one after the other, so that each comes back when a
// request may be sent. The zero value is ready; it is not safe for concurrent use.
type RetrySchedule struct{ next time.Duration }

// Next returns the next turn, not before soonest and not after latest, where requests may be
// sent at a rate.
func (t *RetrySchedule) Next(soonest, latest time.Duration, rate float64) time.Duration {
	turn := min(max(t.next, soonest), latest)
	t.next = turn + time.Duration(float64(time.Second)/max(rate, leastRate))
	return turn
}

// Table holds the limits that endpoints name, as one entry knows them, by the endpoints' ids.
// It is safe for concurrent use; its lock is a leaf.
type Table struct {
	mu        sync.Mutex
	endpoints map[string]*record
}

// record is what is known of one endpoint that names a limit or has asked for a pause, or did.
type record struct {
	limit Limit
	// pause is what the endpoint has asked for.
	pause Pause
	// leaving is set once the endpoint has said that it is about to stop.
	leaving bool
	// meanwhile counts the requests that were sent in the pause, meanwhileAgain those of them
	// that were further attempts.
	meanwhile, meanwhileAgain int
	// sent and again count the requests that were sent since the limit was named, and those
	// of them that were further attempts.
	sent, again int
	// opens is the time before which nothing may be sent for other reasons; asking counts the
	// questions for a permit that are under way.
	opens  time.Duration
	asking int
}

// maxAsking bounds the questions for permits of one endpoint that are under way at once.
const maxAsking = 4

// Change is a change of what an endpoint names.
type LimitChange struct {
	From, To Limit
	// Sent and Again count what this entry has sent under the former limit: all requests, and
	// those of them that were further attempts.
	Sent, Retries int
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{endpoints: map[string]*record{}} }

// Note takes in what an endpoint names. changed is false if it is known already, or overtaken.
func (t *Table) Update(id string, limit Limit) (change LimitChange, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.endpoints[id]
	if r == nil {
		if !limit.Limited() {
			return LimitChange{}, false
		}
		t.record(id).limit = limit
		return LimitChange{From: Limit{Rate: Unlimited}, To: limit}, true
	}
	if !limit.Supersedes(r.limit) {
		if limit.Rate == r.limit.Rate {
			r.limit.ReceivedAt = max(r.limit.ReceivedAt, limit.ReceivedAt)
		}
		return LimitChange{}, false
	}
	change = LimitChange{From: r.limit, To: limit, Sent: r.sent, Retries: r.again}
	r.limit, r.sent, r.again, r.opens, r.asking = limit, 0, 0, 0, 0
	return change, true
}

// record returns the record of an endpoint, made at its first use; the lock is held.
func (t *Table) record(id string) *record {
	r := t.endpoints[id]
	if r == nil {
		r = &record{limit: Limit{Rate: Unlimited}}
		t.endpoints[id] = r
	}
	return r
}

// Pushback is a pause that an endpoint has asked for, with what this entry has sent in the
// former one.
type PreviousPause struct {
	// Former is true if the endpoint had asked for a pause before.
	Exists bool
	// Sent and Again count the requests in the former pause: all, and the further attempts.
	Sent, Retries int
}

// PushedBack notes that an endpoint wants nothing for a pause. begun is false if that only
// prolongs a pause.
func (t *Table) RecordPushback(now time.Duration, id string, pause time.Duration) (former PreviousPause, begun bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(id)
	begun = now >= r.pause.until
	if begun {
		former = PreviousPause{Exists: r.pause.until > 0, Sent: r.meanwhile, Retries: r.meanwhileAgain}
		r.meanwhile, r.meanwhileAgain = 0, 0
	}
	r.pause.Extend(now, pause)
	return former, begun
}

// Taken notes that an endpoint has not rejected a request that was sent at a time.
func (t *Table) RecordAccepted(id string, sent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.endpoints[id]; r != nil {
		r.pause.RecordAccepted(sent)
	}
}

// Leaving notes that an endpoint is about to stop. It reports whether that is news.
func (t *Table) MarkLeaving(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(id)
	news := !r.leaving
	r.leaving = true
	return news
}

// Shut notes that nothing may be sent to an endpoint before opens.
func (t *Table) BlockUntil(id string, opens time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(id)
	r.opens = max(r.opens, opens)
}

// Admission says whether a request may be sent to an endpoint.
type Admission int

const (
	// Open: it may be sent.
	Allowed Admission = iota
	// Shut: nothing may be sent now.
	Blocked
	// Ask: it may be sent with a permit, since the endpoint names a limit.
	PermitRequired
)

// Begin decides whether a request may be sent to an endpoint. After Ask, End has to follow.
func (t *Table) Admit(now time.Duration, id string) (Limit, Admission) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.endpoints[id]
	switch {
	case r == nil:
		return Limit{Rate: Unlimited}, Allowed
	case r.leaving, r.opensAt(now) > 0:
		return r.limit, Blocked
	case r.limit.Limited() && r.asking >= maxAsking:
		return r.limit, Blocked
	}
	r.pause.Take(now)
	if !r.limit.Limited() {
		return r.limit, Allowed
	}
	r.asking++
	return r.limit, PermitRequired
}

// opensAt returns when a request may be sent, zero if one may be now.
func (r *record) opensAt(now time.Duration) time.Duration {
	opens := max(r.opens, r.pause.BlockedUntil(now))
	if opens <= now {
		return 0
	}
	return opens
}

// End ends what Begin has begun: nothing is to be sent before opens.
func (t *Table) FinishPermit(id string, opens time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.endpoints[id]; r != nil {
		r.asking = max(r.asking-1, 0)
		r.opens = max(r.opens, opens)
	}
}

// Closed returns the endpoints to which nothing may be sent now, in no order.
func (t *Table) Blocked(now time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var closed []string
	for id, r := range t.endpoints {
		if r.leaving || r.opensAt(now) > 0 {
			closed = append(closed, id)
		}
	}
	return closed
}

// Reserve says why an endpoint does not take requests as usual.
type Restriction struct {
	// Leaving is true for one that is about to stop and gets nothing any more.
	Leaving bool
	// Opens is when one that has asked for a pause, and has taken no request since, may be sent
	// one; zero for now.
	BlockedUntil time.Duration
}

// Reserves returns the endpoints that do not take requests as usual, but for those that only name
// a limit.
func (t *Table) Restrictions(now time.Duration) map[string]Restriction {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reserves map[string]Restriction
	for id, r := range t.endpoints {
		if !r.leaving && !r.pause.Active() {
			continue
		}
		if reserves == nil {
			reserves = map[string]Restriction{}
		}
		reserves[id] = Restriction{Leaving: r.leaving, BlockedUntil: r.opensAt(now)}
	}
	return reserves
}

// InPause reports whether an endpoint has asked for a pause that has not ended.
func (t *Table) InPause(now time.Duration, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.endpoints[id]
	return r != nil && now < r.pause.until
}

// Opens returns when something may be sent to an endpoint, zero if it may now or never.
func (t *Table) BlockedUntil(now time.Duration, id string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.endpoints[id]; r != nil && !r.leaving {
		return r.opensAt(now)
	}
	return 0
}

// Limit returns what an endpoint names; limited is false if it names no limit.
func (t *Table) Limit(id string) (limit Limit, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.endpoints[id]
	if r == nil {
		return Limit{Rate: Unlimited}, false
	}
	return r.limit, r.limit.Limited()
}

// All returns the endpoints that name a limit, in no order.
func (t *Table) LimitedEndpoints() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []string
	for id, r := range t.endpoints {
		if r.limit.Limited() {
			all = append(all, id)
		}
	}
	return all
}

// Sent notes that a request is sent to an endpoint. It reports whether that names a limit, and
// whether it has asked for a pause that has not ended.
func (t *Table) RecordSent(now time.Duration, id string, again bool) (limited, paused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.endpoints[id]
	if r == nil {
		return false, false
	}
	limited, paused = r.limit.Limited(), now < r.pause.until
	if limited {
		count(&r.sent, &r.again, again)
	}
	if paused {
		count(&r.meanwhile, &r.meanwhileAgain, again)
	}
	return limited, paused
}

func count(all, further *int, again bool) {
	*all++
	if again {
		*further++
	}
}

// Forget drops what is known of an endpoint that has left or started anew.
func (t *Table) Forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.endpoints, id)
}

// Limited returns the number of endpoints that name a limit.
func (t *Table) LimitedCount() int { return len(t.LimitedEndpoints()) }
