package overload

import (
	"math"
	"time"

	"github.com/lilackeel/lilackeel/site"
)

const (
	// readmitAfter is how long a level must have fitted before all of it is admitted again.
	readmitAfter = 500 * time.Millisecond
	// maxStep bounds the time between two updates for which demand is added to the backlog.
	maxStep = 2 * time.Second
	// slotMargin is the factor by which an entry may exceed its share of the slots: the arrivals of
	// one entry vary by a third within a second. minSlots lets an entry begin that had no demand.
	slotMargin = 1.5
	minSlots   = 2
	// minRetryAfter is the shortest Retry-After of a shed request: the time until the next decision.
	minRetryAfter = 200 * time.Millisecond
)

// Controller keeps the decision in force for one pool. It is not safe for concurrent use.
type Controller struct {
	leastShare float64
	demand     Demand
	decision   Decision
	updatedAt  time.Duration
	// shed describes, by level, those that are not admitted whole.
	shed [site.MaxLevel + 1]shedLevel
	// backlog holds the requests that have been shed and are expected to return, by level, until the
	// level is readmitted.
	backlog [site.MaxLevel + 1]float64
}

// shedLevel is a level that is not admitted whole. The zero value is a level that is.
type shedLevel struct {
	shed     bool
	fraction float64
	// fits is true if the level has fitted since fitsSince.
	fits      bool
	fitsSince time.Duration
}

// NewController returns a Controller that admits everything. leastShare is the minimum share of each
// level, as a fraction of the capacity.
func NewController(leastShare float64) *Controller {
	if math.IsNaN(leastShare) {
		leastShare = 0
	}
	return &Controller{leastShare: leastShare, decision: Decision{Threshold: site.MaxLevel}}
}

// Decision returns the decision in force.
func (c *Controller) Decision() *Decision { return &c.decision }

// Demand returns the demand of the last update.
func (c *Controller) Demand() *Demand { return &c.demand }

// Update decides anew for the demand of all entries.
func (c *Controller) Update(now time.Duration, demand *Demand) {
	c.updateBacklog(now)
	c.demand, c.updatedAt = *demand, now
	next := Decide(demand, c.leastShare)
	for _, l := range next.levels {
		if l.fraction < 1 {
			c.shed[l.level] = shedLevel{shed: true, fraction: l.fraction}
		}
	}
	for level := range c.shed {
		s := &c.shed[level]
		if !s.shed || next.Fraction(level) < 1 {
			continue
		}
		if !s.fits {
			s.fits, s.fitsSince = true, now
		}
		if now-s.fitsSince >= readmitAfter {
			*s = shedLevel{}
			c.backlog[level] = 0 // what returns from now on counts as arrivals
		}
	}
	c.decision = c.combine(&next)
}

// combine returns the decision with the fractions of the levels that are not readmitted yet.
func (c *Controller) combine(next *Decision) Decision {
	combined := Decision{Threshold: next.Threshold}
	for level := range c.shed {
		s := &c.shed[level]
		if !s.shed {
			continue
		}
		combined.Shedding = true
		combined.levels = append(combined.levels, levelFraction{level, s.fraction})
		if s.fits {
			combined.Threshold = min(combined.Threshold, level)
		}
	}
	return combined
}

// updateBacklog adds the requests that were shed since the last update, or removes those that had
// room, the highest priority first.
func (c *Controller) updateBacklog(now time.Duration) {
	elapsed := min(max(now-c.updatedAt, 0), maxStep).Seconds()
	room := usableShare * c.demand.Capacity * elapsed
	for _, l := range c.demand.Levels {
		fraction := c.decision.Fraction(l.Level)
		room -= l.Arrivals * fraction * elapsed
		c.backlog[l.Level] += l.Arrivals * (1 - fraction) * elapsed
	}
	for level := range c.backlog {
		drained := min(max(room, 0), c.backlog[level])
		c.backlog[level] -= drained
		room -= drained
	}
}

// Slots returns how many slots an entry may use, given its own demand and the mean time that its
// requests hold a slot: its share of the admitted demand of all entries. limited is false if nothing
// is shed.
func (c *Controller) Slots(own *Demand, holdTime time.Duration) (slots int, limited bool) {
	all := c.decision.admitted(&c.demand)
	if !c.decision.Shedding || all <= 0 {
		return 0, false
	}
	share := min(c.decision.admitted(own)/all, 1)
	return int(slotMargin*share*c.demand.Capacity*holdTime.Seconds()) + minSlots, true
}

// RetryAfter returns when a shed request of a level may be sent again: once the requests of its
// level and of higher-priority ones that were shed have been served at the rate that the arrivals of
// higher-priority levels leave, but at most maxDelay. spread is a random number from 0 to 1 by which
// retries differ.
func (c *Controller) RetryAfter(level int, spread float64, maxDelay time.Duration) time.Duration {
	level = min(max(level, 0), site.MaxLevel)
	ahead := 1.0
	for _, count := range c.backlog[:level+1] {
		ahead += count
	}
	rate := usableShare * c.demand.Capacity
	for _, l := range c.demand.Levels {
		if l.Level < level {
			rate -= l.Arrivals
		}
	}
	rate = max(rate, c.leastShare*c.demand.Capacity)
	if rate*maxDelay.Seconds() <= ahead {
		return maxDelay
	}
	wait := max(time.Duration(ahead/rate*float64(time.Second)), minRetryAfter)
	return min(wait+time.Duration(spread/2*float64(wait)), maxDelay)
}
