package endpoint

import (
	"maps"
	"slices"
	"strings"
)

// Key identifies the set of endpoints that can serve one kind of request.
type Key struct {
	// Pool and Model are the names of the pool and of the model; Model is empty
	// for a service.
	Pool, Model string
	// Version is the version of the model; empty matches any version.
	Version string
	// Adapter is the name of the adapter; empty stands for the base model.
	Adapter string
}

// View is an immutable snapshot of the table, indexed for endpoint selection.
// The endpoints it returns are shared and must not be modified.
type View struct {
	byID    map[string]*Endpoint
	serving map[Key][]*Endpoint
	pools   map[string]int
	models  map[Key]int
	// byAddr indexes the serving endpoints that are called directly.
	byAddr map[string]*Endpoint
}

// change maps an id to its new record, or to nil if it is removed.
type change map[string]*Endpoint

func newView() *View {
	return &View{
		byID:    map[string]*Endpoint{},
		serving: map[Key][]*Endpoint{},
		pools:   map[string]int{},
		models:  map[Key]int{},
	}
}

// Len returns the number of endpoints in any state.
func (v *View) Len() int { return len(v.byID) }

// Get returns the endpoint with the given id, in any state.
func (v *View) Get(id string) (*Endpoint, bool) {
	e, ok := v.byID[id]
	return e, ok
}

// ByAddr returns the serving endpoint that is called directly at addr. If several
// have announced the address, it returns the one announced last.
func (v *View) ByAddr(addr string) (*Endpoint, bool) {
	e, ok := v.byAddr[addr]
	return e, ok
}

// All returns every endpoint in any state, ordered by id.
func (v *View) All() []*Endpoint {
	all := slices.Collect(maps.Values(v.byID))
	sortByID(all)
	return all
}

// Serving returns the endpoints that accept new calls for the key, ordered by
// id. It never includes endpoints that are leaving or stopped.
func (v *View) Serving(key Key) []*Endpoint { return v.serving[key] }

// HasPool reports whether any endpoint, in any state, belongs to the pool.
func (v *View) HasPool(pool string) bool { return v.pools[pool] > 0 }

// HasModel reports whether any endpoint of the pool, in any state, has been
// ordered to serve the model, version and adapter of the key.
func (v *View) HasModel(key Key) bool { return v.models[key] > 0 }

// diff returns the part of a delta that changes the view.
func (v *View) diff(upserts []Endpoint, removed []string) change {
	accepted := change{}
	for i := range upserts {
		next := upserts[i]
		existing := v.byID[next.ID]
		if pending, ok := accepted[next.ID]; ok {
			existing = pending
		}
		if existing != nil && !next.supersedes(existing) {
			continue
		}
		accepted[next.ID] = &next
	}
	for _, id := range removed {
		if v.byID[id] == nil {
			delete(accepted, id)
			continue
		}
		accepted[id] = nil
	}
	return accepted
}

// apply returns the view with the change applied. Serving lists of unaffected
// keys are shared with the old view.
func (v *View) apply(c change) *View {
	next := &View{
		byID:    maps.Clone(v.byID),
		serving: maps.Clone(v.serving),
		pools:   maps.Clone(v.pools),
		models:  maps.Clone(v.models),
		byAddr:  v.byAddr,
	}
	added := map[Key][]*Endpoint{}
	touched := map[Key]bool{}
	for id, e := range c {
		if old := v.byID[id]; old != nil {
			next.unindex(old, touched)
		}
		delete(next.byID, id)
		if e != nil {
			next.index(e, touched, added)
		}
	}
	next.indexAddrs(c)
	for key := range touched {
		next.rebuildServing(key, c, added[key])
	}
	return next
}

// indexAddrs rebuilds byAddr if the change may affect an endpoint that is called
// directly. Of several endpoints at an address it keeps the one announced last.
func (v *View) indexAddrs(c change) {
	touched := false
	for id, e := range c {
		touched = touched || e != nil && e.Addr != "" || v.byID[id] == nil
	}
	if !touched {
		return
	}
	v.byAddr = map[string]*Endpoint{}
	for _, e := range v.byID {
		if e.Addr == "" || e.State != Serving {
			continue
		}
		if existing := v.byAddr[e.Addr]; existing == nil || e.announcedAfter(existing) {
			v.byAddr[e.Addr] = e
		}
	}
}

// announcedAfter reports whether e was announced at its address after other. The
// expiry of a lease raises a record's revision too, so an endpoint whose
// announcement has expired counts as the earlier of the two.
func (e *Endpoint) announcedAfter(other *Endpoint) bool {
	if e.AnnouncementExpired != other.AnnouncementExpired {
		return other.AnnouncementExpired
	}
	return e.Revision > other.Revision
}

// unindex removes the old record from the counts and marks its keys as touched.
func (v *View) unindex(old *Endpoint, touched map[Key]bool) {
	decrement(v.pools, old.Pool)
	for _, key := range old.lookupKeys() {
		decrement(v.models, key)
		touched[key] = true
	}
}

// index adds the new record to the counts and marks its keys as touched.
func (v *View) index(e *Endpoint, touched map[Key]bool, added map[Key][]*Endpoint) {
	v.byID[e.ID] = e
	v.pools[e.Pool]++
	for _, key := range e.lookupKeys() {
		v.models[key]++
		if e.State != Serving {
			continue
		}
		touched[key] = true
		added[key] = append(added[key], e)
	}
}

// rebuildServing rebuilds the serving list of a key from the old list and the change.
func (v *View) rebuildServing(key Key, c change, added []*Endpoint) {
	list := make([]*Endpoint, 0, len(v.serving[key])+len(added))
	for _, e := range v.serving[key] {
		if _, changed := c[e.ID]; !changed {
			list = append(list, e)
		}
	}
	list = append(list, added...)
	list = slices.DeleteFunc(list, v.addrTaken)
	if len(list) == 0 {
		delete(v.serving, key)
		return
	}
	sortByID(list)
	v.serving[key] = list
}

// addrTaken reports whether another endpoint has since been announced at the
// address of e. The process behind e has then ended, even if its lease is valid.
func (v *View) addrTaken(e *Endpoint) bool {
	if e.Addr == "" {
		return false
	}
	present := v.byAddr[e.Addr]
	return present != nil && present.ID != e.ID
}

// lookupKeys returns the keys under which the endpoint is indexed.
func (e *Endpoint) lookupKeys() []Key {
	adapters := append([]string{""}, e.Adapters...)
	slices.Sort(adapters)
	adapters = slices.Compact(adapters)
	keys := make([]Key, 0, 2*len(adapters))
	for _, adapter := range adapters {
		keys = append(keys, Key{Pool: e.Pool, Model: e.Model, Adapter: adapter})
		if e.Version != "" {
			keys = append(keys, Key{Pool: e.Pool, Model: e.Model, Version: e.Version, Adapter: adapter})
		}
	}
	return keys
}

func decrement[K comparable](counts map[K]int, key K) {
	counts[key]--
	if counts[key] <= 0 {
		delete(counts, key)
	}
}

func sortByID(list []*Endpoint) {
	slices.SortFunc(list, func(a, b *Endpoint) int { return strings.Compare(a.ID, b.ID) })
}
