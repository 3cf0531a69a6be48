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

// admitted returns the admitted part of a demand in requests per second.
func (d *Decision) admitted(demand *Demand) float64 {
	sum := 0.0
	for _, l := range demand.Levels {
		sum += l.Arrivals * d.Fraction(l.Level)
	}
	return sum
}
