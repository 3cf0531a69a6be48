package ratelimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against refused callers who are all asked to come back at the same moment.
func TestRefusedCallersGetTurns(t *testing.T) {
	is := is.New(t)
	var turns RetrySchedule
	soonest, latest := time.Second, 3*time.Second
	for i, want := range []time.Duration{1000, 1500, 2000, 2500, 3000, 3000} {
		t.Log(i)
		is.Equal(turns.Next(soonest, latest, 2), want*time.Millisecond)
	}
	// Turns that have passed are not given again.
	is.Equal(turns.Next(10*time.Second, 12*time.Second, 2), 10*time.Second)
}
