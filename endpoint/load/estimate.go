package load

import (
	"math"
	"time"

	"github.com/lilackeel/lilackeel/endpoint"
)

// Defaults of Config and of values that no report has stated yet.
const (
	// DefaultSurpriseTTL is the default of Config.SurpriseTTL.
	DefaultPredictionErrorTTL = 20 * time.Second
	// defaultPrefillRate is in tokens per second.
	defaultPrefillRate = 8000
	defaultStepTime    = 5 * time.Millisecond
	// defaultAnswerTokens is the length assumed of an answer.
	defaultAnswerTokens = 150
)

// Config sets the tracker up; the zero value takes the defaults.
type Config struct {
	// Peers is the number of entries that send to the same endpoints, this one
	// included. It is kept for the record and not read: the calls of the others
	// since a report are allowed for by the decay of the report.
	Peers int
	// Memory is the time constant by which reports decay: the age at which a
	// report counts for 1/e of its distance from the mean of all alike endpoints;
	// the rest is taken to be the mean. Zero: learned from the reports. Negative:
	// reports are believed whatever their age.
	DecayTime time.Duration
	// SurpriseTTL is the time in which a surprise fades that is not
	// observed again. Negative: surprises are not remembered.
	PredictionErrorTTL time.Duration
}

func (c Config) withDefaults() Config {
	c.Peers = max(c.Peers, 1)
	if c.PredictionErrorTTL == 0 {
		c.PredictionErrorTTL = DefaultPredictionErrorTTL
	}
	return c
}

// estimate computes the estimate of one endpoint.
func (t *Tracker) estimate(now time.Duration, r *record) Estimate {
	e := Estimate{Age: NeverReported}
	if r.reported {
		e.Age = now - r.taken
	}
	f := r.fleet
	e.PrefillRate = known(r.report.PrefillRate, f.rate.or(defaultPrefillRate))
	e.OutputTokens = f.answer.or(defaultAnswerTokens)
	if r.endpoint.Kind == endpoint.Service {
		e.OutputTokens = 1
	}
	e.StepTime, e.StepTimeStdDev = t.stepAt(now, r, e.OutputTokens)
	e.Running = t.runningAt(now, r)
	e.Wait, e.WaitStdDev = t.waitAt(now, r, &e)
	if r.group != nil {
		t.refresh(now, r.group)
		e.GroupRunning, e.GroupPeak = r.group.running, r.group.peak
		e.GroupMean = r.group.running / float64(len(r.group.members))
	} else {
		e.GroupRunning, e.GroupMean, e.GroupPeak = e.Running, e.Running, e.Running
	}
	return e
}

// memory is the memory in force for a value; negative for one without end.
func (t *Tracker) memory(p *persistence) time.Duration {
	if t.config.DecayTime != 0 {
		return t.config.DecayTime
	}
	return p.memory()
}

// trust is the weight of a report of the given age, between 0 and 1.
func (t *Tracker) trust(now time.Duration, r *record, p *persistence) float64 {
	if !r.reported {
		return 0
	}
	memory := t.memory(p)
	if memory < 0 {
		return 1
	}
	return math.Exp(-float64(now-r.taken) / float64(memory))
}

// stepAt is the mean time of a step over the life of a call that starts now,
// and its standard deviation. What sets the step apart from the usual one
// fades on, as it did since the report, but for what has lasted and is no
// noise: a slow endpoint, or a group with a stalled rank.
func (t *Tracker) stepAt(now time.Duration, r *record, tokens float64) (step, spread time.Duration) {
	p := &r.fleet.step
	if r.report.StepTime <= 0 {
		return time.Duration(p.usual.or(float64(defaultStepTime))), 0
	}
	reported := float64(r.report.StepTime)
	trust := t.trust(now, r, p) * remains(time.Duration(tokens*reported), t.memory(p))
	noise := max(faultSpreads*p.spread(), faultShare*p.usual.value)
	lasting := r.step.value - p.usual.value
	lasting -= clip(lasting, noise)
	momentary := clip(reported-p.usual.value, noise)
	expected, deviation := p.expect(p.usual.value+momentary, trust)
	return time.Duration(expected + lasting), time.Duration(deviation)
}

// remains is the mean over a life of what fades with the given memory.
func remains(life, memory time.Duration) float64 {
	if memory < 0 || life <= 0 {
		return 1
	}
	ratio := float64(life) / float64(memory)
	return -math.Expm1(-ratio) / ratio
}

// runningAt is the number of requests at the endpoint, the report aged.
func (t *Tracker) runningAt(now time.Duration, r *record) float64 {
	aged := r.fleet.running.usual.value
	if r.reported {
		aged, _ = r.fleet.running.expect(r.report.calls(), t.trust(now, r, &r.fleet.running))
	}
	return max(aged+float64(len(r.sent)), float64(r.inFlight))
}

// waitAt is the time to compute the prompts ahead and to get a slot, and the
// standard deviation of the former.
func (t *Tracker) waitAt(now time.Duration, r *record, e *Estimate) (wait, spread time.Duration) {
	p := &r.fleet.waiting
	ahead, deviation := p.usual.value, 0.0
	if r.reported {
		ahead, deviation = p.expect(float64(r.report.PrefillTokens), t.trust(now, r, p))
	}
	for _, s := range r.sent {
		ahead += s.left(now, e.PrefillRate)
	}
	wait = perSecond(ahead, e.PrefillRate) + r.slotWait(e) + r.surpriseAt(now, t.config.PredictionErrorTTL)
	return wait, perSecond(deviation, e.PrefillRate)
}

// left is the part of the call's prompt that is not computed yet if the
// endpoint began on it at once.
func (s sentCall) left(now time.Duration, rate float64) float64 {
	return max(0, float64(s.tokens)-rate*(now-s.at).Seconds())
}

// slotWait is the time until one of the slots is free.
func (r *record) slotWait(e *Estimate) time.Duration {
	slots := float64(r.endpoint.Slots)
	if slots <= 0 {
		return 0
	}
	over := e.Running + 1 - slots
	if over <= 0 {
		return 0
	}
	residence := e.OutputTokens * float64(e.StepTime)
	return time.Duration(over * residence / slots)
}

// known returns the value if it is set, otherwise the fallback.
func known(value, fallback float64) float64 {
	if value > 0 {
		return value
	}
	return fallback
}

// perSecond is the time for an amount at a rate per second.
func perSecond(amount, rate float64) time.Duration {
	return time.Duration(amount / rate * float64(time.Second))
}
