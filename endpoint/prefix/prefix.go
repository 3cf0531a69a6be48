// Package prefix provides a bounded index of which endpoints cache which prompt
// prefixes.
//
// The index is built from cache events, which may arrive late, out of order or
// not at all. Its content is only a hint: a wrong entry costs a prefill that was
// expected to be cached, a missing entry costs a missed cache hit. A gap in the
// events of an endpoint invalidates every entry learned before the gap, because
// the lost events may have evicted any of them.
//
// Times are monotonic, expressed as time.Duration since an arbitrary start. All
// methods are safe for concurrent use; no other lock is acquired while the
// index's lock is held.
package prefix

// Event is a change to one endpoint's cache. Block hashes are chained: the
// hash of a block covers all blocks before it.
type Event struct {
	// Endpoint is the endpoint's id.
	Endpoint string
	// Incarnation increases when the endpoint restarts with an empty cache.
	Incarnation uint64
	// Seq numbers the events of one incarnation consecutively from 1.
	Seq uint64
	// Stored lists the hashes of the blocks added to the cache.
	Stored []uint64
	// Removed lists the hashes of the blocks evicted from the cache, before those
	// in Stored were added.
	Removed []uint64
	// Cleared is true if the cache was emptied before Stored was added.
	Cleared bool
}
