package routed

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/lilackeel/lilackeel/answer"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/direct"
	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/eventstream"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/site"
	"github.com/lilackeel/lilackeel/telemetry"
	"github.com/lilackeel/lilackeel/wait"
	"github.com/lilackeel/lilackeel/workspace"
)

// responseGrace is how long after its deadline an endpoint's own timeout response is still
// accepted: the endpoint knows what became of the request.
const responseGrace = 100 * time.Millisecond

// exchange processes one request until it ends.
type exchange struct {
	server  *Server
	request *request
	machine *call.Direct
	w       http.ResponseWriter
	control *http.ResponseController
	// callerCtx is done when the caller leaves.
	callerCtx context.Context
	// tried lists the endpoints to which the request was sent or that could not be reached.
	tried []string
	// splitter splits a stream into events; headWritten is true once the response has begun.
	splitter    eventstream.Splitter
	headWritten bool
	// target is the endpoint of the current attempt.
	target  endpoint.Endpoint
	outcome string
	reason  string
	// retryAfter is the delay before a retry that a refused caller was told.
	retryAfter time.Duration
	// admissionTime and timeToFirstChunk are the times from the arrival of the request to its
	// admission and to the first chunk of its response; longestGap is the longest gap between
	// chunks.
	admissionTime, timeToFirstChunk, longestGap time.Duration
	// lastChunkAt is when the last chunk arrived.
	lastChunkAt time.Duration
}

// run processes the request. It returns false if the caller's connection must be aborted.
func (x *exchange) run() bool {
	s, q := x.server, x.request
	x.machine = call.NewDirect(call.DirectOptions{
		Deadline: q.deadline, Repeatable: site.Repeatable(q.route), MaxAttempts: int(q.route.GetMaxAttempts()),
		Backoff: s.config.Backoff, RetryAfter: s.config.RetryAfter, Budget: s.Budget, Rand: sharedRand,
	})
	if refusal := s.quarantineRefusal(q); refusal != nil {
		return x.finishWithVerdict(x.machine.FailureVerdict(s.clock(), refusal))
	}
	admitCtx, cancel := context.WithTimeout(x.callerCtx, max(q.deadline-s.clock(), 0))
	release, err := x.admit(admitCtx)
	cancel()
	if err != nil {
		return x.finishWithVerdict(x.machine.FailureVerdict(s.clock(), fault.From(err)))
	}
	defer release()
	x.admissionTime = s.clock() - q.arrived
	if last, err := strconv.ParseInt(q.header.Get(headerLastEvent), 10, 64); err == nil {
		x.splitter.StartAfter(last)
	}
	for {
		result := x.attempt()
		if result.done {
			return x.finishDelivered(result)
		}
		decision := result.decision
		switch {
		case decision.Retry:
		case result.final:
			decision = call.RetryDecision{Verdict: x.machine.AttemptFailedFinally(s.clock(), result.fault)}
		case result.rerouted:
			decision = x.machine.AttemptRerouted(s.clock(), result.fault)
		default:
			decision = x.machine.AttemptFailed(s.clock(), result.attemptOutcome, result.fault)
		}
		if x.callerCtx.Err() != nil {
			return x.finishDelivered(attemptResult{done: true, abort: true, outcome: "caller left"})
		}
		if !decision.Retry {
			return x.finishWithVerdict(decision.Verdict)
		}
		x.logRetry(result.fault, decision.Delay)
		wait.For(x.callerCtx, decision.Delay)
	}
}

// admit waits for capacity. Requests that can still be served on time go first: the same
// number of requests is served either way, so as many as possible should be on time. Requests
// that are already late, and those that would otherwise be refused, get the remaining
// capacity: a late response is better than none.
func (x *exchange) admit(ctx context.Context) (release func(), err error) {
	s, q := x.server, x.request
	r := workspace.Request{
		Workspace: q.workspace.GetName(), Priority: -q.priority, Level: q.level,
		Deadline: q.deadline, ExpectedTokens: q.work.PromptTokens + q.work.MaxTokens,
	}
	if refusal := x.pausedRefusal(); refusal != nil {
		return nil, refusal
	}
	r.MaxWait = s.firstChunkTimes.maxQueueWait(q)
	if q.onTime() {
		release, err = s.Admitter.AdmitOnTime(ctx, q.pool, r)
		if err == nil || !fault.Is(err, fault.Overloaded) {
			return release, err
		}
		r.Refused = true
	}
	// The time spent waiting for the first site counts.
	left := q.lateQueueWait() - (s.clock() - q.arrived)
	return s.Admitter.AdmitLate(ctx, q.pool, r, max(left, minWait))
}

