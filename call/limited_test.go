package call_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/fault"
)

// Guards against endpoints that take no more requests now using up the attempts and the retry
// budget of requests that another endpoint would serve.
func TestRateLimitedEndpointsArePassedOver(t *testing.T) {
	is := is.New(t)
	budget := call.NewBudget(call.BudgetConfig{})
	policy := call.DefaultPolicy
	policy.MaxAttempts = 1
	m := call.NewRepeatable(call.Options{RequestID: "r", Deadline: time.Minute, Policy: &policy, Budget: budget, Rand: rand.New(rand.NewPCG(1, 1))})
	action := m.Start(0)
	for _, id := range []string{"e1", "e2", "e3"} {
		is.Equal(action.Kind, call.Pick)
		action = m.Picked(0, call.Target{Endpoint: id, Incarnation: 1})
		is.Equal(action.Kind, call.Dispatch)
		action = m.Response(0, &agentv1.DispatchResponse{
			RequestId: "r", Attempt: action.Attempt, Incarnation: 1,
			Kind: &agentv1.DispatchResponse_Refused{Refused: &agentv1.Refused{Kind: string(fault.RateLimited), RetryAfterMs: 700}},
		})
	}
	is.Equal(action.Kind, call.Pick)
	is.Equal(action.Delay, time.Duration(0))
	is.Equal(action.Exclude, []string{"e1", "e2", "e3"})
	action = m.PickFailed(0, fault.New(fault.Unavailable, "tried everywhere", ""))
	is.Equal(action.Kind, call.Finish)
	is.Equal(action.Verdict.Outcome, call.NotRun)
	is.Equal(action.Verdict.Fault.Kind, fault.RateLimited)
	is.Equal(action.Verdict.Fault.RetryAfter, 700*time.Millisecond)
}
