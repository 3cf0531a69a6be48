package speed

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// services are the endpoints of a pool of the given size.
type services struct {
	*Tracker
	size int
	now  time.Duration
}

func newServices(size int) *services { return &services{Tracker: New(), size: size} }

// respond lets the endpoints respond every 100 ms for the given time, and evaluates as often. took
// returns the response time of an endpoint; zero for no response.
func (s *services) respond(length time.Duration, took func(i int) time.Duration) {
	for end := s.now + length; s.now < end; s.now += 100 * time.Millisecond {
		for i := range s.size {
			s.Observe(s.now, "pool", fmt.Sprint(i), took(i))
		}
		s.Evaluate(s.now, map[string]int{"pool": s.size})
	}
}

// slow returns the number of endpoints that are slow.
func (s *services) slow() int { return s.CountSlow(s.now, func(string) bool { return true }) }

// firstTakes returns 50 ms for all endpoints but the first.
func firstTakes(first time.Duration) func(int) time.Duration {
	return func(i int) time.Duration {
		if i == 0 {
			return first
		}
		return 50 * time.Millisecond
	}
}

// TestSlowServiceIsFoundAndRecovers guards against a slow service that goes unnoticed, or that counts
// as slow after it has recovered or gets no calls any more.
func TestSlowServiceIsFoundAndRecovers(t *testing.T) {
	is := is.New(t)
	s := newServices(6)
	s.respond(3*time.Second, firstTakes(50*time.Millisecond))
	is.Equal(s.slow(), 0)
	s.respond(2*time.Second, firstTakes(600*time.Millisecond))
	is.Equal(s.slow(), 1)
	is.True(s.Slowdown(s.now, "0") > 2 && s.Slowdown(s.now, "0") <= 4) // response times are clipped
	s.respond(2*time.Second, firstTakes(50*time.Millisecond))
	is.Equal(s.slow(), 0)
	s.respond(2*time.Second, firstTakes(600*time.Millisecond))
	is.Equal(s.slow(), 1)
	s.respond(2500*time.Millisecond, firstTakes(0)) // no calls
	is.Equal(s.slow(), 0)
}

// TestTooFewOrVaryingResponsesAreNominal guards against a judgement by few responses, by a single
// long one, by chance, or against the endpoint's own report.
func TestTooFewOrVaryingResponsesAreNominal(t *testing.T) {
	is := is.New(t)
	few := newServices(6)
	few.respond(700*time.Millisecond, firstTakes(600*time.Millisecond))
	is.Equal(few.slow(), 0)

	minority := newServices(6)
	minority.respond(3*time.Second, func(i int) time.Duration {
		if i > 1 {
			return 0
		}
		return firstTakes(600 * time.Millisecond)(i)
	})
	is.Equal(minority.slow(), 0) // only two of six have responded

	one := newServices(6)
	one.respond(3*time.Second, firstTakes(50*time.Millisecond))
	one.Observe(one.now, "pool", "0", time.Minute)
	one.respond(100*time.Millisecond, firstTakes(50*time.Millisecond))
	is.Equal(one.slow(), 0)

	reporting := newServices(6)
	for range 30 {
		reporting.Report(reporting.now, "0", 1)
		reporting.respond(100*time.Millisecond, firstTakes(600*time.Millisecond))
	}
	is.Equal(reporting.slow(), 0)

	varying := newServices(32)
	rng, slow := rand.New(rand.NewPCG(1, 1)), 0
	for range 600 { // a minute
		varying.respond(100*time.Millisecond, func(int) time.Duration {
			return time.Duration((0.5 + rng.ExpFloat64()) * float64(50*time.Millisecond))
		})
		slow += varying.slow()
	}
	t.Logf("%d of %d judgements took an endpoint for slow", slow, 600*32)
	is.True(slow < 600*32/1000)
}
