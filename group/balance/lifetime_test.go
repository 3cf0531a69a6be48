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
