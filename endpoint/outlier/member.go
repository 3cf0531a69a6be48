package outlier

import "time"

const (
	// initialShare is the share of its normal traffic that an endpoint receives
	// at the beginning of its slow start.
	initialShare = 0.05
	// resetSlowStarts is the time without ejection, in multiples of the slow
	// start, after which the next ejection counts as the first again.
	resetSlowStarts = 8
)

// member is one endpoint in a peer set.
type member struct {
	id, peers string
	// stats holds the aggregated samples by source.
	stats [sources]sampleStats

	ejected bool
	// consecutiveEjections determines the backoff of the ejection time. It is reset
	// after a long time without ejection. totalEjections counts all ejections.
	consecutiveEjections, totalEjections int
	// ejectedUntil is when the current ejection ends; valid if ejected.
	ejectedUntil time.Duration
	// returnedAt is when the last ejection ended; valid if returned.
	returnedAt time.Duration
	returned   bool
}

// add adds a sample to the open window of its source.
func (m *member) add(s Sample) { m.stats[sourceOf(s)].add(s) }

// expire ends an ejection whose time has passed and begins the slow start.
func (m *member) expire(now time.Duration) {
	if !m.ejected || now < m.ejectedUntil {
		return
	}
	m.ejected = false
	m.returned = true
	m.returnedAt = now
	m.resetConsecutiveBad()
}

// eject removes the member from rotation with exponential backoff: the time
// doubles with each consecutive ejection, from base up to limit.
func (m *member) eject(now, base, limit time.Duration) {
	const maxDoublings = 20
	m.ejected = true
	m.resetConsecutiveBad()
	m.totalEjections++
	span := base << min(m.consecutiveEjections, maxDoublings)
	m.consecutiveEjections++
	m.ejectedUntil = now + min(span, limit)
}

func (m *member) resetConsecutiveBad() {
	for i := range m.stats {
		m.stats[i].consecutiveBad = 0
	}
}

// recordGood records a good verdict on the samples of a source.
func (m *member) recordGood(now, slowStart time.Duration, from source) {
	m.stats[from].consecutiveBad = 0
	if m.returned && !m.ejected && now-m.returnedAt > resetSlowStarts*slowStart {
		m.consecutiveEjections = 0
	}
}

// returning reports whether the member is in slow start.
func (m *member) returning(now, slowStart time.Duration) bool {
	return m.returned && !m.ejected && now-m.returnedAt < slowStart
}

// share returns the share of its normal traffic that the member may receive.
func (m *member) share(now, slowStart time.Duration) float64 {
	if m.ejected {
		return 0
	}
	if !m.returning(now, slowStart) {
		return 1
	}
	grown := float64(now-m.returnedAt) / float64(slowStart)
	return initialShare + (1-initialShare)*max(grown, 0)
}
