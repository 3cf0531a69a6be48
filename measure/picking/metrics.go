package picking

import (
	"math"
	"slices"
	"time"
)

const (
	// interTokenResolution is the bucket width of the histogram of inter-token
	// latencies.
	interTokenResolution = 100 * time.Microsecond
	interTokenBuckets    = 5000
)

// metrics holds the measurements of one run. Calls that arrived during the warm-up
// are not counted.
type metrics struct {
	sim              *sim
	firstTokenTimes  []time.Duration
	interTokenCounts [interTokenBuckets]int
	interTokenTotal  int
	cachedBlocks     int
	promptBlocks     int
	// skewSum / skewTime is the time-weighted mean of the skew of a group: the
	// running calls of its busiest rank divided by the mean of its ranks.
	skewSum, skewTime float64
	// bursts has one value for each window: the arrivals at the busiest rank divided
	// by the mean of all ranks.
	bursts       []float64
	calls        int
	callsToFirst int
	refused      int
	imports      int
	unserved     int
}

func (m *metrics) afterWarmUp(a *arrival) bool { return a.at >= m.sim.warmUp }

// recordDispatch counts a dispatched call.
func (m *metrics) recordDispatch(c *call) {
	if !m.afterWarmUp(c.arrival) {
		return
	}
	m.calls++
	if c.attempt.rank == m.sim.ranks[0] {
		m.callsToFirst++
	}
}

// recordFirstToken records the time from the call's arrival at the entry to the
// arrival of its first token there.
func (m *metrics) recordFirstToken(c *call, now time.Duration) {
	if !m.afterWarmUp(c.arrival) {
		return
	}
	m.firstTokenTimes = append(m.firstTokenTimes, now+c.attempt.networkDelay-c.at)
	m.cachedBlocks += c.cachedBlocks
	m.promptBlocks += len(c.prompt)
}

// recordStep records a step of a group. Its length is an inter-token latency of each
// running call.
func (m *metrics) recordStep(g *rankGroup, length time.Duration) {
	now := m.sim.clock.now
	if now < m.sim.warmUp || now > m.sim.workload.duration {
		return
	}
	running, peak := 0, 0
	for _, r := range g.ranks {
		running += len(r.running)
		peak = max(peak, len(r.running))
	}
	if running == 0 {
		return
	}
	bucket := min(int(length/interTokenResolution), interTokenBuckets-1)
	m.interTokenCounts[bucket] += running
	m.interTokenTotal += running
	mean := float64(running) / float64(len(g.ranks))
	m.skewSum += float64(peak) / mean * length.Seconds()
	m.skewTime += length.Seconds()
}

// closeWindow ends the current window of arrivals at the ranks.
func (m *metrics) closeWindow(s *sim) {
	total, peak := 0, 0
	for _, r := range s.ranks {
		total += r.windowArrivals
		peak = max(peak, r.windowArrivals)
		r.windowArrivals = 0
	}
	if s.clock.now < s.warmUp || s.clock.now > s.workload.duration || total == 0 {
		return
	}
	m.bursts = append(m.bursts, float64(peak)*float64(len(s.ranks))/float64(total))
}

// outstanding returns the number of counted calls that have no first token yet.
func (m *metrics) outstanding() int { return m.calls - len(m.firstTokenTimes) }

// recordUnserved counts the outstanding calls as unserved, with the given time as
// their time to first token.
func (m *metrics) recordUnserved(at time.Duration) {
	m.unserved = m.outstanding()
	for range m.unserved {
		m.firstTokenTimes = append(m.firstTokenTimes, at)
	}
}

// summary holds the results of one run, or the means over several runs.
type summary struct {
	firstTokenP50, firstTokenP95, firstTokenP99 float64 // ms
	interTokenP50, interTokenP95                float64 // ms
	cacheHitRate                                float64 // share of prompt blocks
	burst                                       float64 // arrivals at the busiest endpoint over the mean, p95
	skew                                        float64 // running calls of the busiest rank over the mean
	firstEndpointShare                          float64 // calls to the first endpoint over its fair share
	refusalRate                                 float64 // refusals per call
	unservedRate                                float64 // share of calls
	importRate                                  float64 // prefix imports per call
}

func (m *metrics) summarize() summary {
	slices.Sort(m.firstTokenTimes)
	slices.Sort(m.bursts)
	calls := float64(max(m.calls, 1))
	return summary{
		firstTokenP50:      milliseconds(quantile(m.firstTokenTimes, 0.50)),
		firstTokenP95:      milliseconds(quantile(m.firstTokenTimes, 0.95)),
		firstTokenP99:      milliseconds(quantile(m.firstTokenTimes, 0.99)),
		interTokenP50:      m.interTokenQuantile(0.50),
		interTokenP95:      m.interTokenQuantile(0.95),
		cacheHitRate:       float64(m.cachedBlocks) / float64(max(m.promptBlocks, 1)),
		burst:              quantile(m.bursts, 0.95),
		skew:               m.skewSum / math.Max(m.skewTime, 1e-9),
		firstEndpointShare: float64(m.callsToFirst) / calls * float64(len(m.sim.ranks)),
		refusalRate:        float64(m.refused) / calls,
		unservedRate:       float64(m.unserved) / calls,
		importRate:         float64(m.imports) / calls,
	}
}

// addScaled adds o multiplied by scale.
func (f *summary) addScaled(o summary, scale float64) {
	f.firstTokenP50 += o.firstTokenP50 * scale
	f.firstTokenP95 += o.firstTokenP95 * scale
	f.firstTokenP99 += o.firstTokenP99 * scale
	f.interTokenP50 += o.interTokenP50 * scale
	f.interTokenP95 += o.interTokenP95 * scale
	f.cacheHitRate += o.cacheHitRate * scale
	f.burst += o.burst * scale
	f.skew += o.skew * scale
	f.firstEndpointShare += o.firstEndpointShare * scale
	f.refusalRate += o.refusalRate * scale
	f.unservedRate += o.unservedRate * scale
	f.importRate += o.importRate * scale
}

// interTokenQuantile returns the q-quantile of the inter-token latency in
// milliseconds.
func (m *metrics) interTokenQuantile(q float64) float64 {
	target := int(q * float64(m.interTokenTotal))
	cumulative := 0
	for i, n := range m.interTokenCounts {
		cumulative += n
		if cumulative > target {
			return milliseconds(time.Duration(i) * interTokenResolution)
		}
	}
	return milliseconds(interTokenBuckets * interTokenResolution)
}

// quantile returns the q-quantile of a sorted list; 0 if the list is empty.
func quantile[T float64 | time.Duration](sorted []T, q float64) T {
	if len(sorted) == 0 {
		return 0
	}
	index := int(q * float64(len(sorted)))
	return sorted[min(index, len(sorted)-1)]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
