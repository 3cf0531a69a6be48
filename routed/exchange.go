package routed

import (
	"context"
	"errors"
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

// answerGrace is how long an endpoint's own word on the end of the time may come
// after the deadline that it was given: it knows what became of the request.
const answerGrace = 100 * time.Millisecond

// exchange brings one request to its end.
type exchange struct {
	server  *Server
	request *request
	machine *call.Direct
	w       http.ResponseWriter
	control *http.ResponseController
	// caller ends when the caller leaves.
	caller context.Context
	// tried lists the endpoints that got the request, or could not be reached.
	tried []string
	// events cuts a stream into events; opened says that the answer has begun.
	events eventstream.Splitter
	opened bool
	// target is the endpoint of the present attempt.
	target  endpoint.Endpoint
	outcome string
	reason  string
	// retryAfter is when a refused caller is asked to come back.
	retryAfter time.Duration
	// placed, first and longest are the times from the request's arrival to its
	// place and to the first part of its answer, and its longest pause after that.
	placed, first, longest time.Duration
	// latest is when the last part of the answer came.
	latest time.Duration
}

// run returns false when the connection must be aborted.
func (x *exchange) run() bool {
	s, q := x.server, x.request
	x.machine = call.NewDirect(call.DirectOptions{
		Deadline: q.deadline, Repeatable: site.Repeatable(q.route), MaxAttempts: int(q.route.GetMaxAttempts()),
		Backoff: s.config.Backoff, RetryAfter: s.config.RetryAfter, Budget: s.Budget, Rand: sharedRand,
	})
	if held := s.Quarantine.Refusal(s.clock(), q.fingerprint); held != nil {
		return x.end(x.machine.FailureVerdict(s.clock(), held))
	}
	admitted, cancel := context.WithTimeout(x.caller, max(q.deadline-s.clock(), 0))
	release, err := x.admit(admitted)
	cancel()
	if err != nil {
		return x.end(x.machine.FailureVerdict(s.clock(), fault.From(err)))
	}
	defer release()
	x.placed = s.clock() - q.arrived
	if last, err := strconv.ParseInt(q.header.Get(headerLastEvent), 10, 64); err == nil {
		x.events.From(last)
	}
	for {
		result := x.attempt()
		if result.done {
			return x.report(result)
		}
		step := result.step
		switch {
		case step.Retry:
		case result.moved:
			step = x.machine.AttemptRerouted(s.clock(), result.fault)
		default:
			step = x.machine.AttemptFailed(s.clock(), result.progress, result.fault)
		}
		if x.caller.Err() != nil {
			return x.report(attemptResult{done: true, abort: true, outcome: "caller left"})
		}
		if !step.Retry {
			return x.end(step.Verdict)
		}
		x.logAgain(result.fault, step.Delay)
		wait.For(x.caller, step.Delay)
	}
}

// admit waits for a place. What can still be answered in time goes first: as many
// requests are served either way, so most are to be served in time. What is late
// already takes the places that are left, and so does what would be refused: an
// answer that comes late is better than none.
func (x *exchange) admit(ctx context.Context) (release func(), err error) {
	s, q := x.server, x.request
	r := workspace.Request{
		Workspace: q.workspace.GetName(), Priority: -q.priority, Deadline: q.deadline, ExpectedTokens: q.work.PromptTokens + q.work.MaxTokens,
	}
	if refusal := x.pausedRefusal(); refusal != nil {
		return nil, refusal
	}
	r.MaxWait = s.firsts.patience(q)
	if q.inTime() {
		release, err = s.Admitter.AdmitTo(ctx, q.pool, r)
		if err == nil || !fault.Is(err, fault.Overloaded) {
			return release, err
		}
	}
	// What the caller has waited for the first site of the entry counts.
	left := q.patience() - (s.clock() - q.arrived)
	return s.Admitter.AdmitLate(ctx, q.pool, r, max(left, oneLook))
}

// pausedRefusal refuses a request at once whose pool is in a pause that it cannot wait out.
func (x *exchange) pausedRefusal() error {
	s, q := x.server, x.request
	reopens := s.placement.Load().reopens[q.pool]
	if reopens-s.clock() <= q.patience() {
		return nil
	}
	if refusal := s.RateLimits.Refusal(q.pool); refusal != nil {
		return refusal
	}
	return nil
}

// oneLook is a patience that lets a request take what is free at once, and no more.
const oneLook = time.Nanosecond

// attemptResult is how an attempt ended.
type attemptResult struct {
	// done is true when the caller has all that it will get; abort then closes
	// its connection.
	done, abort bool
	outcome     string
	// progress and fault say what an attempt without a whole answer came to; step
	// is set when the machine has been told already.
	progress call.AttemptOutcome
	fault    *fault.Error
	step     call.RetryDecision
	// moved is set when the attempt was ended to go on at another endpoint, and its retry
	// has been taken out of the budget.
	moved bool
}

func failed(p call.AttemptOutcome, f *fault.Error) attemptResult {
	return attemptResult{progress: p, fault: f}
}

// attempt sends the request to one endpoint and delivers what comes.
func (x *exchange) attempt() attemptResult {
	s, q := x.server, x.request
	// The request may have ended an endpoint since it was let in, here or elsewhere.
	if held := s.Quarantine.Refusal(s.clock(), q.fingerprint); held != nil {
		return x.finish(x.machine.FailureVerdict(s.clock(), held))
	}
	target, err := x.pick()
	if err != nil {
		return x.notPicked(fault.From(err))
	}
	x.target = target
	x.tried = append(x.tried, target.ID)
	ctx, span := telemetry.Span(x.work(), "dispatch", attribute.String("endpoint", target.ID))
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, max(q.deadline-s.clock(), 0)+answerGrace)
	defer cancel()
	s.metrics.attempts.Inc()
	a := &attempt{exchange: x, started: s.clock(), group: groupOf(s.Groups, &target), load: s.Loads.Sent(s.clock(), target.ID, q.work)}
	s.Groups.Sent(a.started, a.group)
	defer s.Groups.Done(a.group)
	s.Quarantine.AttemptStarted(a.started, q.fingerprint)
	defer func() { s.Quarantine.AttemptEnded(s.clock(), q.fingerprint) }()
	defer a.watch(cancel)()
	response, err := s.Client.Send(ctx, target.Addr, x.message(&target))
	if errors.Is(err, errPausedMeanwhile) {
		a.done(false)
		return failed(call.Unsent, errPausedMeanwhile)
	}
	if err != nil {
		return a.unanswered(fault.From(err))
	}
	defer func() { _ = response.Body.Close() }()
	return a.answered(response)
}

