package balance

import (
	"math"
	"time"

	"github.com/lilackeel/lilackeel/group"
)

// option is a map that could be switched to, and what it takes.
type option struct {
	Decision
	// copying is the time until all ranks have their copies, seconds that until the map
	// is in force.
	copying, seconds float64
	// worth is what the shorter step is worth to callers, as a part of a step.
	worth float64
}

// weigh returns what a map saves and costs.
func (f *Follower) weigh(current, next group.Map, before, mean float64) option {
	after, _ := StepLoad(f.config.Shape, next, f.load, f.cost)
	moves, most := 0, 0
	for _, count := range group.Moves(current, next) {
		moves += count
		most = max(most, count)
	}
	whole := before + f.config.FixedRatio*mean
	o := option{copying: float64(most) * f.config.CopySeconds}
	o.seconds = o.copying + f.config.CoordinationSeconds
	o.Decision = Decision{Map: next, Moves: moves, Saving: (before - after) / whole, Lifetime: f.config.LifetimeSeconds}
	o.worth = f.worth(whole/mean, (after+f.config.FixedRatio*mean)/mean)
	o.Gain = o.worth * f.lasting(o.seconds)
	o.Cost = o.copying*f.config.CopySlowdown + f.stallSeconds() + float64(moves)*f.config.MoveSeconds
	o.Switch = moves > 0 && o.Gain > o.Cost
	return o
}

// worth is what a step of a relative time is worth shortening to another one, as a part of
// its time.
func (f *Follower) worth(before, after float64) float64 {
	if f.unit <= 0 {
		return (before - after) / before
	}
	pass := func(relative float64) time.Duration { return time.Duration(relative * float64(f.unit)) }
	saved := weighted(pass(before), f.pause) - weighted(pass(after), f.pause)
	return saved / pass(before).Seconds()
}

// value is what an option saves until demand changes, in seconds of steps, if the best of
// the further ones follows.
func (f *Follower) value(o option, further []option) float64 {
	var follow float64
	for _, next := range further {
		seconds := o.seconds + next.copying - o.copying + f.config.CoordinationSeconds
		gain := (next.worth-o.worth)*f.lasting(seconds) - (next.Cost - o.Cost) - f.stallSeconds()
		follow = max(follow, gain)
	}
	return o.worth*f.lasting(o.seconds) - o.Cost + follow
}

// lasting is for how long a map that is in force after some seconds is expected to be of
// use. Demand may change at any time, and no other switch begins before this one ends: so
// what comes late is worth less than what is left of the time.
func (f *Follower) lasting(after float64) float64 {
	hold := f.config.LifetimeSeconds
	return hold * math.Exp(-after/hold)
}
