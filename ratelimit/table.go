package ratelimit

import "sync"

// Table holds the limits that endpoints name, as one entry knows them, by the endpoints' ids.
// It is safe for concurrent use; its lock is a leaf.
type Table struct {
	mu        sync.Mutex
	endpoints map[string]*record
}

// record is what is known of one endpoint that names a limit, or did.
type record struct {
	limit Limit
	// sent and again count the requests that were sent since the limit was named, and those
	// of them that were further attempts.
	sent, again int
}

// Change is a change of what an endpoint names.
type Change struct {
	From, To Limit
	// Sent and Again count what this entry has sent under the former limit: all requests, and
	// those of them that were further attempts.
	Sent, Again int
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{endpoints: map[string]*record{}} }

// Note takes in what an endpoint names. changed is false if it is known already, or overtaken.
func (t *Table) Note(id string, limit Limit) (change Change, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.endpoints[id]
	if r == nil {
		if !limit.Limited() {
			return Change{}, false
		}
		t.endpoints[id] = &record{limit: limit}
		return Change{From: Limit{Rate: Unlimited}, To: limit}, true
	}
	if !limit.Supersedes(r.limit) {
		if limit.Rate == r.limit.Rate {
			r.limit.At = max(r.limit.At, limit.At)
		}
		return Change{}, false
	}
	change = Change{From: r.limit, To: limit, Sent: r.sent, Again: r.again}
	t.endpoints[id] = &record{limit: limit}
	return change, true
}

// Sent notes that a request is sent to an endpoint, and reports whether that names a limit.
func (t *Table) Sent(id string, again bool) (limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.endpoints[id]
	if r == nil || !r.limit.Limited() {
		return false
	}
	r.sent++
	if again {
		r.again++
	}
	return true
}

// Forget drops what is known of an endpoint that has left or started anew.
func (t *Table) Forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.endpoints, id)
}

// Limited returns the number of endpoints that name a limit.
func (t *Table) Limited() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, r := range t.endpoints {
		if r.limit.Limited() {
			count++
		}
	}
	return count
}
