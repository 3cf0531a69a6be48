package call_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/fault"
)

// Guards against rate-limited endpoints using up the attempts and the retry budget of
// requests that another endpoint would serve.
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
	action = m.PickFailed(0, fault.New(fault.Unavailable, "every endpoint has been tried", ""))
	is.Equal(action.Kind, call.Finish)
	is.Equal(action.Verdict.Outcome, call.NotRun)
	is.Equal(action.Verdict.Fault.Kind, fault.RateLimited)
	is.Equal(action.Verdict.Fault.RetryAfter, 700*time.Millisecond)
}

// Guards against refusing a call although a rate limit ends in time for it, and against
// delaying a call that cannot finish in time anyway.
func TestACallWaitsForAnEndpointThatOpensInTime(t *testing.T) {
	is := is.New(t)
	policy := call.DefaultPolicy
	options := call.Options{RequestID: "r", Deadline: 10 * time.Second, Policy: &policy, Budget: call.NewBudget(call.BudgetConfig{}), Rand: rand.New(rand.NewPCG(1, 1))}
	limitedFor := func(d time.Duration) *fault.Error { return fault.New(fault.RateLimited, "closed", "wait").RetryIn(d) }
	for _, m := range []interface {
		Start(time.Duration) call.Action
		PickFailed(time.Duration, *fault.Error) call.Action
	}{call.NewRepeatable(options), call.NewAtMostOnce(call.AtMostOnceOptions{Options: options})} {
		m.Start(0)
		action := m.PickFailed(0, limitedFor(4*time.Second))
		is.Equal(action.Kind, call.Pick)
		is.Equal(action.Delay, 4*time.Second)
		is.Equal(len(action.Exclude), 0)
		action = m.PickFailed(4*time.Second, limitedFor(3100*time.Millisecond))
		is.Equal(action.Kind, call.Finish) // the remaining time would be too short for the answer
		is.Equal(action.Verdict.Outcome, call.NotRun)
		is.Equal(action.Verdict.Fault.RetryAfter, 3100*time.Millisecond)
	}
}

// Guards against giving up an interrupted stream because its endpoint is briefly rate
// limited.
func TestResumedStreamWaitsForRateLimitedEndpoint(t *testing.T) {
	is := is.New(t)
	policy := call.DefaultPolicy
	m := call.NewRepeatable(call.Options{RequestID: "r", Deadline: 10 * time.Second, Policy: &policy, Budget: call.NewBudget(call.DefaultBudget), Rand: rand.New(rand.NewPCG(1, 1))})
	m.Start(0)
	action := m.Picked(0, call.Target{Endpoint: "e1", Incarnation: 1})
	answer := func(r *agentv1.DispatchResponse) call.Action {
		r.RequestId, r.Attempt, r.Incarnation = "r", action.Attempt, 1
		return m.Response(0, r)
	}
	answer(&agentv1.DispatchResponse{Kind: &agentv1.DispatchResponse_Head{Head: &agentv1.Head{
		Status: 200, StreamId: "s", Headers: []*controlv1.Header{{Name: "Content-Type", Value: "text/event-stream"}},
	}}})
	answer(&agentv1.DispatchResponse{Kind: &agentv1.DispatchResponse_Chunk{Chunk: &agentv1.Chunk{Data: []byte("data: one\n\n")}}})
	action = answer(&agentv1.DispatchResponse{Kind: &agentv1.DispatchResponse_Broken{Broken: &agentv1.Broken{MayHaveRun: true}}})
	is.Equal(action.Kind, call.Dispatch)
	action = answer(&agentv1.DispatchResponse{Kind: &agentv1.DispatchResponse_Refused{Refused: &agentv1.Refused{Kind: string(fault.RateLimited), RetryAfterMs: 700}}})
	is.Equal(action.Kind, call.Dispatch)
	is.Equal(action.Delay, 700*time.Millisecond)
	is.Equal(action.Offset, uint64(len("data: one\n\n")))
}
