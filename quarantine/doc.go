// Package quarantine refuses requests that repeatedly crash the endpoint processes that run them, and
// requests with a part of a prompt that does.
//
// Callers retry such a request under a new request id and through any entry, so it is recognised by
// its fingerprint. When a process crashes, every request that it was running becomes a suspect: the
// one that caused the crash and those that were in flight with it. Since one crash proves nothing,
// the rest of a suspect's record decides:
//
//   - a request that completes on any endpoint is cleared of all its crashes so far;
//   - a crash is attributed to the suspect with the most crashes, once that one has enough of them;
//   - where processes also crash for other reasons, more crashes are required before a hold;
//   - a request that sometimes completes is still held if far more processes crash while running it
//     than its share of the requests in flight explains, so that a request that crashes only some of
//     its runs is held as well.
//
// A held request is refused without being run. The hold grows with each further crash and then
// expires, so that a request held by mistake can run again.
//
// Requests that are not equal may still have the cause in common, a part of their prompts, which
// PartTracker looks for. A crash counts against each part of each request that the process was
// running; what acquits a part is that requests with it run:
//
//   - a request that runs clears its parts of all their crashes so far, and gives them credit;
//   - a part with credit is not blamed for a crash, which halves the credit: the parts that sound
//     requests share outlast a series of crashes, and a part that becomes harmful does not;
//   - processes that crash at about the same time are one event, since the engines of a lock-step
//     group and the processes of a rack end together whatever they run;
//   - a crash is attributed to the part with the most crashes on the process, and parts that have
//     met the same crashes are held together only: a request must have all of them to be refused.
//
// A held part is released by the first request with it that runs. After each hold, each entry lets one
// request at a time test it.
//
// Entries publish their crash reports to some of the hosts whose load reports all entries read
// (Registry) and merge the reports of other entries (Tracker.Merge). The control replicas are not
// involved.
//
// All times are monotonic durations since an arbitrary start. Nothing here blocks.
package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilackeel/lilackeel/call"
)

const (
	// minCrashes is the number of crashes before a request is held. Two may be a coincidence:
	// requests that are interrupted by the same crash are retried together.
	minCrashes = 3
	// maxRequiredCrashes caps the number of crashes required where processes crash for other
	// reasons.
	maxRequiredCrashes = 5
	// maxFalseHoldChance is the accepted probability that a harmless request meets the required
	// number of crashes.
	maxFalseHoldChance = 1e-4
	// initialHold is the first hold of a request. Each further crash multiplies the hold by
	// holdMultiplier, up to maxHold.
	initialHold    = time.Minute
	holdMultiplier = 4
	maxHold        = time.Hour
	// reportRetention is the minimum time for which a crash report is kept.
	reportRetention = 10 * time.Minute
	// maxRequests bounds the tracked requests, maxRuns the crashed runs kept for each.
	maxRequests = 1024
	maxRuns     = 12
)

// CrashReport records that one run of an endpoint's process ended while running a request.
type CrashReport struct {
	Request call.Fingerprint
	// Run is the hash of the run's name, as returned by HashRun.
	Run uint64
	// At is when the process crashed.
	At time.Duration
	// Cleared is true once the request is known not to have caused this crash.
	Cleared bool
}

// HashRun returns the hash of the name of one run of an endpoint's process.
func HashRun(name string) uint64 { return xxhash.Sum64String(name) }
