package entry

import (
	"context"
	"errors"
	"io"
	"log/slog"
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

// attempt is one dispatch that is under way.
type attempt struct {
	stream Stream
	cancel context.CancelFunc
	// silence ends the attempt when it fires; timedOut says that it did.
	silence  *time.Timer
	timedOut atomic.Bool
	span     trace.Span
	load     load.Call
	// started is when it was sent, first when its first part came.
	started, first time.Duration
	// parts counts the parts of the body.
	parts int
	// failed is true when the endpoint is to blame.
	failed bool
}

// dispatch sends one attempt and waits for its first response.
func (x *exchange) dispatch(a *call.Action) call.Action {
	x.closeAttempt()
	target := a.Target
	if a.Offset > 0 {
		target = x.redirect(target)
	}
	x.target = target
	ctx, span := telemetry.Span(x.work, "dispatch", attribute.String("endpoint", target.Endpoint), attribute.Int("attempt", int(a.Attempt)))
	ctx, cancel := context.WithCancel(ctx)
	s := x.server
	x.attempt = &attempt{
		cancel: cancel, span: span, started: x.now(),
		load: s.Loads.Sent(x.now(), target.Endpoint, x.request.work),
	}
	s.Quarantine.Sent(x.attempt.started, x.request.fingerprint)
	if len(x.request.pick.Prompt) > 0 && a.Offset == 0 {
		s.Index.Sent(x.now(), target.Endpoint, x.request.pick.Prompt)
	}
	x.attempt.silence = time.AfterFunc(x.receiveTimeout(a), x.attempt.timeOut)
	s.RateLimits.sent(target.Endpoint, a.Attempt > 1)
	stream, err := s.Agents.Dispatch(ctx, target.AgentAddr, x.message(a, target))
	if err != nil {
		return x.cut(err)
	}
	x.attempt.stream = stream
	return x.receive(a)
}

// timeOut ends an attempt that has been silent for too long.
func (a *attempt) timeOut() {
	a.timedOut.Store(true)
	a.cancel()
}

// redirect finds the present agent of an endpoint whose stream is resumed.
func (x *exchange) redirect(old call.Target) call.Target {
	if fresh, ok := x.server.Knowledge.Renew(old); ok {
		return x.repeat.UpdateTarget(fresh)
	}
	return old
}

// message is what the agent gets.
func (x *exchange) message(a *call.Action, target call.Target) *agentv1.DispatchRequest {
	q := x.request
	m := &agentv1.DispatchRequest{
		RequestId: q.dispatchID, Attempt: a.Attempt, Endpoint: target.Endpoint, Incarnation: target.Incarnation,
		Freshness: x.server.Knowledge.Freshness(target.AgentAddr), Workspace: q.workspace.GetName(), Priority: int32(q.priority),
		Method: q.method, Path: q.target, Headers: x.headers(a), Body: q.body, RateLimit: x.server.RateLimits.message(target.Endpoint),
		TimeoutMs: max((q.deadline - x.now()).Milliseconds(), 1), ResumeOffset: a.Offset, Entry: x.server.config.Name,
	}
	if a.ClaimID != "" {
		m.ClaimId = a.ClaimID
		m.ClaimTicketNs = target.TicketNS
	}
	return m
}

// headers returns the headers that the endpoint gets.
func (x *exchange) headers(a *call.Action) []*controlv1.Header {
	headers := forwardedHeaders(x.request.header)
	if x.request.header.Get(call.HeaderRequestID) == "" {
		headers = append(headers, &controlv1.Header{Name: call.HeaderRequestID, Value: x.request.id})
	}
	if x.single != nil && !x.request.callerKey {
		headers = append(headers, &controlv1.Header{Name: call.HeaderIdempotencyKey, Value: x.request.key})
	}
	if a.Offset > 0 && x.repeat.StreamID() != "" {
		headers = append(headers, &controlv1.Header{Name: engineapi.HeaderStreamID, Value: x.repeat.StreamID()})
	}
	return headers
}

// receive waits for the next response of the attempt.
func (x *exchange) receive(a *call.Action) call.Action {
	x.attempt.silence.Reset(x.receiveTimeout(a))
	response, err := x.attempt.stream.Recv()
	// The time that the caller takes to read is not the endpoint's silence.
	x.attempt.silence.Stop()
	if err != nil {
		return x.cut(err)
	}
	x.observe(response)
	return x.machine.Response(x.now(), response)
}

// receiveTimeout bounds the wait for the next response of the attempt.
func (x *exchange) receiveTimeout(a *call.Action) time.Duration {
	left := max(x.request.deadline-x.now(), time.Millisecond)
	if a.ReceiveTimeout > 0 {
		return min(a.ReceiveTimeout, left)
	}
	return left
}

// cut reports an attempt that ended without its answer.
func (x *exchange) cut(err error) call.Action {
	f := fault.From(err)
	left := context.Cause(x.caller) != nil && x.repeat != nil
	if errors.Is(err, io.EOF) {
		f = fault.New(fault.Unknown, "the answer was cut: the agent ended it early", "ask again")
	}
	if x.attempt.timedOut.Load() && !left {
		f = fault.New(fault.Unknown, "the endpoint did not answer in time", "ask again, or allow more time")
	}
	notRun := f.Kind != fault.Unknown && f.Kind != fault.Internal && x.attempt.parts == 0
	x.attempt.failed = !left && x.now() < x.request.deadline
	return x.machine.Interrupted(x.now(), f, notRun)
}

// observe learns from a response how the endpoint does.
func (x *exchange) observe(r *agentv1.DispatchResponse) {
	a := x.attempt
	switch kind := r.GetKind().(type) {
	case *agentv1.DispatchResponse_Chunk:
		a.parts++
		if a.parts == 1 {
			a.first = x.now()
			x.server.Loads.FirstToken(a.first, &a.load)
		}
	case *agentv1.DispatchResponse_Head:
		a.failed = kind.Head.GetStatus() >= http.StatusInternalServerError
	case *agentv1.DispatchResponse_Broken:
		a.failed = true
		x.noteEnded(kind.Broken.GetEndedRun())
	case *agentv1.DispatchResponse_Refused:
		x.server.metrics.refusedByAgent(kind.Refused.GetKind())
		if kind.Refused.GetKind() == string(fault.RateLimited) {
			x.server.RateLimits.refused(x.target.Endpoint, time.Duration(kind.Refused.GetRetryAfterMs())*time.Millisecond)
		}
	}
}

// noteEnded takes in that the endpoint's process has ended under the attempt, if it has: run
// names what it was then.
func (x *exchange) noteEnded(run string) {
	if run == "" {
		return
	}
	x.server.metrics.endedUnder.Inc()
	change := x.server.Quarantine.Ended(x.now(), x.request.fingerprint, run)
	x.server.Logger.LogAttrs(x.caller, slog.LevelInfo, "an endpoint ended under a request",
		slog.String("request_id", x.request.id), slog.Any("fingerprint", x.request.fingerprint), slog.String("endpoint", run),
		slog.Duration("ran", x.now()-x.attempt.started), slog.Int("ends", change.Ends), slog.Duration("hold", change.Hold))
}

// noteCompleted notes that an endpoint has run the request to its end. Agents name a run only once
// it has ended.
func (x *exchange) noteCompleted() {
	if cleared := x.server.Quarantine.Completed(x.now(), x.begun, x.request.fingerprint, ""); cleared > 0 {
		x.server.Logger.LogAttrs(x.caller, slog.LevelInfo, "cleared a request",
			slog.String("request_id", x.request.id), slog.Any("fingerprint", x.request.fingerprint), slog.Int("ends", cleared))
	}
}

// closeAttempt ends the attempt under way, if there is one, and notes how the
// endpoint did.
func (x *exchange) closeAttempt() {
	a := x.attempt
	if a == nil {
		return
	}
	x.attempt = nil
	a.silence.Stop()
	a.cancel()
	a.span.End()
	s, now := x.server, x.now()
	s.Quarantine.Left(now, x.request.fingerprint)
	s.Loads.Done(now, &a.load, load.Result{Failed: a.failed, Tokens: a.parts})
	if a.parts == 0 && !a.failed {
		return
	}
	s.Outliers.Observe(now, x.peers, a.load.ID, outlier.Sample{Failed: a.failed, Latency: x.pace(a, now)})
	if _, known := s.Knowledge.Renew(x.target); !known {
		s.Outliers.Forget(a.load.ID)
	}
}

// pace is the time of an attempt divided by its size, comparable among peers:
// the time of one part of a stream, or of a service's call. Engines that report
// their own step times are judged by those.
func (x *exchange) pace(a *attempt, now time.Duration) time.Duration {
	switch {
	case a.failed, x.server.Loads.ReportsOwnStep(a.load.ID):
		return 0
	case x.request.stream && a.parts > 1:
		return (now - a.first) / time.Duration(a.parts-1)
	case x.request.kind == "service":
		return now - a.started
	}
	return 0
}
