package call

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/fault"
)

func newDirect(repeatable bool, attempts int) *Direct {
	return NewDirect(DirectOptions{
		Deadline: time.Second, Repeatable: repeatable, MaxAttempts: attempts, RetryAfter: 100 * time.Millisecond,
		Backoff: Backoff{Base: time.Millisecond, Max: time.Millisecond},
		Budget:  NewBudget(BudgetConfig{Ratio: 0.2, Burst: 10}), Rand: rand.New(rand.NewPCG(1, 1)),
	})
}

var (
	errCut  = fault.New(fault.Unknown, "cut", "ask again")
	errFull = fault.New(fault.Overloaded, "full", "ask again")
)

// TestDirectCallsKeepTheirPromises plays every order of up to five ends of
// attempts and checks the invariants of Direct on each.
func TestDirectCallsKeepTheirPromises(t *testing.T) {
	progresses := []AttemptOutcome{Unsent, Rejected, MayHaveRun}
	var play func(history []AttemptOutcome)
	play = func(history []AttemptOutcome) {
		for _, repeatable := range []bool{false, true} {
			for attempts := 1; attempts <= 3; attempts++ {
				checkDirect(t, repeatable, attempts, history)
			}
		}
		if len(history) == 5 {
			return
		}
		for _, p := range progresses {
			play(append(history[:len(history):len(history)], p))
		}
	}
	play(nil)
}

func checkDirect(t *testing.T, repeatable bool, attempts int, history []AttemptOutcome) {
	t.Helper()
	is := is.New(t)
	d := newDirect(repeatable, attempts)
	ran, sent := 0, 0
	for i, p := range history {
		if p != Unsent {
			sent++
		}
		if p == MayHaveRun {
			ran++
		}
		f := errFull
		if p == MayHaveRun {
			f = errCut
		}
		step := d.AttemptFailed(time.Duration(i)*time.Millisecond, p, f)
		is.True(step.Retry == (step.Verdict == nil)) // one of the two
		is.True(sent <= attempts)                    // no more endpoints than allowed
		is.True(repeatable || ran <= 1)              // at most once
		if step.Verdict == nil {
			is.True(repeatable || ran == 0) // never sent again after it may have run
			continue
		}
		is.Equal(step.Verdict.Outcome == NotRun, ran == 0) // not run is true
		promise := step.Verdict.HTTPStatus() == http.StatusServiceUnavailable || step.Verdict.HTTPStatus() == http.StatusTooManyRequests
		is.Equal(promise, ran == 0)
		is.Equal(step.Verdict.Fault.RetryAfter > 0, ran == 0) // says when to come back
		return
	}
}

func TestAFailureOfTheEndpointIsRepeatedOnlyWhereAllowed(t *testing.T) {
	is := is.New(t)
	replaced := func(d *Direct, now time.Duration, status int) bool {
		step, ok := d.RetryOnStatus(now, status)
		return ok && step.Retry
	}
	is.True(!replaced(newDirect(false, 2), 0, 500))
	is.True(!replaced(newDirect(true, 1), 0, 500))
	is.True(!replaced(newDirect(true, 2), 0, 404))
	is.True(!replaced(newDirect(true, 2), time.Second, 500))
	d := newDirect(true, 2)
	is.True(replaced(d, 0, 500))
	is.True(!replaced(d, 0, 500)) // both attempts are used up
	is.True(d.MayHaveRun())
	is.Equal(d.Attempts(), 1)
}

func TestARetryNeedsTheBudget(t *testing.T) {
	is := is.New(t)
	budget := NewBudget(BudgetConfig{Burst: 1})
	first := NewDirect(DirectOptions{Deadline: time.Second, MaxAttempts: 2, Budget: budget, Rand: rand.New(rand.NewPCG(1, 1)), RetryAfter: time.Millisecond})
	is.True(first.AttemptFailed(0, Rejected, errFull).Retry)
	second := NewDirect(DirectOptions{Deadline: time.Second, MaxAttempts: 2, Budget: budget, Rand: rand.New(rand.NewPCG(1, 1)), RetryAfter: time.Millisecond})
	is.True(!second.AttemptFailed(0, Rejected, errFull).Retry)
}

func TestACallThatMayHaveRunTimesOutAsUnknown(t *testing.T) {
	is := is.New(t)
	d := newDirect(false, 1)
	v := d.AttemptFailed(time.Second, MayHaveRun, errCut).Verdict
	is.Equal(v.Outcome, Unknown)
	is.Equal(v.HTTPStatus(), http.StatusGatewayTimeout)
}
