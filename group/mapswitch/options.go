package mapswitch

import "time"

// Options are the times a Coordinator reckons with. Zero values take defaults.
type Options struct {
	// StepTime is the shortest time a step takes.
	StepTime time.Duration
	// PromiseWindow is how long all ranks have to promise. When it has passed
	// the switch is aborted.
	PromiseWindow time.Duration
	// DecisionTime bounds the time from the end of the window until the
	// decision has reached the ranks: a synced commit and one message.
	DecisionTime time.Duration
	// PrepareTimeout is how long all ranks have to load the weights.
	PrepareTimeout time.Duration
	// ResendInterval is the time after which unanswered messages are repeated.
	ResendInterval time.Duration
	// MaxRaises is how often a higher step is chosen when a rank had passed it.
	MaxStepRaises int
	// LeadSteps, if not zero, takes the place of the computed Lead.
	LeadSteps uint64
	// MaxLead, if not zero, makes the lead one that is learned from how long it takes
	// from the first promise asked for until all ranks have acknowledged the decision,
	// and bounds it. It is for ranks that run on until their step comes and acknowledge
	// a decision only once they are ready for it.
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
	// firstAgreement is how long ranks are taken to need to agree before the first
	// switch: some round trips and a synced commit.
	firstAgreement = 80 * time.Millisecond
	// slowerAgreement and fasterAgreement are the weights of a switch that took longer
	// than expected and of one that did not: the lead covers about five in six.
	slowerAgreement = 0.5
	fasterAgreement = 0.1
)

// agreement learns how long it takes from the first promise that is asked for until
// every rank is ready to switch.
type agreement struct {
	expected time.Duration
	began    time.Duration
	open     bool
	// planned is the time that the last lead left, overrun how much longer ranks needed;
	// fresh is true until that has been taken.
	planned, overrun time.Duration
	fresh            bool
	// held is when a rank first reported to wait at the step; zero if none has been.
	held time.Duration
	// step is where the furthest rank was at a time, by which the time of a step is
	// measured.
	step uint64
	at   time.Duration
}

// begin notes that promises are asked for while the furthest rank is at a step.
func (a *agreement) begin(now time.Duration, step uint64) {
	a.began, a.open, a.held = now, true, 0
	a.step, a.at = step, now
}

// reached notes that a rank waits at the step.
func (a *agreement) reached(now time.Duration) { a.held = now }

// limit is how long ranks have to promise, since they were asked: until some time after
// the step is expected, or after it was heard to have come. The time of a step is known
// from the past only, and a host that was killed while it was asked made a group of 192
// ranks wait for half a second.
func (a *agreement) limit(since time.Duration) time.Duration {
	limit := a.planned + holdSlack
	if a.held > 0 {
		limit = min(limit, a.held+holdSlack-since)
	}
	return limit
}

// longestStep bounds the measured time of a step, in shortest ones: a group without work
// makes none, which says nothing about the next.
const longestStep = 3

// stepTime is the mean time of a step since promises were last asked for.
func (a *agreement) stepTime(now time.Duration, step uint64, shortest time.Duration) time.Duration {
	if a.step == 0 || step <= a.step {
		return shortest
	}
	mean := (now - a.at) / time.Duration(step-a.step)
	return min(max(mean, shortest), longestStep*shortest)
}

// end notes that every rank is ready.
func (a *agreement) end(now time.Duration) {
	if !a.open {
		return
	}
	a.open = false
	took := now - a.began
	a.overrun, a.fresh = max(took-a.planned, 0), true
	weight := fasterAgreement
	if took > a.expected {
		weight = slowerAgreement
	}
	a.expected += time.Duration(weight * float64(took-a.expected))
}

// failed notes that ranks did not agree in time.
func (a *agreement) failed() {
	a.open = false
	a.overrun, a.fresh = holdSlack, true
	a.expected += a.expected / 2
}

// holdSlack is how long a group with a learned lead may wait at the step for promises.
const holdSlack = 60 * time.Millisecond

// lead is the distance in steps that lets ranks agree before they reach the step, and
// no longer: a group that waits at the step makes all its streams late, while each step
// later keeps the old map in force and puts the next switch off.
func (a *agreement) lead(now time.Duration, step uint64, o Options) uint64 {
	stepTime := a.stepTime(now, step, o.StepTime)
	steps := uint64((a.expected+stepTime-1)/stepTime) + 1
	return min(max(steps, minLead), o.MaxLead)
}

// minLead keeps the chosen step beyond the one that ranks are at and beyond the
// next, which they may enter while the request travels.
const minLead = 2

// Lead is the distance in steps between the furthest rank and the step chosen.
//
// It covers the promise window and the time to decide, so that both outcomes
// are known before the first rank reaches the step: a commit, and also an abort
// because a rank could not be reached. A lead that is too short makes the whole
// group hold; one that is too long only keeps the old map a little longer, so
// the choice errs on the long side.
func (o Options) Lead() uint64 {
	o = o.withDefaults()
	if o.LeadSteps != 0 {
		return o.LeadSteps
	}
	total := o.PromiseWindow + o.DecisionTime
	return uint64((total+o.StepTime-1)/o.StepTime) + minLead
}
