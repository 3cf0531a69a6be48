package picking

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSameSeedGivesSameResults simulates a small fleet twice with the same seed. The
// results of a run must depend only on the seed.
func TestSameSeedGivesSameResults(t *testing.T) {
	is := is.New(t)
	sc := baseScenario()
	sc.groups, sc.entries = 1, 4
	sc.workload.callsPerSecond, sc.workload.duration, sc.warmUp = 60, 6*time.Second, 2*time.Second
	first, second := runOnce(sc, lilackeelPolicy(), 7), runOnce(sc, lilackeelPolicy(), 7)
	is.Equal(first, second)
	is.True(first != runOnce(sc, lilackeelPolicy(), 8)) // a different seed gives different results
}
