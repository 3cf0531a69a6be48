package balance

import "github.com/lilackeel/lilackeel/group"

const (
	// minObservations is the minimum number of observations of a new map before the
	// next switch.
	minObservations = 2
	// evaluateAfter is the number of observations after which a switch is evaluated.
	evaluateAfter = 6
	// failedShare is the share of the expected saving that must be lost for a switch
	// to count as failed; in addition, the saving over the old map must be less than
	// the rest.
	failedShare = 0.75
	// maxFailures bounds the backoff: minObservations times 2 to this power.
	maxFailures = 7
)

// switchMonitor compares the expected saving of the last switch with the actual one. A
// switch has failed if the skew returns soon after it and the old map would have
// served about as well, as happens when the workload shifts after each switch.
// After each consecutive failure the balancer waits twice as long (exponential
// backoff). Drift alone does not count as a failure: it also brings the skew back,
// but more so with the old map.
type switchMonitor struct {
	oldMap        group.Map
	after, saving float64 // skew expected after the switch, and its expected reduction
	failing       bool
	skip          int // remaining observations from before the switch
	seen          int // observations since the switch
	active        bool
	failures      int
}

// start begins to monitor a switch.
func (m *switchMonitor) start(c Config, from group.Map, d Decision, load, cost []float64) {
	m.oldMap = from
	m.after = skewOf(c.Shape, d.Map, load, cost)
	m.saving = skewOf(c.Shape, from, load, cost) - m.after
	m.failing = false
	m.skip = int(c.Lag / c.Interval)
	m.seen = 0
	m.active = true
}

// waiting reports whether the last switch is too recent to propose another.
func (m *switchMonitor) waiting(noBackoff bool) bool {
	if !m.active {
		return false
	}
	if noBackoff {
		return m.seen < minObservations
	}
	return m.seen < minObservations<<m.failures || m.failing && m.seen < evaluateAfter
}

// observe records the forecast for the map in force.
func (m *switchMonitor) observe(shape group.Shape, current group.Map, load, cost []float64) {
	if !m.active {
		return
	}
	if m.skip > 0 {
		m.skip--
		return
	}
	m.seen++
	if m.seen > evaluateAfter {
		return
	}
	now := skewOf(shape, current, load, cost)
	old := skewOf(shape, m.oldMap, load, cost)
	m.failing = now-m.after > failedShare*m.saving && old-now < (1-failedShare)*m.saving
	if m.seen == evaluateAfter {
		m.updateFailures()
	}
}

// updateFailures counts the evaluated switch as a failure or a success for the backoff.
func (m *switchMonitor) updateFailures() {
	if m.failing {
		m.failures = min(maxFailures, m.failures+1)
		return
	}
	m.failures = max(0, m.failures-1)
}

// skewOf returns the ratio of the load of the busiest ranks to the mean load, over all
// layers.
func skewOf(shape group.Shape, m group.Map, load, cost []float64) float64 {
	busiest, mean := StepLoad(shape, m, load, cost)
	if mean == 0 {
		return 1
	}
	return busiest / mean
}
