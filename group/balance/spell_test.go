package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestASpellIsLearntFromTheJumps(t *testing.T) {
	is := is.New(t)
	var s DemandLifetime
	is.Equal(s.Remaining(time.Second), firstSpell)
	is.Equal(s.Remaining(20*time.Second), firstSpell) // none seen: nothing to go by
	for at := 30 * time.Second; at < 60*time.Second; at += 3 * time.Second {
		s.RecordJump(at)
	}
	is.Equal(s.Remaining(57*time.Second), 3*time.Second)         // right after a jump
	is.Equal(s.Remaining(59*time.Second), 1500*time.Millisecond) // never less than half
	is.Equal(s.Remaining(67*time.Second), 5*time.Second)         // the jumps have ended
	is.Equal(s.Remaining(time.Hour), longestSpell)
}
