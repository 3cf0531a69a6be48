// Package outlier ejects endpoints that are slow or failing compared with their
// peers from rotation, and returns them with a slow start.
//
// An endpoint is compared with the other endpoints of its peer set, never with an
// absolute limit, so that a load peak that slows all of them ejects none. The
// share of a peer set that may be ejected at any time is limited.
//
// Times are monotonic, expressed as time.Duration since an arbitrary start. All
// methods are safe for concurrent use; no other lock is acquired while the
// detector's lock is held.
package outlier

import "time"

// Sample is one observation of an endpoint.
type Sample struct {
	// Failed is true if the call failed and the endpoint was the cause.
	Failed bool
	// Latency is a time that is comparable among peers: the rank's own compute
	// time in a step (not the group's step time, which is the same for all
	// ranks), or the time of a call divided by its size. Zero: not measured.
	Latency time.Duration
	// FromReport is true if the sample is taken from a load report of the
	// endpoint, false if from a call. The two are evaluated separately: reports
	// keep arriving while calls fail, and their latencies are not comparable.
	FromReport bool
}
