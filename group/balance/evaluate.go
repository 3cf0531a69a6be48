package balance

import (
	"math"
	"time"

	"github.com/lilackeel/lilackeel/group"
)

// option is a map that could be switched to, with its costs and savings.
type option struct {
	Decision
	// copySeconds is the time until all ranks have their copies, totalSeconds the time
	// until the map is in force.
	copySeconds, totalSeconds float64
	// stepBenefit is the value to callers of the shorter step, as a fraction of a step.
	stepBenefit float64
}

// evaluate returns what a map saves and costs. before and mean are the results of StepLoad
// for the current map.
func (f *Follower) evaluate(current, next group.Map, before, mean float64) option {
	after, _ := StepLoad(f.config.Shape, next, f.load, f.cost)
	moves, most := 0, 0
	for _, count := range group.Moves(current, next) {
		moves += count
		most = max(most, count)
	}
	stepBefore := before + f.fixedRatio()*mean
	o := option{copySeconds: float64(most) * f.config.CopySeconds}
	o.totalSeconds = o.copySeconds + f.config.CoordinationSeconds
	o.Decision = Decision{Map: next, Moves: moves, Saving: (before - after) / stepBefore, Lifetime: f.config.LifetimeSeconds}
	o.stepBenefit = f.stepBenefit(stepBefore/mean, (after+f.fixedRatio()*mean)/mean)
	o.Gain = o.stepBenefit * f.remainingLifetime(o.totalSeconds)
	o.Cost = o.copySeconds*f.config.CopySlowdown + f.stallSeconds() + float64(moves)*f.config.MoveSeconds
	o.Switch = moves > 0 && o.Gain > o.Cost
	return o
}

// stepBenefit returns the value of shortening a step from one relative time to another, as
// a fraction of the time of the longer step.
func (f *Follower) stepBenefit(before, after float64) float64 {
	if f.unitTime <= 0 {
		return (before - after) / before
	}
	stepTime := func(relative float64) time.Duration { return time.Duration(relative * float64(f.unitTime)) }
	saved := weightedStepTime(stepTime(before), f.maxGap) - weightedStepTime(stepTime(after), f.maxGap)
	return saved / stepTime(before).Seconds()
}

// netValue returns what an option saves until demand changes, net of its cost, in seconds
// of step time, if the best of the further options is switched to next.
func (f *Follower) netValue(o option, further []option) float64 {
	var followUp float64
	for _, next := range further {
		seconds := o.totalSeconds + next.copySeconds - o.copySeconds + f.config.CoordinationSeconds
		gain := (next.stepBenefit-o.stepBenefit)*f.remainingLifetime(seconds) - (next.Cost - o.Cost) - f.stallSeconds()
		followUp = max(followUp, gain)
	}
	return o.stepBenefit*f.remainingLifetime(o.totalSeconds) - o.Cost + followUp
}

// remainingLifetime returns for how long a map that comes into force after some seconds is
// expected to be of use. Demand may change at any time, and no other switch begins before
// this one ends, so a late map is worth less than the remainder of the expected lifetime.
func (f *Follower) remainingLifetime(after float64) float64 {
	lifetime := f.config.LifetimeSeconds
	return lifetime * math.Exp(-after/lifetime)
}
