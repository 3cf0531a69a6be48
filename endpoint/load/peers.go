package load

import (
	"math"
	"time"
)

// fleet keeps what is usual among endpoints that are alike.
type fleet struct {
	// members is the number of the endpoints.
	members int
	// Prompt tokens waiting, calls running or waiting, and step times.
	waiting, running, step persistence
	rate, answer           mean
	// prompt is the size of the prompts that this entry sent.
	prompt mean
}

const (
	// windowRounds is the number of reports of each endpoint that a mean spans.
	// Ranks of a group report together and alike, so that a mean over less than
	// a whole round would follow the group that reported last.
	windowRounds = 12
	// minWindow is the least number of values that a mean spans.
	minWindow = 100
)

// window is the number of values that the means of the fleet span.
func (f *fleet) window() int { return max(minWindow, windowRounds*f.members) }

// mean is a moving average: the plain mean of the first window values, then an
// exponentially weighted moving average (EWMA) with a gain of one over window.
type mean struct {
	value float64
	count int
}

// add takes in a value.
func (m *mean) add(v float64, window int) {
	m.count = min(m.count+1, window)
	m.value += (v - m.value) / float64(m.count)
}

// or returns the mean, or the default when nothing has been added.
func (m *mean) or(fallback float64) float64 {
	if m.count == 0 {
		return fallback
	}
	return m.value
}

const (
	// minMemory and maxMemory bound what is learned of a value's memory.
	minMemory = 20 * time.Millisecond
	maxMemory = 20 * time.Second
)

const (
	// clipSpreads is the number of standard deviations, and clipShare the least
	// share of the usual, at which step times are clipped before they are
	// learned, so that a few endpoints with a fault do not change what is usual
	// among the others.
	clipSpreads = 1.5
	clipShare   = 0.25
	// faultSpreads is the number of standard deviations, and faultShare the
	// share of the usual, beyond which a lasting deviation of the step time is
	// no longer taken for noise.
	faultSpreads = 3
	faultShare   = 1
)

// persistence learns what value is usual among alike endpoints, and how fast a
// deviation from it goes stale. It is a first-order autoregressive model: the
// autocorrelation of the deviations is taken from how much the newest report at hand at
// some moment told about the value at that moment. A herd that follows the
// reports makes them tell less, and so they are believed less.
type persistence struct {
	// clipped is true when values are clipped before they are learned.
	clipped                      bool
	usual, square, product, span mean
}

// spread is the standard deviation of the values.
func (p *persistence) spread() float64 { return math.Sqrt(p.square.value) }

// deviation is the distance from the usual as it is learned.
func (p *persistence) deviation(value float64) float64 {
	d := value - p.usual.value
	if !p.clipped || p.square.count < minWindow/2 {
		return d
	}
	return clip(d, max(clipSpreads*p.spread(), clipShare*p.usual.value))
}

// add takes in a value of one endpoint.
func (p *persistence) add(value float64, window int) {
	p.usual.add(p.usual.value+p.deviation(value), window)
	d := p.deviation(value)
	p.square.add(d*d, window)
}

// compare takes in a value, and the older value that was believed at its time.
func (p *persistence) compare(value, believed float64, span time.Duration, window int) {
	p.product.add(p.deviation(value)*p.deviation(believed), window)
	p.span.add(float64(span), window)
}

// clip bounds a value to the limit on both sides.
func clip(v, limit float64) float64 { return min(max(v, -limit), limit) }

// memory is the time constant of the decay: after it, 1/e of a deviation from
// the usual is left.
func (p *persistence) memory() time.Duration {
	if p.span.count == 0 || p.square.value <= 0 {
		return maxMemory
	}
	correlation := p.product.value / p.square.value
	if correlation <= 0 {
		return minMemory
	}
	if correlation >= 1 {
		return maxMemory
	}
	memory := time.Duration(-p.span.value / math.Log(correlation))
	return min(max(memory, minMemory), maxMemory)
}

// expect returns the expected value of an endpoint whose report has the given
// trust, and the standard deviation of a draw around it. The draw spreads
// entries that read the same report no further than reports set endpoints
// apart.
func (p *persistence) expect(value, trust float64) (expected, spread float64) {
	expected = p.usual.value + trust*(value-p.usual.value)
	spread = trust * p.spread() * math.Sqrt(1-trust*trust)
	return expected, spread
}