// pausedRefusal rejects a request immediately if its pool is paused for longer than the
// request can wait.
func (x *exchange) pausedRefusal() error {
	s, q := x.server, x.request
	reopens := s.placement.Load().reopensAt[q.pool]
	if reopens-s.clock() <= q.lateQueueWait() {
		return nil
	}
	if refusal := s.RateLimits.Refusal(q.pool); refusal != nil {
		return refusal
	}
	return nil
}

// minWait lets a request use capacity that is free now without waiting.
const minWait = time.Nanosecond

// attemptResult is the result of an attempt.
type attemptResult struct {
	// done is true if nothing more is sent to the caller; abort then closes its connection.
	done, abort bool
	outcome     string
	// attemptOutcome and fault describe an attempt without a complete response; decision is set if
	// the retry state machine has already been informed.
	attemptOutcome call.AttemptOutcome
	fault          *fault.Error
	decision       call.RetryDecision
	// rerouted is set if the attempt was cancelled to retry at another endpoint; the retry has
	// been withdrawn from the budget.
	rerouted bool
	// final is set if the request must not be sent to another endpoint.
	final bool
}

func failed(o call.AttemptOutcome, f *fault.Error) attemptResult {
	return attemptResult{attemptOutcome: o, fault: f}
}

// attempt sends the request to one endpoint and delivers the response.
func (x *exchange) attempt() attemptResult {
	s, q := x.server, x.request
	// The request, or another one with the same part, may have crashed an endpoint since it was
	// admitted, here or elsewhere.
	if refusal := s.quarantineRefusal(q); refusal != nil {
		return x.verdictResult(x.machine.FailureVerdict(s.clock(), refusal))
	}
	target, err := x.pick()
	if err != nil {
		return x.noEndpointResult(fault.From(err))
	}
	x.target = target
	x.tried = append(x.tried, target.ID)
	ctx, span := telemetry.StartSpan(x.workContext(), "dispatch", attribute.String("endpoint", target.ID))
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, max(q.deadline-s.clock(), 0)+responseGrace)
	defer cancel()
	s.metrics.attempts.Inc()
	a := &attempt{exchange: x, started: s.clock(), endProbe: func() {}, group: groupOf(s.Groups, &target), load: s.Loads.Sent(s.clock(), target.ID, q.work)}
	s.Groups.Sent(a.started, a.group)
	defer s.Groups.Done(a.group)
	s.Quarantine.AttemptStarted(a.started, q.fingerprint)
	defer func() { s.Quarantine.AttemptEnded(s.clock(), q.fingerprint) }()
	defer a.watch(cancel)()
	defer func() { a.endProbe() }()
	response, err := s.Client.Send(ctx, target.Addr, a.buildRequest(&target))
	if a.stopped != nil {
		a.recordResult(false)
		return failed(call.Unsent, a.stopped)
	}
	if err != nil {
		return a.handleSendError(fault.From(err))
	}
	defer func() { _ = response.Body.Close() }()
	return a.handleResponse(response)
}

// workContext returns the context of an attempt. It is done when the caller leaves, except for
// calls that must not be interrupted.
func (x *exchange) workContext() context.Context {
	if x.request.route.GetKind() == fleetv1.CallKind_CALL_KIND_SINGLE {
		return context.WithoutCancel(x.callerCtx)
	}
	return x.callerCtx
}

// noEndpointResult ends a request for which there is no endpoint.
func (x *exchange) noEndpointResult(f *fault.Error) attemptResult {
	now := x.server.clock()
	if f.Kind == fault.NotFound {
		// The pool is part of the site, so its endpoints have not been announced yet.
		f = fault.New(fault.Unavailable, "no endpoint of the pool is known", "retry after the given time")
	}
	return x.verdictResult(x.machine.FailureVerdict(now, f))
}

