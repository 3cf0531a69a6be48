// Package suspicion shares failure reports among the entries of a fleet, so that all of them exclude
// an endpoint that does not answer.
//
// In a large fleet, an entry sends a given endpoint a request only every few seconds. Without shared
// reports, each entry would detect an unresponsive endpoint on its own, at the cost of a failed
// request. Therefore an entry publishes a report when an endpoint has not answered it. Once two
// entries have reported an endpoint, all entries exclude it for a short time. Each then probes it
// with a request at a random time, and the first entry to get an answer publishes the recovery.
//
// A report by a single entry may be due to that entry's own link. Reports about many endpoints of a
// pool at once are unlikely to be the fault of the endpoints either: in that case no endpoint is
// excluded because of other entries' reports.
//
// Times are monotonic durations since an arbitrary start. No method blocks.
package suspicion

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minReporters is how many entries must report an endpoint within confirmWindow to confirm it
	// as suspected.
	minReporters  = 2
	confirmWindow = 3 * time.Second
	// minExclusion is the minimum time for which an endpoint is excluded after a confirmed report.
	// probeInterval is how long it takes from a probe until all entries know its outcome: probes
	// are spread so that about one is sent per interval.
	minExclusion  = time.Second
	probeInterval = 750 * time.Millisecond
	// maxProbeSpread is the maximum time over which the entries' probes are spread.
	maxProbeSpread = 8 * time.Second
	// reportTTL is how long a report is valid.
	reportTTL = 15 * time.Second
	// maxEndpoints is the maximum number of endpoints tracked, maxReporters that of reporters stored
	// for each.
	maxEndpoints = 4096
	maxReporters = 8
	// maxExcludedShare is the largest share of a pool that may be excluded because of other entries'
	// reports.
	maxExcludedShare = 0.25
)

// Report is one entry's observation of an endpoint.
type Report struct {
	// Endpoint is the endpoint's run id: its id and incarnation.
	Endpoint string
	// Reporter identifies the entry.
	Reporter uint64
	// At is the time of the observation.
	At time.Duration
	// Responsive is true if the endpoint has answered after it was suspected; false if it has failed
	// to answer.
	Responsive bool
}

// Tracker tracks the suspected endpoints for one entry. It is safe for concurrent use; no other lock
// is acquired while its lock is held.
type Tracker struct {
	reporter uint64

	mu sync.Mutex
	// rng spreads the times of probes; it differs between reporters.
	rng *rand.Rand
	// entries is the number of entries that share reports.
	entries   int
	endpoints map[string]*record
	outbox    []Report
	ready     chan struct{}
}

// record is the state of one suspected endpoint.
type record struct {
	// reportedAt is the time of the last report of each reporter.
	reportedAt map[uint64]time.Duration
	// lastReport is the time of the latest report by any reporter. Before excludedUntil this entry
	// does not select the endpoint.
	lastReport, excludedUntil time.Duration
	confirmed                 bool
}

// NewTracker returns a tracker for the entry identified by reporter.
func NewTracker(reporter uint64) *Tracker {
	return &Tracker{reporter: reporter, rng: rand.New(rand.NewPCG(reporter, 0)), entries: 1, endpoints: map[string]*record{}, ready: make(chan struct{}, 1)}
}

// SetEntries sets the number of entries that share reports.
func (t *Tracker) SetEntries(entries int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries = max(entries, 1)
}

// Failed records that an endpoint has not answered a request of this entry.
func (t *Tracker) Failed(now time.Duration, run string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{Endpoint: run, Reporter: t.reporter, At: now}
	t.merge(now, r)
	t.enqueue(r)
}

// Succeeded records that an endpoint has answered a request that this entry sent at the given time.
// The cost is negligible for an endpoint that is not suspected.
func (t *Tracker) Succeeded(now, sent time.Duration, run string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.endpoints[run]
	if rec == nil || sent < rec.lastReport {
		return
	}
	r := Report{Endpoint: run, Reporter: t.reporter, At: now, Responsive: true}
	t.merge(now, r)
	t.enqueue(r)
}

// Merge processes reports of other entries. It returns the run ids of the endpoints that these reports
// newly confirm as suspected.
func (t *Tracker) Merge(now time.Duration, reports []Report) (confirmed []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		if r.Reporter != t.reporter && now-r.At <= reportTTL && t.merge(now, r) {
			confirmed = append(confirmed, r.Endpoint)
		}
	}
	return confirmed
}

