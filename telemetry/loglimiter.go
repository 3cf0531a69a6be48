package telemetry

import (
	"sync"
	"time"
)

const (
	// LogLimiterBurst is the number of lines that a LogLimiter allows per
	// LogLimiterInterval.
	LogLimiterBurst = 20
	// LogLimiterInterval is the interval after which a LogLimiter allows another burst.
	LogLimiterInterval = 10 * time.Second
)

// LogLimiter limits the rate of log lines about events that remote peers trigger at an
// unbounded rate. The zero value is ready to use. It is safe for concurrent use; no
// other lock is taken while its lock is held.
type LogLimiter struct {
	mu         sync.Mutex
	windowEnd  time.Time
	remaining  int
	suppressed int
}

// Allow reports whether a line may be logged, and how many lines were suppressed since
// the last one that was allowed.
func (l *LogLimiter) Allow(now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.After(l.windowEnd) {
		l.windowEnd, l.remaining = now.Add(LogLimiterInterval), LogLimiterBurst
	}
	if l.remaining == 0 {
		l.suppressed++
		return 0, false
	}
	l.remaining--
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}
