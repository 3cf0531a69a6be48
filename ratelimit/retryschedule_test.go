package ratelimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against asking all refused callers to retry at the same time.
func TestRefusedCallersGetSeparateTurns(t *testing.T) {
	is := is.New(t)
	var turns RetrySchedule
	soonest, latest := time.Second, 3*time.Second
	for i, want := range []time.Duration{1000, 1500, 2000, 2500, 3000, 3000} {
		t.Log(i)
		is.Equal(turns.Next(soonest, latest, 2), want*time.Millisecond)
	}
	// Turns in the past are not given.
	is.Equal(turns.Next(10*time.Second, 12*time.Second, 2), 10*time.Second)
}
