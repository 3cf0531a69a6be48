package mapswitch

import "time"

// Options are the timing parameters of a Coordinator. Zero values select the defaults.
type Options struct {
	// StepTime is the shortest time that a step takes.
	StepTime time.Duration
	// PromiseWindow is how long all ranks have to promise. When it has elapsed,
	// the switch is aborted.
	PromiseWindow time.Duration
	// DecisionTime bounds the time from the end of the window until the
	// decision has reached the ranks: a synced commit and one message.
	DecisionTime time.Duration
	// PrepareTimeout is how long all ranks have to load the weights.
	PrepareTimeout time.Duration
	// ResendInterval is the time after which unanswered messages are repeated.
	ResendInterval time.Duration
	// MaxStepRaises is how often the coordinator chooses a higher step because a rank
	// had already passed the chosen one.
	MaxStepRaises int
	// LeadSteps, if not zero, overrides the computed Lead.
	LeadSteps uint64
	// MaxLead, if not zero, enables a learned lead and is its upper bound. The lead is
	// learned from the time between the first promise request and the acknowledgement
	// of the decision by all ranks. It is for ranks that run on until they reach the
	// step and acknowledge a decision only once they are ready to apply it.
	MaxLead uint64
}

// Defaults of Options.
const (
	DefaultStepTime       = 4500 * time.Microsecond
	DefaultPromiseWindow  = 60 * time.Millisecond
	DefaultDecisionTime   = 40 * time.Millisecond
	DefaultPrepareTimeout = 2 * time.Minute
	DefaultResendInterval = 20 * time.Millisecond
	DefaultMaxStepRaises  = 3
)

func (o Options) withDefaults() Options {
	setDuration(&o.StepTime, DefaultStepTime)
	setDuration(&o.PromiseWindow, DefaultPromiseWindow)
	setDuration(&o.DecisionTime, DefaultDecisionTime)
	setDuration(&o.PrepareTimeout, DefaultPrepareTimeout)
	setDuration(&o.ResendInterval, DefaultResendInterval)
	if o.MaxStepRaises == 0 {
		o.MaxStepRaises = DefaultMaxStepRaises
	}
	return o
}

func setDuration(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}

const (
	// initialAgreementTime is the estimated agreement time before the first switch: some
	// round trips and a synced commit.
	initialAgreementTime = 80 * time.Millisecond
	// increaseWeight and decreaseWeight are the weights of a switch that took longer
	// than expected and of one that did not: with them the lead covers about five in six
	// switches.
	increaseWeight = 0.5
	decreaseWeight = 0.1
)

// leadEstimator learns the agreement time: how long it takes from the first promise
// request until every rank is ready to switch.
type leadEstimator struct {
	expectedTime time.Duration
	startedAt    time.Duration
	running      bool
	// plannedTime is the time that the last lead allowed for, overrun how much longer the
	// ranks took; overrunReady is true until the overrun has been taken.
	plannedTime, overrun time.Duration
	overrunReady         bool
	// heldAt is when a rank first reported that it waits at the step; zero if none has.
	heldAt time.Duration
	// sampleStep is the step of the furthest rank at sampleTime, from which the time of a
	// step is measured.
	sampleStep uint64
	sampleTime time.Duration
}

// start records that promises are requested while the furthest rank is at the given step.
func (a *leadEstimator) start(now time.Duration, step uint64) {
	a.startedAt, a.running, a.heldAt = now, true, 0
	a.sampleStep, a.sampleTime = step, now
}

// recordHold records that a rank waits at the step.
func (a *leadEstimator) recordHold(now time.Duration) { a.heldAt = now }

// promiseLimit returns how long ranks have to promise after they were asked at the given
// time: until maxHoldTime after the step is expected to be reached, or after a rank
// reported that it was reached. The report is needed because the step time is known only
// from the past: a host that was killed while it was asked for its promise made a group
// of 192 ranks wait for half a second.
func (a *leadEstimator) promiseLimit(since time.Duration) time.Duration {
	limit := a.plannedTime + maxHoldTime
	if a.heldAt > 0 {
		limit = min(limit, a.heldAt+maxHoldTime-since)
	}
	return limit
}

// maxStepTimeFactor bounds the measured time of a step, as a multiple of the shortest step
// time. A group without work runs no steps, and that idle time must not count as step time.
const maxStepTimeFactor = 3

// stepTime returns the mean time of a step since promises were last requested.
func (a *leadEstimator) stepTime(now time.Duration, step uint64, shortest time.Duration) time.Duration {
	if a.sampleStep == 0 || step <= a.sampleStep {
		return shortest
	}
	mean := (now - a.sampleTime) / time.Duration(step-a.sampleStep)
	return min(max(mean, shortest), maxStepTimeFactor*shortest)
}

// finish records that every rank is ready.
func (a *leadEstimator) finish(now time.Duration) {
	if !a.running {
		return
	}
	a.running = false
	took := now - a.startedAt
	a.overrun, a.overrunReady = max(took-a.plannedTime, 0), true
	weight := decreaseWeight
	if took > a.expectedTime {
		weight = increaseWeight
	}
	a.expectedTime += time.Duration(weight * float64(took-a.expectedTime))
}

// fail records that the ranks did not agree in time.
func (a *leadEstimator) fail() {
	a.running = false
	a.overrun, a.overrunReady = maxHoldTime, true
	a.expectedTime += a.expectedTime / 2
}

// maxHoldTime is how long a group with a learned lead may wait at the step for promises.
const maxHoldTime = 60 * time.Millisecond

// lead returns the smallest distance in steps that lets ranks agree before they reach the
// step. If it is too short, the group waits at the step and all its streams are late; each
// additional step keeps the old map in force longer and delays the next switch.
func (a *leadEstimator) lead(now time.Duration, step uint64, o Options) uint64 {
	stepTime := a.stepTime(now, step, o.StepTime)
	steps := uint64((a.expectedTime+stepTime-1)/stepTime) + 1
	return min(max(steps, minLead), o.MaxLead)
}

// minLead keeps the chosen step beyond the one that ranks are at and beyond the
// next one, which they may enter while the request is in transit.
const minLead = 2

// Lead returns the distance in steps between the furthest rank and the step chosen.
//
// It covers the promise window and the time to decide, so that either outcome
// is known before the first rank reaches the step: a commit, or an abort
// because a rank could not be reached. A lead that is too short makes the whole
// group hold; one that is too long only keeps the old map in force a little longer,
// so the lead is chosen rather too long.
func (o Options) Lead() uint64 {
	o = o.withDefaults()
	if o.LeadSteps != 0 {
		return o.LeadSteps
	}
	total := o.PromiseWindow + o.DecisionTime
	return uint64((total+o.StepTime-1)/o.StepTime) + minLead
}
