package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/lilackeel/lilackeel/agent/engineapi"
	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/endpoint/outlier"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/telemetry"
)

// attempt is a dispatch in progress.
type attempt struct {
	stream Stream
	cancel context.CancelFunc
	// receiveTimer cancels the attempt when no response arrives in time; timedOut is set when it has
	// fired.
	receiveTimer *time.Timer
	timedOut     atomic.Bool
	span         trace.Span
	load         load.Call
	// sentAt is when the dispatch was sent, firstChunkAt when the first chunk of the body arrived.
	sentAt, firstChunkAt time.Duration
	// chunks counts the chunks of the body.
	chunks int
	// failed is true if the endpoint is the cause of the failure.
	failed bool
	// endProbe ends the probe of a quarantined part; see quarantine.PartTracker.BeginAttempt.
	endProbe func()
}

// dispatch sends one attempt and waits for its first response.
func (x *exchange) dispatch(a *call.Action) call.Action {
	x.closeAttempt()
	endProbe, refusal := x.beginAttempt()
	if refusal != nil {
		return x.repeatable.GiveUp(x.now(), refusal)
	}
	target := a.Target
	if a.Offset > 0 {
		target = x.refreshTarget(target)
	}
	x.target = target
	ctx, span := telemetry.StartSpan(x.workCtx, "dispatch", attribute.String("endpoint", target.Endpoint), attribute.Int("attempt", int(a.Attempt)))
	ctx, cancel := context.WithCancel(ctx)
	s := x.server
	x.attempt = &attempt{
		cancel: cancel, span: span, sentAt: x.now(), endProbe: endProbe,
		load: s.Loads.Sent(x.now(), target.Endpoint, x.request.work),
	}
	s.Quarantine.AttemptStarted(x.attempt.sentAt, x.request.fingerprint)
	if len(x.request.pick.Prompt) > 0 && a.Offset == 0 {
		s.Index.Sent(x.now(), target.Endpoint, x.request.pick.Prompt)
	}
	x.attempt.receiveTimer = time.AfterFunc(x.receiveTimeout(a), x.attempt.timeOut)
	s.RateLimits.recordAttempt(target.Endpoint, a.Attempt > 1)
	stream, err := s.Agents.Dispatch(ctx, target.AgentAddr, x.dispatchRequest(a, target))
	if err != nil {
		return x.streamFailed(err)
	}
	x.attempt.stream = stream
	return x.receive(a)
}

// timeOut cancels an attempt that has not received a response in time.
func (a *attempt) timeOut() {
	a.timedOut.Store(true)
	a.cancel()
}

// refreshTarget returns the current agent of an endpoint whose stream is resumed.
func (x *exchange) refreshTarget(old call.Target) call.Target {
	if renewed, ok := x.server.Targets.Renew(old); ok {
		return x.repeatable.UpdateTarget(renewed)
	}
	return old
}

// dispatchRequest returns the message that is sent to the agent.
func (x *exchange) dispatchRequest(a *call.Action, target call.Target) *agentv1.DispatchRequest {
	q := x.request
	m := &agentv1.DispatchRequest{
		RequestId: q.dispatchID, Attempt: a.Attempt, Endpoint: target.Endpoint, Incarnation: target.Incarnation,
		Freshness: x.server.Targets.Freshness(target.AgentAddr), Workspace: q.workspace.GetName(), Priority: int32(q.priority),
		Method: q.method, Path: q.requestURI, Headers: x.headers(a), Body: q.body, RateLimit: x.server.RateLimits.limitMessage(target.Endpoint),
		TimeoutMs: max((q.deadline - x.now()).Milliseconds(), 1), ResumeOffset: a.Offset, Entry: x.server.config.Name,
	}
	if a.ClaimID != "" {
		m.ClaimId = a.ClaimID
		m.ClaimTicketNs = target.TicketNS
	}
	return m
}

// headers returns the request headers for the endpoint.
func (x *exchange) headers(a *call.Action) []*controlv1.Header {
	headers := forwardedHeaders(x.request.header)
	if x.request.header.Get(call.HeaderRequestID) == "" {
		headers = append(headers, &controlv1.Header{Name: call.HeaderRequestID, Value: x.request.id})
	}
	if x.atMostOnce != nil && !x.request.keyFromCaller {
		headers = append(headers, &controlv1.Header{Name: call.HeaderIdempotencyKey, Value: x.request.idempotencyKey})
	}
	if a.Offset > 0 && x.repeatable.StreamID() != "" {
		headers = append(headers, &controlv1.Header{Name: engineapi.HeaderStreamID, Value: x.repeatable.StreamID()})
	}
	return headers
}

