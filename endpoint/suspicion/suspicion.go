// Package suspicion lets the entries of a fleet leave out an endpoint that does not answer, on
// each other's evidence.
//
// An entry sends an endpoint of a large fleet a request in some seconds only. Alone, each of them
// finds out anew that it hangs, at the cost of a request. So an entry publishes a report when an
// endpoint has not answered it. Once two entries have reported an endpoint, all leave it out for a
// moment; then each tries it again at a time of its own, and the first that is answered publishes
// that for all.
//
// What one entry alone reports may be the fault of its own link. What is reported of many endpoints
// of a pool at once is not theirs either: then no endpoint is left out by the reports of others.
//
// Times are durations since an arbitrary start, monotonic. Nothing here blocks.
package suspicion

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// confirmations is how many entries must have reported an endpoint, within confirmWindow.
	confirmations = 2
	confirmWindow = 3 * time.Second
	// probePause is how long an endpoint is left out at least after a confirmed report, and
	// probeTime how long a probe takes until all know its outcome: probes are spread so that
	// about one falls into that time.
	probePause = time.Second
	probeTime  = 750 * time.Millisecond
	// longestSpread bounds the time over which the entries' probes are spread.
	longestSpread = 8 * time.Second
	// memory is how long a report is of use.
	memory = 15 * time.Second
	// maxEndpoints bounds the endpoints that are remembered, maxReporters the reporters of each.
	maxEndpoints = 4096
	maxReporters = 8
	// largestPart is the part of a pool that may be left out by the reports of others.
	largestPart = 0.25
)

// Report is what one entry says of an endpoint.
type Report struct {
	// Endpoint names the endpoint and the run of its process.
	Endpoint string
	// Reporter stands for the entry.
	Reporter uint64
	// At is when it was found out.
	At time.Duration
	// Answers is true if the endpoint has answered, after it was suspected.
	Responsive bool
}

// Tracker is what one entry knows of suspected endpoints. It is safe for concurrent use; its lock
// is a leaf.
type Tracker struct {
	own uint64

	mu sync.Mutex
	// entries is how many entries share their evidence.
	entries   int
	endpoints map[string]*record
	outbox    []Report
	changed   chan struct{}
}

// record is what is known of one endpoint.
type record struct {
	// by holds the last report of each reporter.
	by map[uint64]time.Duration
	// latest is the last report, and until the time before which this entry does not try.
	latest, until time.Duration
	confirmed     bool
}

// NewTracker returns a tracker of the entry that reporter stands for.
func NewTracker(reporter uint64) *Tracker {
	return &Tracker{own: reporter, entries: 1, endpoints: map[string]*record{}, changed: make(chan struct{}, 1)}
}

// SetEntries sets how many entries share their evidence.
func (t *Tracker) SetEntries(entries int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries = max(entries, 1)
}

// Failed notes that an endpoint has not answered this entry.
func (t *Tracker) Failed(now time.Duration, run string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{Endpoint: run, Reporter: t.own, At: now}
	t.merge(now, r)
	t.publish(r)
}

// Answered notes that an endpoint has answered a request of this entry that was sent at a time. It
// costs next to nothing for an endpoint that nobody suspects.
func (t *Tracker) Succeeded(now, sent time.Duration, run string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.endpoints[run]
	if known == nil || sent < known.latest {
		return
	}
	r := Report{Endpoint: run, Reporter: t.own, At: now, Responsive: true}
	t.merge(now, r)
	t.publish(r)
}

// Merge takes in the reports of others. It returns the runs that several entries report since.
func (t *Tracker) Merge(now time.Duration, reports []Report) (confirmed []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		if r.Reporter != t.own && now-r.At <= memory && t.merge(now, r) {
			confirmed = append(confirmed, r.Endpoint)
		}
	}
	return confirmed
}

// merge takes in one report, and reports whether the endpoint is confirmed by it; the lock is held.
func (t *Tracker) merge(now time.Duration, report Report) (confirmed bool) {
	known := t.endpoints[report.Endpoint]
	if report.Responsive {
		if known != nil && report.At >= known.latest {
			delete(t.endpoints, report.Endpoint)
		}
		return false
	}
	if known == nil {
		t.makeRoom(now)
		known = &record{by: map[uint64]time.Duration{}}
		t.endpoints[report.Endpoint] = known
	}
	if len(known.by) < maxReporters || known.by[report.Reporter] > 0 {
		known.by[report.Reporter] = max(known.by[report.Reporter], report.At)
	}
	known.latest = max(known.latest, report.At)
	before := known.confirmed
	known.confirmed = before || known.reporters() >= confirmations
	if known.confirmed {
		known.until = max(known.until, report.At+probePause+rand.N(t.spread()))
	}
	return known.confirmed && !before
}

// reporters is how many entries have reported the endpoint within a window up to the latest report.
func (r *record) reporters() int {
	count := 0
	for _, at := range r.by {
		if r.latest-at <= confirmWindow {
			count++
		}
	}
	return count
}

// spread is the time over which the entries' probes are spread; the lock is held.
func (t *Tracker) spread() time.Duration {
	return min(time.Duration(t.entries)*probeTime, longestSpread)
}

// Out returns the runs of a pool's endpoints to leave out now on the evidence of several entries, in
// no order. Where so many are suspected that the fault can
// hardly be theirs, it returns none and forgets what was reported of them.
func (t *Tracker) Excluded(now time.Duration, inPool func(run string) bool, size int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for run, r := range t.endpoints {
		if r.confirmed && now < r.until && inPool(run) {
			out = append(out, run)
		}
	}
	if float64(len(out)) <= largestPart*float64(size) {
		return out
	}
	for _, run := range out {
		delete(t.endpoints, run)
	}
	return nil
}

// Forget evicts what is no longer of use. It is to be called now and then.
func (t *Tracker) Expire(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
}

func (t *Tracker) forget(now time.Duration) {
	for run, r := range t.endpoints {
		if now-r.latest > memory {
			delete(t.endpoints, run)
		}
	}
}

// makeRoom drops the endpoint whose last report is the oldest if there is no room for one more; the
// lock is held.
func (t *Tracker) makeRoom(now time.Duration) {
	if len(t.endpoints) < maxEndpoints {
		return
	}
	t.forget(now)
	var oldest string
	for run, r := range t.endpoints {
		if oldest == "" || r.latest < t.endpoints[oldest].latest {
			oldest = run
		}
	}
	if len(t.endpoints) >= maxEndpoints {
		delete(t.endpoints, oldest)
	}
}

// maxOutbox bounds the reports that wait to be published.
const maxOutbox = 256

// publish puts a report into the outbox; the lock is held.
func (t *Tracker) publish(r Report) {
	if len(t.outbox) < maxOutbox {
		t.outbox = append(t.outbox, r)
	}
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// Len returns the number of endpoints that several entries suspect.
func (t *Tracker) ConfirmedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	suspected := 0
	for _, r := range t.endpoints {
		if r.confirmed {
			suspected++
		}
	}
	return suspected
}

// Published returns the reports of this entry since the last call.
func (t *Tracker) TakeReports() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	published := t.outbox
	t.outbox = nil
	return published
}

// Changed receives after there are reports to publish. One receiver is notified.
func (t *Tracker) ReportsReady() <-chan struct{} { return t.changed }