// buildRequest returns the request for the endpoint.
func (a *attempt) buildRequest(target *endpoint.Endpoint) *direct.Request {
	x, s, q := a.exchange, a.server, a.request
	names := s.config.Headers
	header := forwardedHeaders(q.header, s.consumedHeaders)
	header.Set(call.HeaderRequestID, q.id)
	left := max(q.deadline-s.clock(), time.Millisecond)
	setNamed(header, names.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	setNamed(header, names.Endpoint, target.ID)
	if q.workspace != nil {
		setNamed(header, names.Workspace, q.workspace.GetName())
	}
	if q.engineRank != "" {
		setNamed(header, names.Priority, q.engineRank)
	}
	if last, ok := x.splitter.LastID(); ok {
		header.Set(headerLastEvent, strconv.FormatInt(last, 10))
	} else if given := q.header.Values(headerLastEvent); len(given) > 0 {
		header[headerLastEvent] = given
	}
	return &direct.Request{
		Method: q.method, Target: q.target, Host: q.host, ID: q.id, Header: header, Body: q.body,
		BeforeSend: a.checkBeforeSend, OnEarlyEnd: a.recordEarlyEnd,
	}
}

// errPausedBeforeSend ends an attempt whose endpoint asked for a pause while the connection
// was being established.
var errPausedBeforeSend = fault.New(fault.RateLimited, "not run: the endpoint accepts no requests at the moment", "retry after the given time")

// checkBeforeSend returns an error if the request must not be sent after all: while the connection
// was being established, the endpoint may have asked for a pause, or the request may have been
// quarantined.
func (a *attempt) checkBeforeSend() error {
	s, q := a.server, a.request
	if s.RateLimits.InPause(a.target.ID) {
		a.stopped = errPausedBeforeSend
		return a.stopped
	}
	if refusal := s.Quarantine.Refusal(s.clock(), q.fingerprint); refusal != nil {
		a.stopped = refusal
		return a.stopped
	}
	end, refusal := s.Quarantine.Parts().BeginAttempt(s.clock(), q.parts)
	if refusal != nil {
		a.stopped = refusal.Fault
		return a.stopped
	}
	a.endProbe = end
	return nil
}

func setNamed(header http.Header, name, value string) {
	if name != "" {
		header.Set(name, value)
	}
}

// verdictResult ends the request with a verdict and returns the result of the attempt.
func (x *exchange) verdictResult(v *call.Verdict) attemptResult {
	clean := x.finishWithVerdict(v)
	return attemptResult{done: true, abort: !clean, outcome: ""}
}

// finishWithVerdict ends a request without a complete response. It returns false if the
// caller's connection must be aborted.
func (x *exchange) finishWithVerdict(v *call.Verdict) bool {
	s, q := x.server, x.request
	x.outcome, x.reason, x.retryAfter = v.Outcome.String(), v.Fault.Error(), v.Fault.RetryAfter
	if x.headWritten {
		return x.logEnd(0, false)
	}
	x.w.Header().Set(call.HeaderRequestID, q.id)
	x.setWriteDeadline()
	if err := answer.WriteVerdict(x.w, q.id, v, s.config.RetryAfterFormat); err != nil {
		return x.logEnd(v.HTTPStatus(), false)
	}
	return x.logEnd(v.HTTPStatus(), true)
}

// finishDelivered ends a request whose last attempt delivered a response or part of one.
func (x *exchange) finishDelivered(r attemptResult) bool {
	if r.outcome == "" {
		// The verdict has already been sent and logged.
		return !r.abort
	}
	x.outcome = r.outcome
	if r.fault != nil {
		x.reason = r.fault.Error()
	}
	return x.logEnd(0, !r.abort)
}

func (x *exchange) logEnd(status int, clean bool) bool {
	s, q := x.server, x.request
	took := s.clock() - q.arrived
	s.metrics.recordEnded(q.pool, x.outcome, took)
	if x.outcome == call.Answered.String() && !s.config.AccessLog {
		return clean
	}
	s.Logger.LogAttrs(x.callerCtx, slog.LevelInfo, "ended a request",
		slog.String("request_id", q.id), slog.Any("fingerprint", q.fingerprint), slog.String("route", q.route.GetName()), slog.Uint64("version", q.siteVersion),
		slog.String("workspace", q.workspace.GetName()), slog.String("pool", q.pool), slog.Int("priority_level", q.level), slog.String("endpoint", x.target.ID),
		slog.Int("attempts", len(x.tried)), slog.String("outcome", x.outcome), slog.Int("status", status),
		slog.Duration("placed", x.admissionTime), slog.Duration("first", x.timeToFirstChunk), slog.Duration("longest_pause", x.longestGap),
		slog.Duration("took", took), slog.Duration("left", q.deadline-s.clock()),
		slog.Duration("retry_after", x.retryAfter), slog.String("reason", x.reason))
	return clean
}

// logRetry logs that the request is retried, and why.
func (x *exchange) logRetry(f *fault.Error, delay time.Duration) {
	x.server.Logger.LogAttrs(x.callerCtx, slog.LevelInfo, "trying again",
		slog.String("request_id", x.request.id), slog.Any("fingerprint", x.request.fingerprint), slog.String("endpoint", x.target.ID), slog.Int("attempts", len(x.tried)),
		slog.Duration("delay", delay), slog.String("reason", f.Error()))
}

// setWriteDeadline limits the time of the next write to the caller.
func (x *exchange) setWriteDeadline() {
	_ = x.control.SetWriteDeadline(time.Now().Add(x.server.config.WriteTimeout))
}

// lockedSource is a random source that is safe for concurrent use.
type lockedSource struct{}

// Uint64 implements rand.Source.
func (lockedSource) Uint64() uint64 { return rand.Uint64() }

// sharedRand randomizes backoff delays and endpoint selection.
var sharedRand = rand.New(lockedSource{})
