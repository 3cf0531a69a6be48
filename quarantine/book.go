package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lilackeel/lilackeel/call"
)

// Book is what one entry knows of requests under which processes have ended. It is safe for
// concurrent use. Its lock is held while that of its board is taken, and no other.
type Book struct {
	// known is the number of requests in the book: most of the time there is none.
	known atomic.Int64

	mu       sync.Mutex
	requests map[call.Fingerprint]*record
	// runs names the requests that were sighted at the end of each run.
	runs map[uint64]map[call.Fingerprint]bool
	// proven are the requests under which enough processes have ended to be to blame for them.
	proven map[call.Fingerprint]*record
	// own holds what this entry has sighted itself.
	own  *Board
	rate rate
}

// record is what is known of one request.
type record struct {
	// ends are the runs that have ended under the request, with their times.
	ends map[uint64]time.Duration
	// cleared are those of which it has been cleared.
	cleared map[uint64]bool
	// until is the end of its hold, zero if it is not held.
	until time.Duration
}

// Change is what a sighting has come to.
type Change struct {
	// Ends is the number of processes that have ended under the request.
	Ends int
	// Hold is for how long the request is held from now on; zero if it is not.
	Hold time.Duration
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{requests: map[call.Fingerprint]*record{}, runs: map[uint64]map[call.Fingerprint]bool{}, proven: map[call.Fingerprint]*record{}, own: NewBoard()}
}

// Own returns what this entry has sighted itself, for others.
func (b *Book) Own() *Board { return b.own }

// Held returns for how long a request is held, zero if it may run.
func (b *Book) Held(now time.Duration, f call.Fingerprint) time.Duration {
	if b.known.Load() == 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.requests[f]; r != nil {
		return max(r.until-now, 0)
	}
	return 0
}

// Ended notes that the process of a named run has ended under a request.
func (b *Book) Ended(now time.Duration, f call.Fingerprint, run string) Change {
	s := Sighting{Request: f, Run: RunOf(run), At: now}
	b.own.Add(s)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.take(now, s)
	r := b.requests[f]
	b.rate.note(now, len(r.ends) == 1)
	return Change{Ends: len(r.ends) - len(r.cleared), Hold: max(r.until-now, 0)}
}

// Whole notes that a request which was sent at a time has run to its end on a named run: what
// ended elsewhere ended for another reason. It returns the number of ends that the request has
// been cleared of.
func (b *Book) Whole(now, sent time.Duration, f call.Fingerprint, run string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rate.note(now, false)
	if len(b.requests) == 0 {
		return 0
	}
	b.lives(now, sent, RunOf(run))
	r := b.requests[f]
	if r == nil {
		return 0
	}
	cleared := 0
	for ended, at := range r.ends {
		if b.clear(now, f, ended, at) {
			cleared++
		}
	}
	return cleared
}

// lives clears all that were sighted at the end of a run that has answered what was sent to it
// later: it had not ended, only taken no connection for a moment. The lock is held.
func (b *Book) lives(now, sent time.Duration, run uint64) {
	for f := range b.runs[run] {
		if at := b.requests[f].ends[run]; at < sent {
			b.clear(now, f, run, at)
		}
	}
}

// clear clears a request of one end, and reports whether it was not cleared before; the lock
// is held.
func (b *Book) clear(now time.Duration, f call.Fingerprint, run uint64, at time.Duration) bool {
	if b.requests[f].cleared[run] {
		return false
	}
	s := Sighting{Request: f, Run: run, At: at, Cleared: true}
	b.own.Add(s)
	b.take(now, s)
	return true
}

// Take takes in what others have sighted. It returns the requests that are held since.
func (b *Book) Take(now time.Duration, sightings []Sighting) []call.Fingerprint {
	if len(sightings) == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var held []call.Fingerprint
	for _, s := range sightings {
		before := b.requests[s.Request].heldAt(now)
		b.take(now, s)
		if !before && b.requests[s.Request].heldAt(now) {
			held = append(held, s.Request)
		}
	}
	return held
}

