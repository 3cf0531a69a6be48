package picking

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/lilackeel/lilackeel/endpoint/outlier"
)

const (
	// faultFreeTime is the time without a fault over which false ejections are
	// counted.
	faultFreeTime = time.Hour
	// sampleInterval is the time between samples of one endpoint.
	sampleInterval = 250 * time.Millisecond
	// medianLatency is the median latency of a healthy endpoint.
	medianLatency = 10 * time.Millisecond
)

// latencyNoise describes how the latencies of healthy endpoints vary.
type latencyNoise struct {
	name string
	// sigma is the standard deviation of the logarithm of the latency.
	sigma float64
	// tailShare is the share of samples that take tailFactor times as long.
	tailShare, tailFactor float64
	// peakFactor multiplies the latencies of all endpoints in the last minute of
	// each peakInterval.
	peakFactor   float64
	peakInterval time.Duration
}

func latencyNoises() []latencyNoise {
	return []latencyNoise{
		{name: "sigma 0.3", sigma: 0.3, peakFactor: 1},
		{name: "sigma 0.8", sigma: 0.8, peakFactor: 1},
		{name: "sigma 0.5, 2% take 20 times as long", sigma: 0.5, tailShare: 0.02, tailFactor: 20, peakFactor: 1},
		{name: "sigma 0.5, all 4 times slower 1 minute in 10", sigma: 0.5, peakFactor: 4, peakInterval: 10 * time.Minute},
	}
}

// sample returns a random latency of a healthy endpoint.
func (n latencyNoise) sample(rng *rand.Rand, now time.Duration) time.Duration {
	latency := float64(medianLatency) * math.Exp(n.sigma*rng.NormFloat64())
	if rng.Float64() < n.tailShare {
		latency *= n.tailFactor
	}
	if n.peakInterval > 0 && now%n.peakInterval > n.peakInterval-time.Minute {
		latency *= n.peakFactor
	}
	return time.Duration(latency)
}

// detector is the part of outlier.Detector that is measured. The baseline fixedLimit
// implements it, too.
type detector interface {
	Observe(now time.Duration, peers, id string, s outlier.Sample)
	Tick(now time.Duration)
	Share(now time.Duration, id string) float64
	Ejections(id string) int
}

// ejectionRule is a named configuration of an ejection detector.
type ejectionRule struct {
	name        string
	newDetector func() detector
}

func ejectionRules() []ejectionRule {
	outlierDetector := func(cfg outlier.Config) func() detector {
		return func() detector { return outlier.New(cfg) }
	}
	return []ejectionRule{
		{"as it stands", outlierDetector(outlier.Config{})},
		{"one strike", outlierDetector(outlier.Config{ConsecutiveBad: 1})},
		{"2 deviations, no ratio", outlierDetector(outlier.Config{StdDevFactor: 2, SlowRatio: 1.01})},
		{"fixed limit of twice the usual", func() detector { return &fixedLimit{limit: 2 * medianLatency, states: map[string]*limitState{}} }},
	}
}

// ejectionResult is the result of one rule under one noise.
type ejectionResult struct {
	// falseEjectionsPerHour is the number of ejections of healthy endpoints per
	// endpoint and hour.
	falseEjectionsPerHour float64
	// maxEjectedShare is the largest share of endpoints that were ejected at the same
	// time.
	maxEjectedShare float64
	// timeToEject is the time from when an endpoint becomes 3 times slower to its
	// ejection, timeToFullShare the time from its recovery to its full share of the
	// traffic. Negative: it did not happen.
	timeToEject, timeToFullShare time.Duration
}

