package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDemandLifetimeIsEstimatedFromJumps(t *testing.T) {
	is := is.New(t)
	var d DemandLifetime
	is.Equal(d.Remaining(time.Second), initialLifetime)
	is.Equal(d.Remaining(20*time.Second), initialLifetime) // no jumps seen
	for at := 30 * time.Second; at < 60*time.Second; at += 3 * time.Second {
		d.RecordJump(at)
	}
	is.Equal(d.Remaining(57*time.Second), 3*time.Second)         // right after a jump
	is.Equal(d.Remaining(59*time.Second), 1500*time.Millisecond) // never less than half
	is.Equal(d.Remaining(67*time.Second), 5*time.Second)         // the jumps have ended
	is.Equal(d.Remaining(time.Hour), maxLifetime)
}

// TestRegularJumpsEndTheLifetimeOfAMap guards against switches shortly before a jump that is
// due, which copy experts in vain, and against a short lifetime where jumps are rare, irregular
// or have ended.
func TestRegularJumpsEndTheLifetimeOfAMap(t *testing.T) {
	is := is.New(t)
	after := func(intervals ...time.Duration) (regular, other DemandLifetime, last time.Duration) {
		regular.Regular = true
		regular.RecordJump(last)
		other.RecordJump(last)
		for _, interval := range intervals {
			last += interval * time.Millisecond
			regular.RecordJump(last)
			other.RecordJump(last)
		}
		return regular, other, last
	}
	d, _, last := after(2400, 2100, 2700, 2300, 2500)
	is.True(d.Remaining(last) > 1600*time.Millisecond && d.Remaining(last) < 2100*time.Millisecond)
	is.True(d.Remaining(last+1800*time.Millisecond) < 300*time.Millisecond) // the next one is due
	is.True(d.Remaining(last+6*time.Second) >= 3*time.Second)               // the jumps have ended
	for _, intervals := range [][]time.Duration{{2400}, {6000, 6000, 6000}, {1000, 4000, 1000, 4000}} {
		d, other, last := after(intervals...)
		for _, later := range []time.Duration{0, time.Second, 3 * time.Second} {
			is.Equal(d.Remaining(last+later), other.Remaining(last+later))
		}
	}
}
