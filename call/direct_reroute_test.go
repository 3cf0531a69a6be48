package call

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/fault"
)

// TestReroutedAttemptUsesBudgetOnce guards against AttemptRerouted withdrawing a retry
// that has already been withdrawn: the budget here has none left.
func TestReroutedAttemptUsesBudgetOnce(t *testing.T) {
	is := is.New(t)
	slow := fault.New(fault.Unknown, "the endpoint's group is slow", "retry the request")
	reroute := func(now time.Duration, repeatable bool, attempts int) RetryDecision {
		d := NewDirect(DirectOptions{Deadline: time.Second, Repeatable: repeatable, MaxAttempts: attempts, Budget: NewBudget(BudgetConfig{})})
		return d.AttemptRerouted(now, slow)
	}
	is.True(reroute(0, true, 2).Retry)
	is.True(!reroute(2*time.Second, true, 2).Retry) // too late
	is.True(!reroute(0, true, 1).Retry)             // the only attempt is used up
	decision := reroute(0, false, 2)
	is.True(!decision.Retry)
	is.Equal(decision.Verdict.Outcome, Unknown) // it may have run, so it is not a refusal
}
