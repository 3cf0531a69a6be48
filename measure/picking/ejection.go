package picking

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/lilackeel/lilackeel/endpoint/outlier"
)

const (
	ejectionSpan = time.Hour
	// sampleEvery is the time between samples of one endpoint.
	sampleEvery = 250 * time.Millisecond
	// usualLatency is the median latency of a healthy endpoint.
	usualLatency = 10 * time.Millisecond
)

// noise is how latencies vary at healthy endpoints.
type noise struct {
	name string
	// sigma is the standard deviation of the logarithm.
	sigma float64
	// tail is the share of samples that take tailFactor times as long.
	tail, tailFactor float64
	// peak multiplies all endpoints' latencies in the last minute of each
	// peakEvery.
	peak      float64
	peakEvery time.Duration
}

func noises() []noise {
	return []noise{
		{name: "sigma 0.3", sigma: 0.3, peak: 1},
		{name: "sigma 0.8", sigma: 0.8, peak: 1},
		{name: "sigma 0.5, 2% take 20 times as long", sigma: 0.5, tail: 0.02, tailFactor: 20, peak: 1},
		{name: "sigma 0.5, all 4 times slower 1 minute in 10", sigma: 0.5, peak: 4, peakEvery: 10 * time.Minute},
	}
}

// sample draws the latency of a healthy endpoint.
func (n noise) sample(rng *rand.Rand, now time.Duration) time.Duration {
	latency := float64(usualLatency) * math.Exp(n.sigma*rng.NormFloat64())
	if rng.Float64() < n.tail {
		latency *= n.tailFactor
	}
	if n.peakEvery > 0 && now%n.peakEvery > n.peakEvery-time.Minute {
		latency *= n.peak
	}
	return time.Duration(latency)
}

// judge is what the ejection figures are measured of.
type judge interface {
	Observe(now time.Duration, peers, id string, s outlier.Sample)
	Tick(now time.Duration)
	Share(now time.Duration, id string) float64
	Ejections(id string) int
}

// ejectionRule is a way to eject.
type ejectionRule struct {
	name string
	make func() judge
}

func ejectionRules() []ejectionRule {
	detector := func(cfg outlier.Config) func() judge {
		return func() judge { return outlier.New(cfg) }
	}
	return []ejectionRule{
		{"as it stands", detector(outlier.Config{})},
		{"one strike", detector(outlier.Config{ConsecutiveBad: 1})},
		{"2 deviations, no ratio", detector(outlier.Config{StdDevFactor: 2, SlowRatio: 1.01})},
		{"fixed limit of twice the usual", func() judge { return &fixedLimit{limit: 2 * usualLatency, ends: map[string]*fixedState{}} }},
	}
}

// ejectionFigures are the numbers of one rule under one noise.
type ejectionFigures struct {
	// falsePerHour is the ejections of healthy endpoints per endpoint and hour.
	falsePerHour float64
	// mostOut is the largest share of endpoints out of rotation at a time.
	mostOut float64
	// foundIn is the time to eject an endpoint that becomes 3 times slower,
	// fullAfter the time from its recovery to its full share; negative: never.
	foundIn, fullAfter time.Duration
}

// runEjection measures a rule over an hour without a fault, then with one.
func runEjection(n noise, rule ejectionRule, size int, seed uint64) ejectionFigures {
	rng := rand.New(rand.NewPCG(seed, 0xe1))
	ids := make([]string, size)
	for i := range ids {
		ids[i] = fmt.Sprintf("engine-%02d", i)
	}
	var f ejectionFigures
	j := rule.make()
	run := ejectionRun{noise: n, judge: j, rng: rng, ids: ids}
	for now := time.Duration(0); now < ejectionSpan; now += sampleEvery {
		run.step(now, 1)
		f.mostOut = math.Max(f.mostOut, run.out(now))
	}
	for _, id := range ids {
		f.falsePerHour += float64(j.Ejections(id)) / float64(size) / ejectionSpan.Hours()
	}
	f.foundIn, f.fullAfter = run.fault(ejectionSpan)
	return f
}

// ejectionRun drives a judge.
type ejectionRun struct {
	noise noise
	judge judge
	rng   *rand.Rand
	ids   []string
}

// step gives each endpoint a sample, the first one slowed by the factor.
func (r *ejectionRun) step(now time.Duration, factor float64) {
	for i, id := range r.ids {
		latency := r.noise.sample(r.rng, now)
		if i == 0 {
			latency = time.Duration(float64(latency) * factor)
		}
		r.judge.Observe(now, "peers", id, outlier.Sample{Latency: latency})
	}
	if now%time.Second == 0 {
		r.judge.Tick(now)
	}
}

// out is the share of endpoints out of rotation.
func (r *ejectionRun) out(now time.Duration) float64 {
	out := 0
	for _, id := range r.ids {
		if r.judge.Share(now, id) == 0 {
			out++
		}
	}
	return float64(out) / float64(len(r.ids))
}

// fault slows the first endpoint for two minutes.
func (r *ejectionRun) fault(start time.Duration) (foundIn, fullAfter time.Duration) {
	const (
		slowFor = 2 * time.Minute
		watch   = 20 * time.Minute
		factor  = 3
	)
	foundIn, fullAfter = -1, -1
	now := start
	for ; now < start+slowFor; now += sampleEvery {
		r.step(now, factor)
		if foundIn < 0 && r.judge.Share(now, r.ids[0]) == 0 {
			foundIn = now - start
		}
	}
	for ; now < start+slowFor+watch; now += sampleEvery {
		r.step(now, 1)
		if r.judge.Share(now, r.ids[0]) == 1 {
			return foundIn, now - start - slowFor
		}
	}
	return foundIn, fullAfter
}

// fixedLimit is the baseline that knows no peers: an endpoint whose mean over
// eight samples exceeds the limit is out for ten seconds.
type fixedLimit struct {
	limit time.Duration
	ends  map[string]*fixedState
}

type fixedState struct {
	sum       time.Duration
	count     int
	until     time.Duration
	ejections int
}

func (f *fixedLimit) Observe(now time.Duration, _, id string, s outlier.Sample) {
	state := f.ends[id]
	if state == nil {
		state = &fixedState{}
		f.ends[id] = state
	}
	state.sum += s.Latency
	state.count++
	if state.count < outlier.DefaultMinSamples {
		return
	}
	mean := state.sum / time.Duration(state.count)
	state.sum, state.count = 0, 0
	if mean > f.limit && now >= state.until {
		state.until = now + outlier.DefaultBaseEjectionTime
		state.ejections++
	}
}

func (f *fixedLimit) Tick(time.Duration) {}

func (f *fixedLimit) Share(now time.Duration, id string) float64 {
	if state := f.ends[id]; state != nil && now < state.until {
		return 0
	}
	return 1
}

func (f *fixedLimit) Ejections(id string) int {
	if state := f.ends[id]; state != nil {
		return state.ejections
	}
	return 0
}
