package overload

import (
	"math"
	"slices"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/site"
)

// Demand is the demand of one entry, or of several together, for a pool.
type Demand struct {
	// Levels holds the levels with requests, in ascending order.
	Levels []LevelDemand
	// Capacity is the number of requests per second that the pool can serve; zero if not known.
	Capacity float64
	// Entries is the number of entries that the figures cover.
	Entries int
}

// LevelDemand is the demand of one level in requests per second.
type LevelDemand struct {
	Level int
	// Arrivals counts first attempts and retries alike, Admitted those that got a slot.
	Arrivals, Admitted float64
}

// Add adds the figures of other entries.
func (d *Demand) Add(other *Demand) {
	for _, l := range other.Levels {
		at, found := slices.BinarySearchFunc(d.Levels, l.Level, func(l LevelDemand, level int) int { return l.Level - level })
		if !found {
			d.Levels = slices.Insert(d.Levels, at, l)
			continue
		}
		d.Levels[at].Arrivals += l.Arrivals
		d.Levels[at].Admitted += l.Admitted
	}
	d.Capacity += other.Capacity
	d.Entries += other.Entries
}

// Arrivals returns the arrivals of all levels, in requests per second.
func (d *Demand) Arrivals() float64 {
	sum := 0.0
	for _, l := range d.Levels {
		sum += l.Arrivals
	}
	return sum
}

const (
	// maxRate bounds the rates of a message, in requests per second, so that sums stay finite.
	maxRate = 1e9
	// maxEntries bounds the number of entries of a message.
	maxEntries = 1 << 16
)

// FromProto converts the demand for pools. Invalid rates count as zero, and levels out of range as
// the nearest level.
func FromProto(messages []*agentv1.PoolDemand) map[string]*Demand {
	pools := make(map[string]*Demand, len(messages))
	for _, message := range messages {
		d := &Demand{Capacity: validRate(message.GetCapacity()), Entries: min(max(int(message.GetEntries()), 0), maxEntries)}
		for _, l := range message.GetLevels() {
			level := min(max(int(l.GetLevel()), 0), site.MaxLevel)
			d.Add(&Demand{Levels: []LevelDemand{{Level: level, Arrivals: validRate(l.GetArrivals()), Admitted: validRate(l.GetAdmitted())}}})
		}
		pools[message.GetPool()] = d
	}
	return pools
}

// validRate returns a rate, or zero if it is not a positive number.
func validRate(rate float64) float64 {
	if math.IsNaN(rate) || rate <= 0 {
		return 0
	}
	return min(rate, maxRate)
}

// ToProto is the reverse of FromProto.
func ToProto(pools map[string]*Demand) []*agentv1.PoolDemand {
	messages := make([]*agentv1.PoolDemand, 0, len(pools))
	for pool, d := range pools {
		message := &agentv1.PoolDemand{Pool: pool, Capacity: d.Capacity, Entries: int32(d.Entries)}
		for _, l := range d.Levels {
			message.Levels = append(message.Levels, &agentv1.LevelDemand{Level: int32(l.Level), Arrivals: l.Arrivals, Admitted: l.Admitted})
		}
		messages = append(messages, message)
	}
	return messages
}
