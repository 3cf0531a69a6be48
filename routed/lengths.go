package routed

import "sync"

// streamLengths estimates, for each pool, the number of chunks of a complete stream. No other
// lock is acquired while its lock is held. The zero value is ready for use.
type streamLengths struct {
	mu    sync.Mutex
	means map[string]float64
}

// lengthWeight is the weight of the latest stream in the mean.
const lengthWeight = 0.05

// observe records the number of chunks of a complete stream.
func (l *streamLengths) observe(pool string, chunks int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	mean, known := l.means[pool]
	if !known {
		if l.means == nil {
			l.means = map[string]float64{}
		}
		mean = float64(chunks)
	}
	l.means[pool] = mean + lengthWeight*(float64(chunks)-mean)
}

// expectedRemaining returns the expected number of chunks after those received, at least one.
func (l *streamLengths) expectedRemaining(pool string, received int) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.means[pool]-float64(received), 1)
}
