// Package quarantine keeps a request from endpoints once the processes that ran it have
// ended under it.
//
// The same request comes again under other ids, from a caller that tries again, at any entry.
// What it did before is known by its fingerprint. When a process ends, each request that it
// was running is sighted there: the one that ended it, and those that were merely there. One
// sighting proves nothing, so the requests are told apart by what they do elsewhere:
//
//   - a request that has run to its end anywhere is cleared of all that was sighted before;
//   - an end is laid at the door of the one that has ended more processes, if that one is held;
//   - where processes end for other reasons, more ends are asked for before a request is held.
//
// A request that remains is held: refused without being run, for a time that grows with each
// further end. After that it may run again, so that a mistake ends.
//
// Entries tell what they sight to some of the hosts whose reports all entries read (Board), and
// take in what those say (Book.Take). Nothing of it passes the control replicas.
//
// All times are durations since an arbitrary start, monotonic. Nothing here blocks.
package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilackeel/lilackeel/call"
)

const (
	// fewestEnds is how many processes must have ended under a request before it is held:
	// two may fall together, since what is cut with another request is tried again with it.
	fewestEnds = 3
	// mostEnds bounds what is asked for where processes end for other reasons.
	mostEnds = 5
	// tolerated is the chance that a request which does nothing meets as many ends.
	tolerated = 1e-4
	// firstHold is how long a request is held; each further end makes it holdGrowth times as
	// long, up to longestHold.
	firstHold   = time.Minute
	holdGrowth  = 4
	longestHold = time.Hour
	// memory is how long a sighting counts at least.
	memory = 10 * time.Minute
	// maxRequests bounds the requests that are remembered, maxRuns the runs of each.
	maxRequests = 1024
	maxRuns     = 12
)

// Sighting says that a run of an endpoint's process has ended under a request.
type Sighting struct {
	Request call.Fingerprint
	// Run is RunOf the run's name.
	Run uint64
	// At is when the process ended.
	At time.Duration
	// Cleared is true once the request has run to its end elsewhere.
	Cleared bool
}

// RunOf shortens the name of one run of an endpoint's process.
func RunOf(name string) uint64 { return xxhash.Sum64String(name) }
