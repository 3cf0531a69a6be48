package endpoint

import (
	"sync"
	"sync/atomic"
)

// Table stores the endpoints known to one process. Readers never block: they
// load the current View. Writers are serialized by a mutex; no other lock is
// acquired while it is held.
type Table struct {
	write   sync.Mutex
	current atomic.Pointer[View]
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	t.current.Store(newView())
	return t
}

// Snapshot returns the current view, which is immutable.
func (t *Table) Snapshot() *View { return t.current.Load() }

// Get returns the endpoint with the given id.
func (t *Table) Get(id string) (Endpoint, bool) {
	e, ok := t.Snapshot().Get(id)
	if !ok {
		return Endpoint{}, false
	}
	return *e, true
}

// Apply applies a delta: it inserts or updates the upserts and deletes the
// removed ids. An upsert older than the stored record (by Revision, then
// Incarnation) is ignored, so that a delayed or duplicated message cannot
// return a leaving endpoint to service. An id that is both upserted and
// removed is removed. Apply returns the number of records that changed.
func (t *Table) Apply(upserts []Endpoint, removed []string) int {
	t.write.Lock()
	defer t.write.Unlock()
	view := t.current.Load()
	change := view.diff(upserts, removed)
	if len(change) == 0 {
		return 0
	}
	t.current.Store(view.apply(change))
	return len(change)
}

// Replace replaces the entire content of the table with all. The caller must
// ensure that all is at least as new as the current content.
func (t *Table) Replace(all []Endpoint) {
	t.write.Lock()
	defer t.write.Unlock()
	empty := newView()
	t.current.Store(empty.apply(empty.diff(all, nil)))
}
