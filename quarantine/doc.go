// Package quarantine keeps a request from endpoints once the processes that ran it have
// ended under it.
//
// The same request comes again under other ids, from a caller that tries again, at any entry.
// What it did before is known by its fingerprint. When a process ends, each request that it
// was running becomes a suspect: the one that ended it, and those that were in flight with it.
// One crash proves nothing, so that suspects are judged by what else they do:
//
//   - a request that completes anywhere is exonerated of all its crashes so far;
//   - a crash is attributed to the suspect with the most crashes, if that one is held;
//   - where processes end for other reasons, a request is held after more crashes;
//   - a request that also completes is held if far more processes end under it than its part of what
//     is in flight explains, so that one which ends some of its runs is kept out as well.
//
// A request that remains is held: refused without being run, for a time that grows with each
// further end. After that it may run again, so that a mistake ends.
//
// Entries publish their crash reports at some of the hosts whose load reports all entries read
// (Registry), and merge those of others (Tracker.Merge). The control replicas have no part in it.
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
	// memory is how long a crash report counts at least.
	memory = 10 * time.Minute
	// maxRequests bounds the requests that are remembered, maxRuns the runs of each.
	maxRequests = 1024
	maxRuns     = 12
)

// CrashReport says that a run of an endpoint's process has ended under a request.
type CrashReport struct {
	Request call.Fingerprint
	// Run is RunOf the run's name.
	Run uint64
	// At is when the process ended.
	At time.Duration
	// Cleared is true once the request has been exonerated of this crash.
	Cleared bool
}

// RunOf shortens the name of one run of an endpoint's process.
func HashRun(name string) uint64 { return xxhash.Sum64String(name) }