// receive waits for the next response of the attempt.
func (x *exchange) receive(a *call.Action) call.Action {
	x.attempt.receiveTimer.Reset(x.receiveTimeout(a))
	response, err := x.attempt.stream.Recv()
	// The time that the caller takes to read does not count as silence of the endpoint.
	x.attempt.receiveTimer.Stop()
	if err != nil {
		return x.streamFailed(err)
	}
	x.observeResponse(response)
	return x.machine.Response(x.now(), response)
}

// receiveTimeout returns the timeout for the next response of the attempt.
func (x *exchange) receiveTimeout(a *call.Action) time.Duration {
	remaining := max(x.request.deadline-x.now(), time.Millisecond)
	if a.ReceiveTimeout > 0 {
		return min(a.ReceiveTimeout, remaining)
	}
	return remaining
}

// streamFailed handles an attempt whose stream ended before the answer was complete.
func (x *exchange) streamFailed(err error) call.Action {
	f := fault.From(err)
	callerLeft := context.Cause(x.callerCtx) != nil && x.repeatable != nil
	if errors.Is(err, io.EOF) {
		f = fault.New(fault.Unknown, "the answer was truncated: the agent closed the stream early", "retry the request")
	}
	if x.attempt.timedOut.Load() && !callerLeft {
		f = fault.New(fault.Unknown, "the endpoint did not answer in time", "retry, or use a longer deadline")
	}
	notRun := f.Kind != fault.Unknown && f.Kind != fault.Internal && x.attempt.chunks == 0
	x.attempt.failed = !callerLeft && x.now() < x.request.deadline
	return x.machine.Interrupted(x.now(), f, notRun)
}

// observeResponse updates the statistics of the attempt and the state of its endpoint from a
// response.
func (x *exchange) observeResponse(r *agentv1.DispatchResponse) {
	a := x.attempt
	switch kind := r.GetKind().(type) {
	case *agentv1.DispatchResponse_Chunk:
		a.chunks++
		if a.chunks == 1 {
			a.firstChunkAt = x.now()
			x.server.Loads.FirstToken(a.firstChunkAt, &a.load)
		}
	case *agentv1.DispatchResponse_Head:
		a.failed = kind.Head.GetStatus() >= http.StatusInternalServerError
		x.succeeded = kind.Head.GetStatus() < http.StatusMultipleChoices
	case *agentv1.DispatchResponse_Broken:
		a.failed = true
		x.recordProcessExit(kind.Broken.GetEndedRun())
	case *agentv1.DispatchResponse_Refused:
		x.server.metrics.recordAgentRefusal(kind.Refused.GetKind())
		if kind.Refused.GetKind() == string(fault.RateLimited) {
			x.server.RateLimits.blockFor(x.target.Endpoint, time.Duration(kind.Refused.GetRetryAfterMs())*time.Millisecond)
		}
	}
}

// closeAttempt ends the attempt in progress, if there is one, and records its result for the
// endpoint.
func (x *exchange) closeAttempt() {
	a := x.attempt
	if a == nil {
		return
	}
	x.attempt = nil
	a.receiveTimer.Stop()
	a.cancel()
	a.span.End()
	a.endProbe()
	s, now := x.server, x.now()
	s.Quarantine.AttemptEnded(now, x.request.fingerprint)
	s.Loads.Done(now, &a.load, load.Result{Failed: a.failed, Tokens: a.chunks})
	if a.chunks == 0 && !a.failed {
		return
	}
	s.Outliers.Observe(now, x.peerGroup, a.load.ID, outlier.Sample{Failed: a.failed, Latency: x.normalizedLatency(a, now)})
	if _, known := s.Targets.Renew(x.target); !known {
		s.Outliers.Forget(a.load.ID)
	}
}

// normalizedLatency returns the latency of an attempt normalized by its size, which is comparable
// among peers: the mean time per chunk of a stream, or the duration of a service call. It is zero if
// the attempt says nothing about it, and for engines that report their own step times, by which they
// are compared.
func (x *exchange) normalizedLatency(a *attempt, now time.Duration) time.Duration {
	switch {
	case a.failed, x.server.Loads.ReportsOwnStep(a.load.ID):
		return 0
	case x.request.stream && a.chunks > 1:
		return (now - a.firstChunkAt) / time.Duration(a.chunks-1)
	case x.request.kind == "service":
		return now - a.sentAt
	}
	return 0
}
