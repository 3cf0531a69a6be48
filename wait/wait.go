// Package wait provides a context-aware sleep.
package wait

import (
	"context"
	"time"
)

// For blocks until d has elapsed or ctx is done. It returns immediately if d is not positive.
func For(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
