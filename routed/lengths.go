package routed

import "sync"

// streamLengths learns, for each pool, how many parts a whole stream has. Its lock is a
// leaf. The zero value is ready.
type streamLengths struct {
	mu    sync.Mutex
	means map[string]float64
}

// lengthWeight is the weight of the newest stream in the mean.
const lengthWeight = 0.05

// observe takes in the parts of a whole stream.
func (l *streamLengths) observe(pool string, parts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	mean, known := l.means[pool]
	if !known {
		if l.means == nil {
			l.means = map[string]float64{}
		}
		mean = float64(parts)
	}
	l.means[pool] = mean + lengthWeight*(float64(parts)-mean)
}

// left is how many parts of a stream are expected after those that have come: one at least.
func (l *streamLengths) left(pool string, come int) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.means[pool]-float64(come), 1)
}
