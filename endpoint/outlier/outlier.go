// Package outlier takes endpoints out of rotation that are slow or failing
// compared with their peers, and brings them back by slow start.
//
// An endpoint is judged against the other endpoints of its peer set, never
// against an absolute limit, so that a load peak that slows all of them ejects
// none. At most a stated share of a peer set is out of rotation at any time.
//
// Times are time.Duration since an arbitrary start, monotonic. All methods are
// safe for concurrent use; the lock is held while no other lock is taken.
package outlier

import "time"

// Sample is one observation of an endpoint.
type Sample struct {
	// Failed is true when the endpoint failed the call by its own fault.
	Failed bool
	// Latency is a time that is comparable among the peers: the rank's own
	// compute time in a step (not the group's step time, which is the same for
	// all ranks), or the time of a call divided by its size. Zero: not measured.
	Latency time.Duration
	// Report is true when the sample comes from the endpoint's report and not
	// from a call. Reports and calls are judged apart: reports keep coming while
	// calls fail, and their times are not comparable with those of calls.
	FromReport bool
}
