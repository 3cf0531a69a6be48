package load

import (
	"math"
	"time"

	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/speed"
)

// Defaults of Config and of values that have not been reported yet.
const (
	// DefaultPredictionErrorTTL is the default of Config.PredictionErrorTTL.
	DefaultPredictionErrorTTL = 20 * time.Second
	// defaultPrefillRate is in tokens per second.
	defaultPrefillRate = 8000
	defaultStepTime    = 5 * time.Millisecond
	// defaultOutputTokens is the assumed number of output tokens of a call.
	defaultOutputTokens = 150
)

// Config configures a Tracker. The zero value selects the defaults.
type Config struct {
	// Peers is the number of entries that send to the same endpoints, including
	// this one. It is informational and does not affect estimates: the calls that
	// other entries have sent since a report are accounted for by its decay.
	Peers int
	// DecayTime is the time constant with which reports decay towards the mean of
	// all comparable endpoints: at this age, 1/e of a report's deviation from the
	// mean remains. Zero: learned from the reports. Negative: reports do not decay.
	DecayTime time.Duration
	// PredictionErrorTTL is the time after which a prediction error that is not
	// observed again has decayed to zero. Negative: prediction errors are ignored.
	PredictionErrorTTL time.Duration
	// Speeds gets the slowdowns that are reported; nil if they are not used.
	Speeds *speed.Tracker
}

func (c Config) withDefaults() Config {
	c.Peers = max(c.Peers, 1)
	if c.PredictionErrorTTL == 0 {
		c.PredictionErrorTTL = DefaultPredictionErrorTTL
	}
	return c
}

// estimate computes the estimate for one endpoint.
func (t *Tracker) estimate(now time.Duration, r *record) Estimate {
	e := Estimate{Age: NeverReported}
	if r.reported {
		e.Age = now - r.reportTime
	}
	stats := r.peers
	e.PrefillRate = valueOr(r.report.PrefillRate, stats.rate.or(defaultPrefillRate))
	e.OutputTokens = stats.output.or(defaultOutputTokens)
	if r.endpoint.Kind == endpoint.Service {
		e.OutputTokens = 1
	}
	e.StepTime, e.StepTimeStdDev = t.stepTime(now, r, e.OutputTokens)
	e.Running = t.running(now, r)
	e.Wait, e.WaitStdDev = t.wait(now, r, &e)
	if r.group != nil {
		t.updateGroupSums(now, r.group)
		e.GroupRunning, e.GroupPeak = r.group.running, r.group.peak
		e.GroupMean = r.group.running / float64(len(r.group.members))
	} else {
		e.GroupRunning, e.GroupMean, e.GroupPeak = e.Running, e.Running, e.Running
	}
	return e
}

// decayTime returns the decay time constant for a value; negative if it does not decay.
func (t *Tracker) decayTime(p *decayModel) time.Duration {
	if t.config.DecayTime != 0 {
		return t.config.DecayTime
	}
	return p.decayTime()
}

// reportWeight returns the weight of the last report at its present age, between 0 and 1.
func (t *Tracker) reportWeight(now time.Duration, r *record, p *decayModel) float64 {
	if !r.reported {
		return 0
	}
	decay := t.decayTime(p)
	if decay < 0 {
		return 1
	}
	return math.Exp(-float64(now-r.reportTime) / float64(decay))
}

// stepTime returns the mean step time over the duration of a call that starts
// now, and its standard deviation. The reported deviation from the average keeps
// decaying during the call. A persistent deviation larger than noise does not
// decay: it indicates a slow endpoint, or a group with a stalled rank.
func (t *Tracker) stepTime(now time.Duration, r *record, tokens float64) (step, stdDev time.Duration) {
	p := &r.peers.step
	if r.report.StepTime <= 0 {
		return time.Duration(p.average.or(float64(defaultStepTime))), 0
	}
	reported := float64(r.report.StepTime)
	weight := t.reportWeight(now, r, p) * meanRemaining(time.Duration(tokens*reported), t.decayTime(p))
	noise := max(faultStdDevs*p.stdDev(), faultShare*p.average.value)
	persistent := r.step.value - p.average.value
	persistent -= clip(persistent, noise)
	transient := clip(reported-p.average.value, noise)
	expected, deviation := p.expect(p.average.value+transient, weight)
	return time.Duration(expected + persistent), time.Duration(deviation)
}

// meanRemaining returns the mean over a call's duration of a quantity that starts
// at 1 and decays exponentially with the given time constant.
func meanRemaining(duration, decay time.Duration) float64 {
	if decay < 0 || duration <= 0 {
		return 1
	}
	ratio := float64(duration) / float64(decay)
	return -math.Expm1(-ratio) / ratio
}

// running returns the number of requests at the endpoint, with the report
// discounted by its age.
func (t *Tracker) running(now time.Duration, r *record) float64 {
	aged := r.peers.running.average.value
	if r.reported {
		aged, _ = r.peers.running.expect(r.report.calls(), t.reportWeight(now, r, &r.peers.running))
	}
	return max(aged+float64(len(r.sent)), float64(r.inFlight))
}

// wait returns the time to compute the queued prompts and to obtain a slot, plus
// the prediction error, and the standard deviation of the time for the prompts.
func (t *Tracker) wait(now time.Duration, r *record, e *Estimate) (wait, stdDev time.Duration) {
	p := &r.peers.waiting
	ahead, deviation := p.average.value, 0.0
	if r.reported {
		ahead, deviation = p.expect(float64(r.report.PrefillTokens), t.reportWeight(now, r, p))
	}
	for _, s := range r.sent {
		ahead += s.remainingPrompt(now, e.PrefillRate)
	}
	wait = durationAtRate(ahead, e.PrefillRate) + r.slotWait(e) + r.decayedPredictionError(now, t.config.PredictionErrorTTL)
	return wait, durationAtRate(deviation, e.PrefillRate)
}

// remainingPrompt returns the number of prompt tokens not yet computed, assuming
// that the endpoint started on the call immediately.
func (s sentCall) remainingPrompt(now time.Duration, rate float64) float64 {
	return max(0, float64(s.tokens)-rate*(now-s.at).Seconds())
}

// slotWait returns the expected time until a slot is free.
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

// valueOr returns the value if it is positive, otherwise the fallback.
func valueOr(value, fallback float64) float64 {
	if value > 0 {
		return value
	}
	return fallback
}

// durationAtRate returns the time to process an amount at a rate per second.
func durationAtRate(amount, rate float64) time.Duration {
	return time.Duration(amount / rate * float64(time.Second))
}
