package overload

import (
	"maps"
	"slices"
	"time"

	"github.com/lilackeel/lilackeel/site"
)

const (
	// window is the time over which an entry counts its requests.
	window = time.Second
	// buckets is the number of intervals that a window is divided into.
	buckets = 20
	// bucketTime is the length of one interval.
	bucketTime = window / buckets
)

// Counter counts the requests of one pool at one entry over the last second. A request counts the
// more the younger it is, so that the rates reach three quarters of a jump within half a second. The
// zero value is ready to use; it is not safe for concurrent use.
type Counter struct {
	levels map[int]*levelCounts
	// bucket is the number of the current interval.
	bucket int64
}

// levelCounts holds the counts of one level by interval.
type levelCounts struct {
	arrivals, admitted [buckets]int32
}

// Arrive counts an arrival, and Admit a request that got a slot.
func (c *Counter) Arrive(now time.Duration, level int) {
	l, at := c.at(now, level)
	l.arrivals[at]++
}

// Admit counts a request that got a slot.
func (c *Counter) Admit(now time.Duration, level int) {
	l, at := c.at(now, level)
	l.admitted[at]++
}

func (c *Counter) at(now time.Duration, level int) (*levelCounts, int64) {
	c.advance(now)
	level = min(max(level, 0), site.MaxLevel)
	l := c.levels[level]
	if l == nil {
		if c.levels == nil {
			c.levels = map[int]*levelCounts{}
		}
		l = &levelCounts{}
		c.levels[level] = l
	}
	return l, c.bucket % buckets
}

// advance begins the interval of now, and clears the counts of those that have left the window.
func (c *Counter) advance(now time.Duration) {
	current := int64(now / bucketTime)
	for range min(max(current-c.bucket, 0), buckets) {
		c.bucket++
		for _, l := range c.levels {
			l.arrivals[c.bucket%buckets], l.admitted[c.bucket%buckets] = 0, 0
		}
	}
	c.bucket = max(c.bucket, current)
}

// Demand returns the rates of the last second, with the capacity in requests per second.
func (c *Counter) Demand(now time.Duration, capacity float64) *Demand {
	c.advance(now)
	d := &Demand{Capacity: capacity, Entries: 1}
	for _, level := range slices.Sorted(maps.Keys(c.levels)) {
		l := c.levels[level]
		rates := LevelDemand{Level: level, Arrivals: c.rate(&l.arrivals), Admitted: c.rate(&l.admitted)}
		if rates.Arrivals == 0 && rates.Admitted == 0 {
			delete(c.levels, level)
			continue
		}
		d.Levels = append(d.Levels, rates)
	}
	return d
}

// rate returns the weighted mean rate of the complete intervals of the window; the weights fall
// linearly with the age. The current interval is left out, since its length varies.
func (c *Counter) rate(counts *[buckets]int32) float64 {
	sum, weights := 0.0, 0.0
	for age := int64(1); age < buckets && age <= c.bucket; age++ {
		weight := float64(buckets - age)
		sum += weight * float64(counts[(c.bucket-age)%buckets])
		weights += weight
	}
	return sum / max(weights, 1) / bucketTime.Seconds()
}
