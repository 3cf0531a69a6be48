package routed

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	testTimeout   = 8 * time.Second
	testObjective = 400 * time.Millisecond
)

// TestFirstAttemptsAreNotClassifiedAsLate simulates callers that allow 0.85 to 1 of the
// timeout in their first attempt, some of which retry 0.5 to 3 s later.
func TestFirstAttemptsAreNotClassifiedAsLate(t *testing.T) {
	for _, retryShare := range []float64{0, 0.05, 0.3} {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(1, 2))
		var u waitEstimator
		firstAttempts, mistaken, retries, recognized := 0, 0, 0, 0
		for i := range 20000 {
			wait := testTimeout - time.Duration(rng.Float64()*0.15*float64(testTimeout))
			isRetry := rng.Float64() < retryShare
			if isRetry {
				wait -= 500*time.Millisecond + rand.N(2500*time.Millisecond)
			}
			late := u.late(wait, testTimeout, testObjective)
			u.observe(float64(wait) / float64(testTimeout))
			if i < 200 {
				continue
			}
			switch {
			case isRetry && late:
				retries, recognized = retries+1, recognized+1
			case isRetry:
				retries++
			case late:
				firstAttempts, mistaken = firstAttempts+1, mistaken+1
			default:
				firstAttempts++
			}
		}
		is.True(mistaken*100 <= firstAttempts) // hardly any first attempt is misclassified
		if retryShare == 0.05 {
			is.True(recognized*2 >= retries) // most retries are recognized
		}
	}
}
