package telemetry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestALineBudgetCountsWhatItLeavesOut(t *testing.T) {
	is := is.New(t)
	var b LogLimiter
	now := time.Now()
	logged := 0
	for range 1000 {
		if _, ok := b.Allow(now); ok {
			logged++
		}
	}
	is.Equal(logged, LogLimiterBurst)
	leftOut, ok := b.Allow(now.Add(2 * LogLimiterInterval))
	is.True(ok)
	is.Equal(leftOut, 1000-LogLimiterBurst)
}