// merge processes one report, and reports whether it newly confirms the endpoint as suspected. The
// caller must hold the lock.
func (t *Tracker) merge(now time.Duration, report Report) (confirmed bool) {
	rec := t.endpoints[report.Endpoint]
	if report.Responsive {
		if rec != nil && report.At >= rec.lastReport {
			delete(t.endpoints, report.Endpoint)
		}
		return false
	}
	if rec == nil {
		t.evictIfFull(now)
		rec = &record{reportedAt: map[uint64]time.Duration{}}
		t.endpoints[report.Endpoint] = rec
	}
	if len(rec.reportedAt) < maxReporters || rec.reportedAt[report.Reporter] > 0 {
		rec.reportedAt[report.Reporter] = max(rec.reportedAt[report.Reporter], report.At)
	}
	rec.lastReport = max(rec.lastReport, report.At)
	wasConfirmed := rec.confirmed
	rec.confirmed = wasConfirmed || rec.recentReporters() >= minReporters
	if rec.confirmed {
		rec.excludedUntil = max(rec.excludedUntil, report.At+minExclusion+time.Duration(t.rng.Int64N(int64(t.probeSpread()))))
	}
	return rec.confirmed && !wasConfirmed
}

// recentReporters returns how many entries have reported the endpoint within confirmWindow before the
// latest report.
func (r *record) recentReporters() int {
	count := 0
	for _, at := range r.reportedAt {
		if r.lastReport-at <= confirmWindow {
			count++
		}
	}
	return count
}

// probeSpread returns the time over which the entries' probes are spread. The caller must hold the lock.
func (t *Tracker) probeSpread() time.Duration {
	return min(time.Duration(t.entries)*probeInterval, maxProbeSpread)
}

// Excluded returns the run ids of a pool's endpoints to exclude at now because several entries have
// reported them, in no particular order. size is the number of endpoints in the pool. If more than
// maxExcludedShare of the pool is suspected, the cause is unlikely to be the endpoints: Excluded then
// returns none and discards the reports about them.
func (t *Tracker) Excluded(now time.Duration, inPool func(run string) bool, size int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var excluded []string
	for run, r := range t.endpoints {
		if r.confirmed && now < r.excludedUntil && inPool(run) {
			excluded = append(excluded, run)
		}
	}
	if float64(len(excluded)) <= maxExcludedShare*float64(size) {
		return excluded
	}
	for _, run := range excluded {
		delete(t.endpoints, run)
	}
	return nil
}

// Expire removes endpoints whose last report has expired. It should be called periodically.
func (t *Tracker) Expire(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
}

func (t *Tracker) expire(now time.Duration) {
	for run, r := range t.endpoints {
		if now-r.lastReport > reportTTL {
			delete(t.endpoints, run)
		}
	}
}

// evictIfFull removes the endpoint with the oldest last report if the tracker is full. The caller must
// hold the lock.
func (t *Tracker) evictIfFull(now time.Duration) {
	if len(t.endpoints) < maxEndpoints {
		return
	}
	t.expire(now)
	var oldest string
	for run, r := range t.endpoints {
		if oldest == "" || r.lastReport < t.endpoints[oldest].lastReport {
			oldest = run
		}
	}
	if len(t.endpoints) >= maxEndpoints {
		delete(t.endpoints, oldest)
	}
}

// maxOutbox is the maximum number of reports waiting to be published.
const maxOutbox = 256

// enqueue adds a report to the outbox. The caller must hold the lock.
func (t *Tracker) enqueue(r Report) {
	if len(t.outbox) < maxOutbox {
		t.outbox = append(t.outbox, r)
	}
	select {
	case t.ready <- struct{}{}:
	default:
	}
}

// ConfirmedCount returns the number of endpoints confirmed as suspected by several entries.
func (t *Tracker) ConfirmedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, r := range t.endpoints {
		if r.confirmed {
			count++
		}
	}
	return count
}

// TakeReports returns the reports of this entry since the last call, and clears the outbox.
func (t *Tracker) TakeReports() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	reports := t.outbox
	t.outbox = nil
	return reports
}

// ReportsReady returns a channel that receives a value when there are reports to publish. Only one
// receiver is notified.
func (t *Tracker) ReportsReady() <-chan struct{} { return t.ready }
