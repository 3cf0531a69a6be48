package overload

import (
	"slices"

	"github.com/lilackeel/lilackeel/site"
)

const (
	// usableShare is the fraction of the capacity up to which levels are admitted. The rest absorbs
	// the errors of the rates, so that admitted requests do not queue up.
	usableShare = 0.95
	// maxLeastShares bounds the minimum shares of all levels together, as a fraction of the capacity.
	maxLeastShares = 0.5
	// DefaultLeastShare is the default minimum share of each level, as a fraction of the capacity.
	DefaultLeastShare = 0.02
)

// Decision states which fraction of each level is admitted. The zero value admits all.
type Decision struct {
	// Shedding is true if not all requests are admitted.
	Shedding bool
	// Threshold is the lowest-priority level that is admitted beyond its minimum share, at least in
	// part; site.MaxLevel if all levels are.
	Threshold int
	// levels holds the levels with their fractions, in ascending order.
	levels []levelFraction
}

type levelFraction struct {
	level    int
	fraction float64
}

// Decide returns the decision for the demand of all entries. Levels are admitted in order while
// they fit into the capacity, after a minimum share of it for each level that asks. Without a known
// capacity, everything is admitted.
func Decide(d *Demand, leastShare float64) Decision {
	decision := Decision{Threshold: site.MaxLevel}
	room := usableShare * d.Capacity
	if d.Capacity <= 0 || d.Arrivals() <= room {
		return decision
	}
	least := min(max(leastShare, 0), maxLeastShares/float64(len(d.Levels))) * d.Capacity // there is at least one level
	for _, l := range d.Levels {
		room -= min(l.Arrivals, least)
	}
	decision.Shedding = true
	decision.Threshold = d.Levels[0].Level
	for _, l := range d.Levels {
		minimum := min(l.Arrivals, least)
		extra := min(l.Arrivals-minimum, max(room, 0))
		room -= extra
		fraction := 1.0 // exactly, where rounding would shed a part in a million
		if minimum+extra < l.Arrivals*(1-1e-9) {
			fraction = (minimum + extra) / l.Arrivals
		}
		if extra > 0 {
			decision.Threshold = l.Level
		}
		decision.levels = append(decision.levels, levelFraction{l.Level, fraction})
	}
	return decision
}

// Fraction returns the fraction of a level that is admitted. A level without demand is admitted
// whole: the next sums contain it.
func (d *Decision) Fraction(level int) float64 {
	at, found := slices.BinarySearchFunc(d.levels, level, func(l levelFraction, level int) int { return l.level - level })
	if !found {
		return 1
	}
	return d.levels[at].fraction
}

// Admits reports whether a request is admitted. Equal fractions of the requests of each workspace
// are. The hash must differ between the attempts of a request: retries count as arrivals, and if all
// retries of shed requests were shed again, capacity would be left unused (in the simulation of the
// tests, 0.22 instead of 0.28 of the lowest priority were served in its burst).
func (d *Decision) Admits(level int, hash uint64) bool {
	return !d.Shedding || draw(hash) < d.Fraction(level)
}

// draw maps a hash to a number from 0 to 1. It mixes the hash first with the finalizer of SplitMix64,
// since the hash may have chosen the pool of the request already.
func draw(hash uint64) float64 {
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	hash ^= hash >> 31
	return float64(hash>>11) / (1 << 53)
}
