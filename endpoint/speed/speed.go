// Package speed tracks how much slower than nominal each endpoint works, as seen by one entry.
//
// The slowdown of an endpoint is the factor by which its work takes longer than nominal: 1 is
// nominal, 2 takes twice as long. Hosts report the slowdowns that their engines state. Endpoints that
// report none, such as plain services, can be judged by their response times.
//
// Times are monotonic durations since an arbitrary start. A Tracker is safe for concurrent use; no
// other lock is acquired while its lock is held.
package speed

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Nominal is the slowdown of an endpoint that works at its nominal speed.
	Nominal = 1.0
	// reportTTL is how long a report is valid. Hosts report several times per second, so that
	// after this time the report stream has been lost.
	reportTTL = 2 * time.Second
	// minSlowdown and maxSlowdown bound the slowdowns. Values beyond them are more likely a fault
	// of the report than the speed of an endpoint.
	minSlowdown, maxSlowdown = 0.25, 64
	// minNominal and maxNominal bound the slowdowns that count as nominal.
	minNominal, maxNominal = 0.9, 1.1
	// tolerance is the relative change of the value in use below which a report does not change
	// it, so that small variations have no effect.
	tolerance = 0.1
)

// Tracker tracks the slowdowns of all endpoints. A nil Tracker knows of none.
type Tracker struct {
	mu sync.RWMutex
	// reports contains the endpoints that are not nominal.
	reports map[string]report
	// reportedAt is when an endpoint last reported a valid slowdown.
	reportedAt map[string]time.Duration
	// pools contains the response times of endpoints, by pool.
	pools map[string]*responsePool
	// latest is the highest time, in nanoseconds, at which a report in reports was taken; minTime
	// if there has been none. It makes the check for any slow endpoint cheap.
	latest atomic.Int64
}

// report is the slowdown of an endpoint that is not nominal.
type report struct {
	slowdown float64
	at       time.Duration
}

// minTime is earlier than any report by more than reportTTL.
const minTime = math.MinInt64 / 2

// New returns an empty tracker.
func New() *Tracker {
	t := &Tracker{reports: map[string]report{}, reportedAt: map[string]time.Duration{}, pools: map[string]*responsePool{}}
	t.latest.Store(minTime)
	return t
}

// Report records the slowdown that was reported at now for an endpoint. Zero, a negative value, an
// infinite one and NaN mean that none is known.
func (t *Tracker) Report(now time.Duration, id string, slowdown float64) {
	if t == nil {
		return
	}
	slowdown, valid := Normalize(slowdown)
	if !valid && !t.Any(now) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if valid {
		t.reportedAt[id] = now
	} else {
		if _, reports := t.reportedAt[id]; !reports {
			return // the endpoint is judged by its response times, if at all
		}
		delete(t.reportedAt, id)
	}
	t.set(now, id, slowdown)
}

// set records a normalized slowdown. The caller must hold the lock.
func (t *Tracker) set(now time.Duration, id string, slowdown float64) {
	if slowdown == Nominal {
		delete(t.reports, id)
		return
	}
	if current, known := t.reports[id]; known && !current.expired(now) && math.Abs(slowdown-current.slowdown) < tolerance*current.slowdown {
		slowdown = current.slowdown
	}
	t.reports[id] = report{slowdown: slowdown, at: now}
	t.latest.Store(max(t.latest.Load(), int64(now)))
}

// Slowdown returns the slowdown of an endpoint at now; Nominal if none is known.
func (t *Tracker) Slowdown(now time.Duration, id string) float64 {
	if !t.Any(now) {
		return Nominal
	}
	t.mu.RLock()
	r, known := t.reports[id]
	t.mu.RUnlock()
	if !known || r.expired(now) {
		return Nominal
	}
	return r.slowdown
}

// Any reports whether some endpoint may not be nominal at now. If not, all are.
func (t *Tracker) Any(now time.Duration) bool {
	return t != nil && int64(now)-t.latest.Load() <= int64(reportTTL)
}

// CountSlow returns how many endpoints are slower than nominal at now, of those for which include
// returns true.
func (t *Tracker) CountSlow(now time.Duration, include func(id string) bool) (count int) {
	if !t.Any(now) {
		return 0
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	for id, r := range t.reports {
		if r.slowdown > Nominal && !r.expired(now) && include(id) {
			count++
		}
	}
	return count
}

// Forget discards the state of an endpoint.
func (t *Tracker) Forget(id string) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.reports, id)
	delete(t.reportedAt, id)
	for _, p := range t.pools {
		delete(p.endpoints, id)
	}
}

func (r report) expired(now time.Duration) bool { return now-r.at > reportTTL }

// Normalize returns the slowdown to use for a reported value: Nominal for values close to it and for
// those that no engine can have, and the nearest bound for those out of bounds. valid is false if no
// engine can have the value.
func Normalize(reported float64) (slowdown float64, valid bool) {
	if !(reported > 0) || math.IsInf(reported, 1) {
		return Nominal, false
	}
	if reported >= minNominal && reported <= maxNominal {
		return Nominal, true
	}
	return min(max(reported, minSlowdown), maxSlowdown), true
}
