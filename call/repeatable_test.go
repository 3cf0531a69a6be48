package call_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/endpoint/outlier"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/proof"
)

const completeBody = "data: one\n\ndata: two\n\ndata: three\n\ndata: [DONE]\n\n"

// engineStub simulates engines that answer the attempts of one streamed call. Each
// response may be duplicated, lost, or followed by one of an earlier attempt.
type engineStub struct {
	rng       *rand.Rand
	faultRate float64
	// losesStreams makes the engines start another stream when asked to resume.
	losesStreams     bool
	earlierResponses []*agentv1.DispatchResponse
}

// answer returns the responses of one attempt; complete is false if the attempt is
// interrupted.
func (e *engineStub) answer(a call.Action) (responses []*agentv1.DispatchResponse, complete bool) {
	stream := "s" + a.Target.Endpoint
	if e.losesStreams {
		stream = fmt.Sprint("s", a.Attempt)
	}
	respond := func(r *agentv1.DispatchResponse) {
		r.RequestId, r.Attempt, r.Incarnation = "r1", a.Attempt, a.Target.Incarnation
		for _, copies := 0, e.rng.IntN(2); copies >= 0; copies-- {
			responses = append(responses, r)
		}
		if len(e.earlierResponses) > 0 && e.rng.Float64() < e.faultRate {
			responses = append(responses, e.earlierResponses[e.rng.IntN(len(e.earlierResponses))])
		}
	}
	headers := []*controlv1.Header{{Name: "Content-Type", Value: "text/event-stream"}}
	respond(&agentv1.DispatchResponse{Kind: &agentv1.DispatchResponse_Head{Head: &agentv1.Head{Status: 200, Headers: headers, StreamId: stream}}})
	for at := int(a.Offset); at < len(completeBody); {
		size := min(1+e.rng.IntN(9), len(completeBody)-at)
		from := max(int(a.Offset), at-e.rng.IntN(4))
		lost := e.rng.Float64() < e.faultRate/4
		if !lost {
			respond(&agentv1.DispatchResponse{Kind: &agentv1.DispatchResponse_Chunk{Chunk: &agentv1.Chunk{Offset: uint64(from), Data: []byte(completeBody[from : at+size])}}})
		}
		at += size
		if e.rng.Float64() < e.faultRate/4 {
			e.earlierResponses = append(e.earlierResponses, responses...)
			return responses, false
		}
	}
	respond(&agentv1.DispatchResponse{Kind: &agentv1.DispatchResponse_End{End: &agentv1.End{Length: uint64(len(completeBody))}}})
	e.earlierResponses = append(e.earlierResponses, responses...)
	return responses, true
}

// runCall runs a streamed call and returns what the caller received, the verdict and the
// engines used.
func runCall(m *call.Repeatable, e *engineStub) (written string, v *call.Verdict, engines []string) {
	now := time.Duration(0)
	var pending []*agentv1.DispatchResponse
	for a := m.Start(now); ; {
		for _, part := range a.Data {
			written += string(part)
		}
		if a.Kind == call.Finish {
			return written, a.Verdict, engines
		}
		now += a.Delay + time.Millisecond
		switch {
		case a.Kind == call.Pick:
			a = m.Picked(now, call.Target{Endpoint: fmt.Sprint("e", len(a.Exclude)), Incarnation: 5})
		case a.Kind == call.Dispatch:
			engines = append(engines, a.Target.Endpoint)
			pending, _ = e.answer(a)
			fallthrough
		case len(pending) > 0:
			a = m.Response(now, pending[0])
			pending = pending[1:]
		default:
			a = m.Interrupted(now, fault.New(fault.Unknown, "the connection was lost", ""), false)
		}
	}
}

// TestOwnWholeStream interrupts, duplicates, overlaps, loses and mixes up the parts of a
// streamed answer. The caller must receive a prefix of its own answer without gaps, all
// from one engine, and Answered must be reported only for the complete answer.
func TestOwnWholeStream(t *testing.T) {
	is := is.New(t)
	proof.Cell{
		Promise: proof.ResponseIntegrity, Step: "every part of a streamed answer", Combined: true,
		Faults: []proof.Fault{proof.FullPartition, proof.DelayedMessages, proof.DuplicatedMessages, proof.ReorderedMessages, proof.LostMessages},
		Guard:  "each alone: offsets in assembly.take, end check, stream id check in assembly.open, resume instead of a new attempt",
	}.Log(t)
	complete, resumed := 0, 0
	for seed := range uint64(4000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		m := call.NewRepeatable(call.Options{
			RequestID: "r1", Deadline: time.Minute, Stream: true, Policy: &call.DefaultPolicy,
			Budget: call.NewBudget(call.DefaultBudget), Rand: rng,
		})
		e := &engineStub{rng: rng, faultRate: 0.4 * rng.Float64(), losesStreams: seed%4 == 0}
		written, v, engines := runCall(m, e)
		if len(written) > len(completeBody) || written != completeBody[:len(written)] {
			t.Fatalf("seed %d: the caller got %q", seed, written)
		}
		if (v.Outcome == call.Answered) != (written == completeBody && v.Fault == nil) {
			t.Fatalf("seed %d: %v after %q", seed, v.Outcome, written)
		}
		if v.Outcome != call.Answered {
			is.Equal(v.Outcome, call.Unknown) // an engine has started to answer
			continue
		}
		complete++
		if m.Counts().Resumes > 0 {
			resumed++
			is.Equal(len(slices.Compact(engines)), 1) // resumed by the engine that has the stream
			is.True(!e.losesStreams)                  // another stream cannot continue the answer
		}
	}
	t.Logf("seeds 0 to 3999: %d complete, %d of them resumed", complete, resumed)
	is.True(complete > 2000 && resumed > 200)
}

