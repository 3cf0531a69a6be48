package telemetry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLogLimiterCountsSuppressedLines(t *testing.T) {
	is := is.New(t)
	var limiter LogLimiter
	now := time.Now()
	logged := 0
	for range 1000 {
		if _, ok := limiter.Allow(now); ok {
			logged++
		}
	}
	is.Equal(logged, LogLimiterBurst)
	suppressed, ok := limiter.Allow(now.Add(2 * LogLimiterInterval))
	is.True(ok)
	is.Equal(suppressed, 1000-LogLimiterBurst)
}
