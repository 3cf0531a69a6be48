package rankhost

import "github.com/lilackeel/lilackeel/group/mapswitch"

const (
	// reach is how far beyond the engine's step a switch may be, in steps. It
	// bounds what an earlier process of the rank can have asked the engine to hold,
	// which a later process does not know. Steps take tens of milliseconds.
	reach = 24
	// room is how much of reach has to be free before a rank says that it is
	// prepared: the coordinator's lead, the steps that a group begins while it
	// collects answers, and the raises of the step that one switch may need.
	room = 12
)

// reservation keeps each step to one switch: a step that was asked of the engine
// for one promise is never asked of it for another.
//
// It protects a promise from a late release. An engine may carry an order out
// long after newer ones. A release that was due when the step's switch had been
// decided would lift the hold of a later switch, if that had chosen the same step
// again, and the group could begin the step before all of its ranks are armed.
//
// A coordinator that has had no predecessor in the formation does not ask for a step twice.
// With it a host that starts again keeps no steps clear: they put the next switch off by
// 27 steps, in which a group of 192 ranks ran for 3 s on the map of another demand.
type reservation struct {
	// step is the highest that this process was asked for; epoch and token are those
	// of the promise.
	step, epoch, token uint64
	// inherited is the highest that processes before this one may have been asked for.
	inherited uint64
}

// reservedBefore returns what processes before this one may have asked of an
// engine that is at the given step.
func reservedBefore(step uint64) reservation { return reservation{inherited: step + reach} }

// highest is the highest step that the coordinator of a message cannot have any more.
func (r *reservation) highest(sole bool) uint64 {
	if sole {
		return r.step
	}
	return max(r.step, r.inherited)
}

// take reserves the step of a promise that is asked for, or reports that it
// cannot be had any more.
func (r *reservation) take(m mapswitch.Message) bool {
	if m.Step == r.step && m.Epoch == r.epoch && m.Token == r.token {
		return true
	}
	if m.Step <= r.highest(m.Sole) {
		return false
	}
	r.step, r.epoch, r.token = m.Step, m.Epoch, m.Token
	return true
}

// full reports whether the next step that is free may be out of reach of an
// engine at the given step.
func (r *reservation) full(step uint64, sole bool) bool { return r.highest(sole)+room > step+reach }