// runEjection measures a rule over an hour without a fault, then with a slow
// endpoint.
func runEjection(noise latencyNoise, rule ejectionRule, size int, seed uint64) ejectionResult {
	rng := rand.New(rand.NewPCG(seed, 0xe1))
	ids := make([]string, size)
	for i := range ids {
		ids[i] = fmt.Sprintf("engine-%02d", i)
	}
	var result ejectionResult
	d := rule.newDetector()
	run := ejectionRun{noise: noise, detector: d, rng: rng, ids: ids}
	for now := time.Duration(0); now < faultFreeTime; now += sampleInterval {
		run.step(now, 1)
		result.maxEjectedShare = math.Max(result.maxEjectedShare, run.ejectedShare(now))
	}
	for _, id := range ids {
		result.falseEjectionsPerHour += float64(d.Ejections(id)) / float64(size) / faultFreeTime.Hours()
	}
	result.timeToEject, result.timeToFullShare = run.measureSlowdown(faultFreeTime)
	return result
}

// ejectionRun feeds samples to a detector.
type ejectionRun struct {
	noise    latencyNoise
	detector detector
	rng      *rand.Rand
	ids      []string
}

// step observes one sample of each endpoint. The latency of the first endpoint is
// multiplied by factor.
func (r *ejectionRun) step(now time.Duration, factor float64) {
	for i, id := range r.ids {
		latency := r.noise.sample(r.rng, now)
		if i == 0 {
			latency = time.Duration(float64(latency) * factor)
		}
		r.detector.Observe(now, "peers", id, outlier.Sample{Latency: latency})
	}
	if now%time.Second == 0 {
		r.detector.Tick(now)
	}
}

// ejectedShare returns the share of endpoints that are ejected.
func (r *ejectionRun) ejectedShare(now time.Duration) float64 {
	ejected := 0
	for _, id := range r.ids {
		if r.detector.Share(now, id) == 0 {
			ejected++
		}
	}
	return float64(ejected) / float64(len(r.ids))
}

// measureSlowdown slows the first endpoint down for two minutes and returns the
// detector's reaction times; see ejectionResult.
func (r *ejectionRun) measureSlowdown(start time.Duration) (timeToEject, timeToFullShare time.Duration) {
	const (
		slowPeriod     = 2 * time.Minute
		recoveryPeriod = 20 * time.Minute
		slowdown       = 3
	)
	timeToEject, timeToFullShare = -1, -1
	now := start
	for ; now < start+slowPeriod; now += sampleInterval {
		r.step(now, slowdown)
		if timeToEject < 0 && r.detector.Share(now, r.ids[0]) == 0 {
			timeToEject = now - start
		}
	}
	for ; now < start+slowPeriod+recoveryPeriod; now += sampleInterval {
		r.step(now, 1)
		if r.detector.Share(now, r.ids[0]) == 1 {
			return timeToEject, now - start - slowPeriod
		}
	}
	return timeToEject, timeToFullShare
}

// fixedLimit is a baseline that does not compare an endpoint with its peers: an
// endpoint whose mean latency over eight samples exceeds the limit is ejected for ten
// seconds.
type fixedLimit struct {
	limit  time.Duration
	states map[string]*limitState
}

// limitState is the state of one endpoint.
type limitState struct {
	sum          time.Duration
	count        int
	ejectedUntil time.Duration
	ejections    int
}

func (f *fixedLimit) Observe(now time.Duration, _, id string, s outlier.Sample) {
	state := f.states[id]
	if state == nil {
		state = &limitState{}
		f.states[id] = state
	}
	state.sum += s.Latency
	state.count++
	if state.count < outlier.DefaultMinSamples {
		return
	}
	mean := state.sum / time.Duration(state.count)
	state.sum, state.count = 0, 0
	if mean > f.limit && now >= state.ejectedUntil {
		state.ejectedUntil = now + outlier.DefaultBaseEjectionTime
		state.ejections++
	}
}

func (f *fixedLimit) Tick(time.Duration) {}

func (f *fixedLimit) Share(now time.Duration, id string) float64 {
	if state := f.states[id]; state != nil && now < state.ejectedUntil {
		return 0
	}
	return 1
}

func (f *fixedLimit) Ejections(id string) int {
	if state := f.states[id]; state != nil {
		return state.ejections
	}
	return 0
}
