package overload

import (
	"maps"
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
	// pools holds the latest demand of each entry for each pool. The order of the entries makes the
	// rounding of the sums the same in each run of a simulation.
	pools map[string][]published
}

// published is the latest demand of an entry for a pool.
type published struct {
	entry  string
	at     time.Duration
	demand *Demand
}

// Publish replaces the demand of an entry for some pools and returns the sums over all entries for
// these pools. The demand must not be modified afterwards.
func (s *Sums) Publish(now time.Duration, entry string, pools map[string]*Demand) map[string]*Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	sums := make(map[string]*Demand, len(pools))
	for pool, demand := range pools {
		s.store(now, pool, published{entry, now, demand})
		sum := &Demand{}
		for _, p := range s.pools[pool] {
			sum.Add(p.demand)
		}
		sums[pool] = sum
	}
	return sums
}

// store replaces the demand of an entry for a pool and drops what is too old.
func (s *Sums) store(now time.Duration, pool string, latest published) {
	if s.pools == nil {
		s.pools = map[string][]published{}
	}
	entries, known := s.pools[pool]
	if !known && len(s.pools) >= maxPools {
		maps.DeleteFunc(s.pools, func(_ string, entries []published) bool { return allStale(now, entries) })
		if len(s.pools) >= maxPools {
			return
		}
	}
	entries = withoutStale(now, entries)
	at := slices.IndexFunc(entries, func(p published) bool { return p.entry == latest.entry })
	switch {
	case at >= 0:
		entries[at] = latest
	case len(entries) < maxPublishers:
		entries = append(entries, latest)
	}
	s.pools[pool] = entries
}

// withoutStale removes the demand that no longer counts.
func withoutStale(now time.Duration, entries []published) []published {
	oldest := now - retention(len(entries))
	return slices.DeleteFunc(entries, func(p published) bool { return p.at < oldest })
}

// allStale reports whether no demand counts any longer.
func allStale(now time.Duration, entries []published) bool {
	oldest := now - retention(len(entries))
	return !slices.ContainsFunc(entries, func(p published) bool { return p.at >= oldest })
}