// Known returns what the book holds of requests under which several processes have ended, for
// a host that may have lost it. At most most sightings are returned.
func (b *Book) Known(most int) []Sighting {
	b.mu.Lock()
	defer b.mu.Unlock()
	var known []Sighting
	for f, r := range b.requests {
		if len(r.ends) < 2 || len(known)+len(r.ends) > most {
			continue
		}
		for run, at := range r.ends {
			known = append(known, Sighting{Request: f, Run: run, At: at, Cleared: r.cleared[run]})
		}
	}
	return known
}

// Len returns the number of requests that are remembered, and of those that are held.
func (b *Book) Len(now time.Duration) (requests, held int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.requests {
		if r.heldAt(now) {
			held++
		}
	}
	return len(b.requests), held
}

// take takes one sighting in; the lock is held.
func (b *Book) take(now time.Duration, s Sighting) {
	r := b.requests[s.Request]
	if r == nil {
		b.makeRoom()
		r = &record{ends: map[uint64]time.Duration{}, cleared: map[uint64]bool{}}
		b.requests[s.Request] = r
		b.known.Store(int64(len(b.requests)))
	}
	if _, seen := r.ends[s.Run]; !seen {
		b.forgetRun(s.Request, r.oldestOf(maxRuns))
		r.ends[s.Run] = s.At
		if b.runs[s.Run] == nil {
			b.runs[s.Run] = map[call.Fingerprint]bool{}
		}
		b.runs[s.Run][s.Request] = true
	}
	if s.Cleared {
		r.cleared[s.Run] = true
	}
	b.judge(now, s.Request)
	b.blame(now, s.Request)
}

// blame lays what a request has ended at its door alone, if it is proven to end processes or
// was; the lock is held.
func (b *Book) blame(now time.Duration, f call.Fingerprint) {
	r, was := b.requests[f], b.proven[f] != nil
	if r.open() >= fewestEnds {
		b.proven[f] = r
	} else {
		delete(b.proven, f)
	}
	if !was && b.proven[f] == nil {
		return
	}
	for run := range r.ends {
		for other := range b.runs[run] {
			if other != f {
				b.judge(now, other)
			}
		}
	}
}

// judge decides anew whether a request is held; the lock is held.
func (b *Book) judge(now time.Duration, f call.Fingerprint) {
	r := b.requests[f]
	ends, newest := 0, time.Duration(0)
	for run, at := range r.ends {
		if r.cleared[run] || b.explained(run, f, r) {
			continue
		}
		ends++
		newest = max(newest, at)
	}
	r.until = 0
	if needed := b.rate.needed(now); ends >= needed {
		r.until = newest + holdFor(ends-needed)
	}
}

// explained reports whether the end of a run is laid at the door of another request: one that
// is proven to end processes, and has ended more than were met by this one.
func (b *Book) explained(run uint64, f call.Fingerprint, r *record) bool {
	own := r.open()
	for other, theirs := range b.proven {
		_, there := theirs.ends[run]
		if other != f && there && !theirs.cleared[run] && theirs.open() > own {
			return true
		}
	}
	return false
}

// holdFor is how long a request is held after so many ends more than were needed.
func holdFor(further int) time.Duration {
	hold := firstHold
	for range further {
		hold = min(hold*holdGrowth, longestHold)
	}
	return hold
}

// heldAt reports whether the request is held; a request that is not known is not.
func (r *record) heldAt(now time.Duration) bool { return r != nil && r.until > now }

// open is the number of ends that the request has not been cleared of.
func (r *record) open() int { return len(r.ends) - len(r.cleared) }

// newest is when a process last ended under the request.
func (r *record) newest() time.Duration {
	var newest time.Duration
	for _, at := range r.ends {
		newest = max(newest, at)
	}
	return newest
}

// oldestOf returns the oldest run if there are as many as most, zero otherwise.
func (r *record) oldestOf(most int) uint64 {
	if len(r.ends) < most {
		return 0
	}
	var oldest uint64
	for run, at := range r.ends {
		if oldest == 0 || at < r.ends[oldest] {
			oldest = run
		}
	}
	return oldest
}
