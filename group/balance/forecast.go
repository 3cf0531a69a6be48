package balance

import "math"

const (
	// longLag is the lag, in observations, of the long differences that distinguish
	// drift from noise.
	longLag = 12
	// varianceWindow is the number of observations over which variances are averaged.
	varianceWindow = 60
)

// Forecaster filters the load of the experts of one layer.
//
// It is a scalar Kalman filter of the local level model: the logarithm of each
// load is a random walk observed with noise. Between observations the level moves
// with variance q, and each observation has noise of variance r. Both are estimated
// from the mean squares of the differences over one and over longLag observations,
// pooled over the experts by their load, because the heavily loaded ones determine
// which rank is busiest. Without drift q goes to zero and the filter averages; when
// the experts' popularity changes, q grows and the filter follows.
type Forecaster struct {
	level     []float64
	history   [longLag][]float64
	seen      int
	short     float64 // mean square of differences over 1 observation
	long      float64 // mean square of differences over longLag observations
	variance  float64 // of level
	lastValue bool
}

// NewForecaster returns the forecaster of a layer with the given number of
// experts. If lastValue is set, the forecast is the last observation, which is
// only useful for comparison.
func NewForecaster(experts int, lastValue bool) *Forecaster {
	f := &Forecaster{level: make([]float64, experts), lastValue: lastValue}
	for i := range f.history {
		f.history[i] = make([]float64, experts)
	}
	return f
}

// Observe records the load of every expert over the last interval.
func (f *Forecaster) Observe(load []float64) {
	f.updateVariances(load)
	gain := f.nextGain()
	slot := f.history[f.seen%longLag]
	for e, tokens := range load {
		value := logarithm(tokens)
		slot[e] = value
		f.level[e] += gain * (value - f.level[e])
	}
	f.seen++
}

func (f *Forecaster) updateVariances(load []float64) {
	if f.seen == 0 {
		return
	}
	before := f.history[(f.seen-1)%longLag]
	oldest := f.history[f.seen%longLag]
	var short, long, total float64
	for e, tokens := range load {
		value := logarithm(tokens)
		short += tokens * (value - before[e]) * (value - before[e])
		long += tokens * (value - oldest[e]) * (value - oldest[e])
		total += tokens
	}
	if total == 0 {
		return
	}
	f.short = average(f.short, short/total, f.seen)
	if f.seen >= longLag {
		f.long = average(f.long, long/total, f.seen-longLag+1)
	}
}

// logarithm returns a logarithm that is also defined for idle experts.
func logarithm(tokens float64) float64 { return math.Log(tokens + 1) }

// average updates a running mean over about the last varianceWindow values; count is the
// ordinal number of the new value.
func average(mean, value float64, count int) float64 {
	return mean + (value-mean)/float64(min(count, varianceWindow))
}

// nextGain advances the variance of the level and returns the filter's gain.
// The first observations are averaged because drift is not known yet.
func (f *Forecaster) nextGain() float64 {
	if f.lastValue {
		f.variance = f.Noise()
		return 1
	}
	if f.seen <= longLag {
		count := float64(f.seen + 1)
		f.variance = f.Noise() / count
		return 1 / count
	}
	prior := f.variance + f.Drift()
	noise := f.Noise()
	if prior+noise == 0 {
		return 1
	}
	gain := prior / (prior + noise)
	f.variance = (1 - gain) * prior
	return gain
}

// Drift returns q, the variance of the movement of a level per observation.
func (f *Forecaster) Drift() float64 {
	if f.seen < longLag {
		return 0
	}
	return max(0, (f.long-f.short)/(longLag-1))
}

// Noise returns r, the noise variance of one observation.
func (f *Forecaster) Noise() float64 { return max(0, (f.short-f.Drift())/2) }

// Ready reports whether there is enough history to distinguish drift from noise.
func (f *Forecaster) Ready() bool { return f.seen > 4*longLag }

// Load writes the forecast load of every expert.
func (f *Forecaster) Load(into []float64) {
	for e, value := range f.level {
		into[e] = math.Exp(value) - 1
	}
}

// Variance returns the variance of the forecast logarithm of a load, for the given
// number of observations after the last one.
func (f *Forecaster) Variance(ahead float64) float64 { return f.variance + ahead*f.Drift() }
