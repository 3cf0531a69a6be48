package overload

import (
	"slices"
	"sync"
	"time"
)

const (
	// MinInterval is the interval at which an entry publishes its demand, and maxCallsPerSecond the
	// number of calls that one host gets: above 32 entries, the interval grows.
	MinInterval       = 200 * time.Millisecond
	maxCallsPerSecond = 160
	// minRetention is how long the demand of an entry counts; the demand of a frozen entry no longer
	// counts after that.
	minRetention = 1200 * time.Millisecond
	// retentionIntervals is the least retention in publishing intervals. With more than 96 entries
	// the interval is so long that one late message would otherwise exclude an entry.
	retentionIntervals = 2
	// maxPublishers and maxPools bound the memory of a host.
	maxPublishers = 4096
	maxPools      = 256
)

// Interval returns the interval at which each of a number of entries publishes its demand.
func Interval(entries int) time.Duration {
	return max(MinInterval, time.Duration(entries)*time.Second/maxCallsPerSecond)
}

// retention returns how long the demand of each of a number of entries counts.
func retention(entries int) time.Duration {
	return max(minRetention, retentionIntervals*Interval(entries))
}

// Sums adds up, at a host, the demand that entries have published lately. The zero value is ready to
// use; it is safe for concurrent use.
type Sums struct {
	mu sync.Mutex
	// entries holds the latest demand of each entry. Its order makes the rounding of the sums the
	// same in each run of a simulation.
	entries []published
}

// published is the latest demand of an entry.
type published struct {
	entry string
	at    time.Duration
	pools map[string]*Demand
}

// Publish replaces the demand of an entry and returns the sums over all entries, for the pools of
// this entry. The demand must not be modified afterwards.
func (s *Sums) Publish(now time.Duration, entry string, pools map[string]*Demand) map[string]*Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store(now, published{entry, now, pools})
	sums := make(map[string]*Demand, len(pools))
	for pool := range pools {
		sum := &Demand{}
		for _, p := range s.entries {
			if d := p.pools[pool]; d != nil {
				sum.Add(d)
			}
		}
		sums[pool] = sum
	}
	return sums
}

// store replaces the demand of an entry and drops those that are too old.
func (s *Sums) store(now time.Duration, latest published) {
	oldest := now - retention(len(s.entries))
	s.entries = slices.DeleteFunc(s.entries, func(p published) bool { return p.at < oldest })
	if len(latest.pools) > maxPools {
		return
	}
	at := slices.IndexFunc(s.entries, func(p published) bool { return p.entry == latest.entry })
	switch {
	case at >= 0:
		s.entries[at] = latest
	case len(s.entries) < maxPublishers:
		s.entries = append(s.entries, latest)
	}
}
