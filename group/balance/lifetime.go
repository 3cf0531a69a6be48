package balance

import "time"

// DemandLifetime estimates how long demand stays the same between two jumps. It is not safe
// for concurrent use.
type DemandLifetime struct {
	// since is when the current demand was first seen, mean the mean time between two
	// jumps, zero if fewer than two have been seen.
	since    time.Duration
	mean     time.Duration
	jumpSeen bool
}

const (
	// initialLifetime is how long demand is expected to stay the same before the time
	// between two jumps is known: long enough that a switch to an even map pays off.
	initialLifetime = 2 * time.Second
	// lifetimeWeight is the weight of the newest time between two jumps.
	lifetimeWeight = 0.3
	// minLifetime and maxLifetime bound the estimate.
	minLifetime = time.Second
	maxLifetime = time.Minute
)

// RecordJump records that demand has changed.
func (d *DemandLifetime) RecordJump(now time.Duration) {
	if d.jumpSeen {
		took := now - d.since
		if d.mean == 0 {
			d.mean = took
		}
		d.mean += time.Duration(lifetimeWeight * float64(took-d.mean))
	}
	d.since, d.jumpSeen = now, true
}

// Remaining returns how much longer the current demand is expected to stay the same: the
// remainder of the mean time between jumps, but at least half of that mean, because jumps
// are not periodic. If demand has lasted for more than twice the mean, the jumps may have
// ended, and it is expected to last half as long again. Before two jumps have been seen
// the estimate is initialLifetime however long demand has lasted: a longer one made
// switches that remove a hundredth of the skew look worth their copies.
func (d *DemandLifetime) Remaining(now time.Duration) time.Duration {
	if d.mean == 0 {
		return initialLifetime
	}
	elapsed := now - d.since
	remaining := max(d.mean-elapsed, d.mean/2)
	if elapsed > 2*d.mean {
		remaining = max(remaining, elapsed/2)
	}
	return min(max(remaining, minLifetime), maxLifetime)
}
