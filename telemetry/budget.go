package telemetry

import (
	"sync"
	"time"
)

const (
	// BudgetLines is the number of lines that a LineBudget allows in each BudgetTime.
	LogLimiterBurst    = 20
	LogLimiterInterval = 10 * time.Second
)

// LineBudget bounds how often something is logged that others cause at any rate. The zero
// value is ready. It is safe for concurrent use; its lock is a leaf.
type LogLimiter struct {
	mu      sync.Mutex
	until   time.Time
	lines   int
	leftOut int
}

// Take reports whether a line may be logged, and how many were left out since the last
// one.
func (b *LogLimiter) Allow(now time.Time) (leftOut int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.After(b.until) {
		b.until, b.lines = now.Add(LogLimiterInterval), LogLimiterBurst
	}
	if b.lines == 0 {
		b.leftOut++
		return 0, false
	}
	b.lines--
	leftOut, b.leftOut = b.leftOut, 0
	return leftOut, true
}
