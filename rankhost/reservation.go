package rankhost

import "github.com/lilackeel/lilackeel/group/mapswitch"

const (
	// maxAhead bounds how many steps beyond the engine's current step a switch may be. It thereby
	// bounds which steps an earlier process of the rank, whose reservations the present one does
	// not know, can have asked the engine to hold. Steps take tens of milliseconds.
	maxAhead = 24
	// minFree is how many of the next maxAhead steps must be free before a rank reports that a map
	// is prepared. It covers the coordinator's lead, the steps that a group begins while the
	// coordinator collects answers, and the steps by which one switch may have to be postponed.
	minFree = 12
)

// reservation assigns each step to at most one switch: a step that the engine was asked to hold for
// one promise is never requested for another.
//
// This protects a promise from a late release. An engine may carry out an order long after newer
// ones. If a later switch could choose the same step again, a release that was sent when the step's
// first switch was decided would lift the later switch's hold, and the group could begin the step
// before all of its ranks are armed.
//
// A coordinator that has had no predecessor in the formation does not request a step twice. With
// such a coordinator, a restarted host does not count the steps of earlier processes as reserved:
// avoiding them delayed the next switch by 27 steps, during which a group of 192 ranks ran for 3 s
// with a map for outdated demand.
type reservation struct {
	// step is the highest step that this process was asked for; epoch and token are those of the
	// promise.
	step, epoch, token uint64
	// inherited is the highest step that earlier processes may have been asked for.
	inherited uint64
}

// reservedBefore returns a reservation of all steps that earlier processes may have requested of an
// engine that is at the given step.
func reservedBefore(step uint64) reservation { return reservation{inherited: step + maxAhead} }

// last returns the highest step that is no longer available to a coordinator, where sole is the
// Sole flag of its message.
func (r *reservation) last(sole bool) uint64 {
	if sole {
		return r.step
	}
	return max(r.step, r.inherited)
}

// reserve reserves the step of a requested promise, and reports whether the step is available.
func (r *reservation) reserve(m mapswitch.Message) bool {
	if m.Step == r.step && m.Epoch == r.epoch && m.Token == r.token {
		return true
	}
	if m.Step <= r.last(m.Sole) {
		return false
	}
	r.step, r.epoch, r.token = m.Step, m.Epoch, m.Token
	return true
}

// full reports whether the next free step may be too far ahead of an engine at the given step.
func (r *reservation) full(step uint64, sole bool) bool { return r.last(sole)+minFree > step+maxAhead }
