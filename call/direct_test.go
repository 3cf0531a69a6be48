package call

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/fault"
)

func newTestDirect(repeatable bool, attempts int) *Direct {
	return NewDirect(DirectOptions{
		Deadline: time.Second, Repeatable: repeatable, MaxAttempts: attempts, RetryAfter: 100 * time.Millisecond,
		Backoff: Backoff{Base: time.Millisecond, Max: time.Millisecond},
		Budget:  NewBudget(BudgetConfig{Ratio: 0.2, Burst: 10}), Rand: rand.New(rand.NewPCG(1, 1)),
	})
}

var (
	errInterrupted = fault.New(fault.Unknown, "cut", "retry the request")
	errOverloaded  = fault.New(fault.Overloaded, "full", "retry later")
)

// TestDirectInvariants runs every sequence of up to five attempt outcomes and checks the
// invariants of Direct on each.
func TestDirectInvariants(t *testing.T) {
	outcomes := []AttemptOutcome{Unsent, Rejected, MayHaveRun}
	var checkAll func(history []AttemptOutcome)
	checkAll = func(history []AttemptOutcome) {
		for _, repeatable := range []bool{false, true} {
			for attempts := 1; attempts <= 3; attempts++ {
				checkDirect(t, repeatable, attempts, history)
			}
		}
		if len(history) == 5 {
			return
		}
		for _, outcome := range outcomes {
			checkAll(append(history[:len(history):len(history)], outcome))
		}
	}
	checkAll(nil)
}

func checkDirect(t *testing.T, repeatable bool, attempts int, history []AttemptOutcome) {
	t.Helper()
	is := is.New(t)
	d := newTestDirect(repeatable, attempts)
	ran, sent := 0, 0
	for i, outcome := range history {
		if outcome != Unsent {
			sent++
		}
		if outcome == MayHaveRun {
			ran++
		}
		f := errOverloaded
		if outcome == MayHaveRun {
			f = errInterrupted
		}
		decision := d.AttemptFailed(time.Duration(i)*time.Millisecond, outcome, f)
		is.True(decision.Retry == (decision.Verdict == nil)) // either a retry or a verdict
		is.True(sent <= attempts)                            // no more endpoints than allowed
		is.True(repeatable || ran <= 1)                      // at most once
		if decision.Verdict == nil {
			is.True(repeatable || ran == 0) // no retry after it may have run
			continue
		}
		is.Equal(decision.Verdict.Outcome == NotRun, ran == 0) // NotRun is reported only if nothing has run
		refusal := decision.Verdict.HTTPStatus() == http.StatusServiceUnavailable || decision.Verdict.HTTPStatus() == http.StatusTooManyRequests
		is.Equal(refusal, ran == 0)
		is.Equal(decision.Verdict.Fault.RetryAfter > 0, ran == 0) // refusals carry a Retry-After
		return
	}
}

func TestErrorStatusIsRetriedOnlyWhereAllowed(t *testing.T) {
	is := is.New(t)
	retried := func(d *Direct, now time.Duration, status int) bool {
		decision, ok := d.RetryOnStatus(now, status)
		return ok && decision.Retry
	}
	is.True(!retried(newTestDirect(false, 2), 0, 500))
	is.True(!retried(newTestDirect(true, 1), 0, 500))
	is.True(!retried(newTestDirect(true, 2), 0, 404))
	is.True(!retried(newTestDirect(true, 2), time.Second, 500))
	d := newTestDirect(true, 2)
	is.True(retried(d, 0, 500))
	is.True(!retried(d, 0, 500)) // both attempts are used up
	is.True(d.MayHaveRun())
	is.Equal(d.Attempts(), 1)
}

func TestRetryNeedsBudget(t *testing.T) {
	is := is.New(t)
	budget := NewBudget(BudgetConfig{Burst: 1})
	first := NewDirect(DirectOptions{Deadline: time.Second, MaxAttempts: 2, Budget: budget, Rand: rand.New(rand.NewPCG(1, 1)), RetryAfter: time.Millisecond})
	is.True(first.AttemptFailed(0, Rejected, errOverloaded).Retry)
	second := NewDirect(DirectOptions{Deadline: time.Second, MaxAttempts: 2, Budget: budget, Rand: rand.New(rand.NewPCG(1, 1)), RetryAfter: time.Millisecond})
	is.True(!second.AttemptFailed(0, Rejected, errOverloaded).Retry)
}

func TestTimedOutCallThatMayHaveRunIsUnknown(t *testing.T) {
	is := is.New(t)
	d := newTestDirect(false, 1)
	v := d.AttemptFailed(time.Second, MayHaveRun, errInterrupted).Verdict
	is.Equal(v.Outcome, Unknown)
	is.Equal(v.HTTPStatus(), http.StatusGatewayTimeout)
}
