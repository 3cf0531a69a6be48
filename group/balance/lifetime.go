package balance

import "time"

// DemandLifetime estimates how long demand stays the same between two jumps. It is not safe
// for concurrent use.
type DemandLifetime struct {
	// Regular makes use of the regularity of jumps that are frequent and nearly periodic.
	Regular bool
	// since is when the current demand was first seen, mean the mean time between two
	// jumps, zero if fewer than two have been seen.
	since    time.Duration
	mean     time.Duration
	jumpSeen bool
	// deviation is the mean absolute deviation of the times between jumps from mean, previous
	// the times of the two jumps before since, the latest first.
	deviation time.Duration
	previous  [2]time.Duration
	jumps     int
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
	// frequentJumpsWindow is the time within which three jumps make jumps frequent, and
	// maxDeviationShare the deviation, relative to the mean, up to which they are regular.
	frequentJumpsWindow = 10 * time.Second
	maxDeviationShare   = 0.25
	// detectionDelay is how late a jump is seen: counts are 80 ms old and cover 150 ms, and
	// what falls into a switch is acted on after it. The map loses its use at the jump itself.
	detectionDelay = 300 * time.Millisecond
	// minRegularLifetime is the least that is expected of regular demand; it must be positive.
	minRegularLifetime = 100 * time.Millisecond
)

// RecordJump records that demand has changed.
func (d *DemandLifetime) RecordJump(now time.Duration) {
	if d.jumpSeen {
		took := now - d.since
		if d.mean == 0 {
			d.mean = took
		}
		d.deviation += time.Duration(lifetimeWeight * float64((took-d.mean).Abs()-d.deviation))
		d.mean += time.Duration(lifetimeWeight * float64(took-d.mean))
	}
	d.previous = [2]time.Duration{d.since, d.previous[0]}
	d.since, d.jumpSeen = now, true
	d.jumps++
}

// Remaining returns how much longer the current demand is expected to stay the same: the
// remainder of the mean time between jumps, but at least half of that mean, because jumps
// are not periodic. If demand has lasted for more than twice the mean, the jumps may have
// ended, and it is expected to last half as long again. Before two jumps have been seen
// the estimate is initialLifetime however long demand has lasted: a longer one made
// switches that remove a hundredth of the skew look worth their copies.
//
// With Regular, if jumps are frequent and nearly periodic, it returns the time until the next
// jump is likely, however short, instead of half the mean. A jump that is overdue by twice the
// usual deviation ends this.
func (d *DemandLifetime) Remaining(now time.Duration) time.Duration {
	if d.mean == 0 {
		return initialLifetime
	}
	elapsed := now - d.since
	if d.regular(now) && elapsed < d.mean+2*d.deviation+detectionDelay {
		return max(d.mean-d.deviation-detectionDelay-elapsed, minRegularLifetime)
	}
	remaining := max(d.mean-elapsed, d.mean/2)
	if elapsed > 2*d.mean {
		remaining = max(remaining, elapsed/2)
	}
	return min(max(remaining, minLifetime), maxLifetime)
}

// regular reports whether the latest jumps were frequent and nearly periodic.
func (d *DemandLifetime) regular(now time.Duration) bool {
	return d.Regular && d.jumps > len(d.previous) && now-d.previous[1] <= frequentJumpsWindow &&
		float64(d.deviation) <= maxDeviationShare*float64(d.mean)
}
