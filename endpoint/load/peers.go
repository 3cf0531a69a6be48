package load

import (
	"math"
	"time"
)

// peerStats holds statistics over endpoints with the same pool, model and version.
type peerStats struct {
	// members is the number of endpoints.
	members int
	// Prompt tokens waiting, calls running or waiting, and step times.
	waiting, running, step decayModel
	rate, output           mean
	// prompt is the size in tokens of the prompts that this entry sent.
	prompt mean
}

const (
	// windowRounds is the number of reports per endpoint that a mean spans. The
	// ranks of a group report at the same time and with similar values, so a mean
	// over less than one round of reports would follow the last group to report.
	windowRounds = 12
	// minWindow is the minimum number of values that a mean spans.
	minWindow = 100
)

// window returns the number of values that the means span.
func (s *peerStats) window() int { return max(minWindow, windowRounds*s.members) }

// mean is a moving average: the plain mean of the first window values, then an
// exponentially weighted moving average (EWMA) with a gain of one over window.
type mean struct {
	value float64
	count int
}

// add adds a value.
func (m *mean) add(v float64, window int) {
	m.count = min(m.count+1, window)
	m.value += (v - m.value) / float64(m.count)
}

// or returns the mean, or the fallback if no value has been added.
func (m *mean) or(fallback float64) float64 {
	if m.count == 0 {
		return fallback
	}
	return m.value
}

const (
	// minDecayTime and maxDecayTime bound the decay time learned for a value.
	minDecayTime = 20 * time.Millisecond
	maxDecayTime = 20 * time.Second
)

const (
	// Deviations of step times are clipped at clipStdDevs standard deviations,
	// but at no less than clipShare of the average, before they are learned.
	// Otherwise a few faulty endpoints would shift the average of the others.
	clipStdDevs = 1.5
	clipShare   = 0.25
	// A persistent deviation of the step time beyond faultStdDevs standard
	// deviations, and beyond faultShare of the average, is not treated as noise.
	faultStdDevs = 3
	faultShare   = 1
)

// decayModel learns the average of a value over comparable endpoints, and how
// fast a deviation from it decays. It is a first-order autoregressive model: the
// autocorrelation of the deviations is estimated by comparing each value with the
// newest report that was available when the value was measured. When entries
// herd to the endpoints that reported low load, reports predict less, and so they
// are given less weight.
type decayModel struct {
	// clipped is true if deviations are clipped before they are learned.
	clipped                            bool
	average, variance, covariance, lag mean
}

// stdDev returns the standard deviation of the values.
func (m *decayModel) stdDev() float64 { return math.Sqrt(m.variance.value) }

// deviation returns the deviation from the average, clipped if the model clips.
func (m *decayModel) deviation(value float64) float64 {
	d := value - m.average.value
	if !m.clipped || m.variance.count < minWindow/2 {
		return d
	}
	return clip(d, max(clipStdDevs*m.stdDev(), clipShare*m.average.value))
}

// add adds a value reported by one endpoint.
func (m *decayModel) add(value float64, window int) {
	m.average.add(m.average.value+m.deviation(value), window)
	d := m.deviation(value)
	m.variance.add(d*d, window)
}

// addPair adds a value and the older value that was available when it was
// measured, lag earlier.
func (m *decayModel) addPair(value, older float64, lag time.Duration, window int) {
	m.covariance.add(m.deviation(value)*m.deviation(older), window)
	m.lag.add(float64(lag), window)
}

// clip limits a value to the range from -limit to limit.
func clip(v, limit float64) float64 { return min(max(v, -limit), limit) }

// decayTime returns the time constant of the decay: the time after which 1/e of
// a deviation from the average remains.
func (m *decayModel) decayTime() time.Duration {
	if m.lag.count == 0 || m.variance.value <= 0 {
		return maxDecayTime
	}
	correlation := m.covariance.value / m.variance.value
	if correlation <= 0 {
		return minDecayTime
	}
	if correlation >= 1 {
		return maxDecayTime
	}
	decay := time.Duration(-m.lag.value / math.Log(correlation))
	return min(max(decay, minDecayTime), maxDecayTime)
}

// expect returns the expected value at an endpoint whose report has the given
// weight, and the standard deviation for random draws around it. Draws make
// entries that read the same reports choose differently; the factor weight keeps
// them from scattering more than the reports distinguish endpoints.
func (m *decayModel) expect(value, weight float64) (expected, stdDev float64) {
	expected = m.average.value + weight*(value-m.average.value)
	stdDev = weight * m.stdDev() * math.Sqrt(1-weight*weight)
	return expected, stdDev
}