// TestGiveUpWithoutDelay checks that the machine returns its verdict without delay if
// there will be no retry, and that the verdict has a Retry-After.
func TestGiveUpWithoutDelay(t *testing.T) {
	is := is.New(t)
	budget := call.NewBudget(call.BudgetConfig{})
	m := call.NewRepeatable(call.Options{
		RequestID: "r1", Deadline: time.Hour, Policy: &call.DefaultPolicy, Budget: budget, Rand: rand.New(rand.NewPCG(1, 1)),
	})
	m.Start(0)
	a := m.Picked(0, call.Target{Endpoint: "e1", Incarnation: 5})
	a = m.Response(time.Second, &agentv1.DispatchResponse{RequestId: "r1", Attempt: a.Attempt, Incarnation: 5, Kind: &agentv1.DispatchResponse_Refused{
		Refused: &agentv1.Refused{Kind: string(fault.Overloaded), Message: "full", RetryAfterMs: 1500},
	}})
	is.Equal(a.Kind, call.Finish)
	is.Equal(a.Delay, time.Duration(0))
	is.Equal(a.Verdict.Outcome, call.NotRun)
	is.Equal(a.Verdict.HTTPStatus(), 429)
	is.Equal(a.Verdict.RetryAfterSeconds(), int64(2))
}

// TestRetryBudget lets a third of the endpoints fail every call. The additional attempts
// must stay within the budget, and almost all calls must succeed once outlier detection
// has ejected the failing endpoints. Without ejection, an outage of all endpoints must
// not multiply the load.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	const endpoints, calls = 15, 20000
	detector := outlier.New(outlier.Config{})
	simulate := func(seed uint64, ejects bool, fails func(endpoint int) bool) (attempts, answered int) {
		rng := rand.New(rand.NewPCG(seed, 2))
		budget := call.NewBudget(call.DefaultBudget)
		now := time.Duration(0)
		for i := range calls {
			now += 2 * time.Millisecond
			if i%500 == 0 && ejects {
				detector.Tick(now)
			}
			m := call.NewRepeatable(call.Options{RequestID: "r1", Deadline: now + time.Minute, Policy: &call.DefaultPolicy, Budget: budget, Rand: rng})
			a := m.Start(now)
			for a.Kind != call.Finish {
				chosen := rng.IntN(endpoints)
				for ejects && detector.Share(now, fmt.Sprint("e", chosen)) < rng.Float64() {
					chosen = rng.IntN(endpoints)
				}
				id := fmt.Sprint("e", chosen)
				m.Picked(now, call.Target{Endpoint: id, Incarnation: 5})
				detector.Observe(now, "pool", id, outlier.Sample{Failed: fails(chosen)})
				if !fails(chosen) {
					answered++
					break
				}
				a = m.Interrupted(now, fault.New(fault.Unknown, "broken", ""), false)
			}
			attempts += m.Counts().Attempts
		}
		return attempts, answered
	}
	aThird := func(endpoint int) bool { return endpoint%3 == 0 }
	limit := func(attempts int) bool {
		extra := float64(attempts - calls)
		return extra <= calls*call.DefaultBudget.Ratio+call.DefaultBudget.Burst+calls*0.002*call.DefaultBudget.MinPerSecond
	}
	attempts, answered := simulate(1, true, aThird)
	t.Logf("seed 1: a third fails: %d calls, %d attempts, %d answered", calls, attempts, answered)
	is.True(limit(attempts))
	is.True(answered > calls*98/100) // the outliers are ejected within the first seconds
	attempts, answered = simulate(2, false, aThird)
	t.Logf("seed 2: a third fails and stays in rotation: %d attempts, %d answered", attempts, answered)
	is.True(limit(attempts))
	is.True(answered > calls*2/3)
	attempts, _ = simulate(3, false, func(int) bool { return true })
	t.Logf("seed 3: all fail: %d attempts", attempts)
	is.True(limit(attempts))
}
