package call

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/fault"
)

// TestAMovedAttemptIsPaidForOnce ends an attempt whose retry has been taken out of a budget
// that holds no further one.
func TestAMovedAttemptIsPaidForOnce(t *testing.T) {
	is := is.New(t)
	slow := fault.New(fault.Unknown, "the endpoint's group is slow", "ask again")
	moved := func(now time.Duration, repeatable bool, attempts int) RetryDecision {
		d := NewDirect(DirectOptions{Deadline: time.Second, Repeatable: repeatable, MaxAttempts: attempts, Budget: NewBudget(BudgetConfig{})})
		return d.AttemptRerouted(now, slow)
	}
	is.True(moved(0, true, 2).Retry)
	is.True(!moved(2*time.Second, true, 2).Retry) // too late
	is.True(!moved(0, true, 1).Retry)             // no further endpoint may have it
	step := moved(0, false, 2)
	is.True(!step.Retry)
	is.Equal(step.Verdict.Outcome, Unknown) // it may have run: never a refusal
}