// work is the context of the work for the request: it ends when the caller
// leaves, but for a call that must not be cut in the middle.
func (x *exchange) work() context.Context {
	if x.request.route.GetKind() == fleetv1.CallKind_CALL_KIND_SINGLE {
		return context.WithoutCancel(x.caller)
	}
	return x.caller
}

// notPicked ends a request for which there is no endpoint (any more).
func (x *exchange) notPicked(f *fault.Error) attemptResult {
	now := x.server.clock()
	if f.Kind == fault.NotFound {
		// The pool is of the site, so its endpoints are yet to come.
		f = fault.New(fault.Unavailable, "no endpoint of the pool is known", "ask again after the time given")
	}
	return x.finish(x.machine.FailureVerdict(now, f))
}

// message is what the endpoint gets.
func (x *exchange) message(target *endpoint.Endpoint) *direct.Request {
	s, q := x.server, x.request
	names := s.config.Headers
	header := forward(q.header, s.private)
	header.Set(call.HeaderRequestID, q.id)
	left := max(q.deadline-s.clock(), time.Millisecond)
	setNamed(header, names.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	setNamed(header, names.Endpoint, target.ID)
	if q.workspace != nil {
		setNamed(header, names.Workspace, q.workspace.GetName())
	}
	if last, ok := x.events.Last(); ok {
		header.Set(headerLastEvent, strconv.FormatInt(last, 10))
	} else if given := q.header.Values(headerLastEvent); len(given) > 0 {
		header[headerLastEvent] = given
	}
	return &direct.Request{
		Method: q.method, Target: q.target, Host: q.host, ID: q.id, Header: header, Body: q.body,
		Check: func() error { return x.checkPause(target.ID) },
	}
}

// errPausedMeanwhile ends an attempt whose endpoint has asked for a pause while its connection was
// set up.
var errPausedMeanwhile = fault.New(fault.RateLimited, "not run: the endpoint takes no more requests for now", "ask again after the time given")

// checkPause returns errPausedMeanwhile if an endpoint is in a pause.
func (x *exchange) checkPause(id string) error {
	if x.server.RateLimits.InPause(id) {
		return errPausedMeanwhile
	}
	return nil
}

func setNamed(header http.Header, name, value string) {
	if name != "" {
		header.Set(name, value)
	}
}

// finish gives the verdict within an attempt.
func (x *exchange) finish(v *call.Verdict) attemptResult {
	clean := x.end(v)
	return attemptResult{done: true, abort: !clean, outcome: ""}
}

// end gives the verdict on a request without a whole answer. It returns false
// when the connection must be aborted.
func (x *exchange) end(v *call.Verdict) bool {
	s, q := x.server, x.request
	x.outcome, x.reason, x.retryAfter = v.Outcome.String(), v.Fault.Error(), v.Fault.RetryAfter
	if x.opened {
		return x.logEnd(0, false)
	}
	x.w.Header().Set(call.HeaderRequestID, q.id)
	x.limit()
	if err := answer.Refuse(x.w, q.id, v, s.config.RetryStyle); err != nil {
		return x.logEnd(v.HTTPStatus(), false)
	}
	return x.logEnd(v.HTTPStatus(), true)
}

// report notes the end of a request whose last attempt has delivered something.
func (x *exchange) report(r attemptResult) bool {
	if r.outcome == "" {
		// The verdict has been given and logged.
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
	s.metrics.ended(q.pool, x.outcome, took)
	if x.outcome == call.Answered.String() && !s.config.AccessLog {
		return clean
	}
	s.Logger.LogAttrs(x.caller, slog.LevelInfo, "ended a request",
		slog.String("request_id", q.id), slog.Any("fingerprint", q.fingerprint), slog.String("route", q.route.GetName()), slog.Uint64("version", q.version),
		slog.String("workspace", q.workspace.GetName()), slog.String("pool", q.pool), slog.String("endpoint", x.target.ID),
		slog.Int("attempts", len(x.tried)), slog.String("outcome", x.outcome), slog.Int("status", status),
		slog.Duration("placed", x.placed), slog.Duration("first", x.first), slog.Duration("longest_pause", x.longest),
		slog.Duration("took", took), slog.Duration("left", q.deadline-s.clock()),
		slog.Duration("retry_after", x.retryAfter), slog.String("reason", x.reason))
	return clean
}

// logAgain logs that the request is tried anew, and why.
func (x *exchange) logAgain(f *fault.Error, delay time.Duration) {
	x.server.Logger.LogAttrs(x.caller, slog.LevelInfo, "trying again",
		slog.String("request_id", x.request.id), slog.Any("fingerprint", x.request.fingerprint), slog.String("endpoint", x.target.ID), slog.Int("attempts", len(x.tried)),
		slog.Duration("delay", delay), slog.String("reason", f.Error()))
}

// limit bounds the time that the caller takes for what is written next.
func (x *exchange) limit() {
	_ = x.control.SetWriteDeadline(time.Now().Add(x.server.config.WriteTimeout))
}

// lockedSource is a random source that is safe for concurrent use.
type lockedSource struct{}

// Uint64 implements rand.Source.
func (lockedSource) Uint64() uint64 { return rand.Uint64() }

// sharedRand spreads waits and choices.
var sharedRand = rand.New(lockedSource{})
