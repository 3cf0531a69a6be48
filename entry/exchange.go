package entry

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/lilackeel/lilackeel/answer"
	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/endpoint/pick"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/telemetry"
)

// machine is the state machine that decides on the steps of a call. Both state machines of package
// call implement it.
type machine interface {
	Start(now time.Duration) call.Action
	Picked(now time.Duration, t call.Target) call.Action
	PickFailed(now time.Duration, f *fault.Error) call.Action
	Response(now time.Duration, r *agentv1.DispatchResponse) call.Action
	Interrupted(now time.Duration, f *fault.Error, notRun bool) call.Action
	Counts() call.Counts
}

// exchange executes the decisions of a machine for one request.
type exchange struct {
	server     *Server
	request    *request
	machine    machine
	repeatable *call.Repeatable
	atMostOnce *call.AtMostOnce
	delivery   *delivery
	// callerCtx ends when the caller disconnects or the deadline passes. workCtx is the same for a
	// repeatable call. For a claimed call it never ends by itself, so that the outcome of the call
	// can be recorded, and each use of it sets its own timeout.
	callerCtx, workCtx context.Context
	attempt            *attempt
	target             call.Target
	// peerGroup is the name of the group of endpoints that are comparable with the target.
	peerGroup string
	explain   pick.Explain
	verdict   *call.Verdict
	startedAt time.Duration
	// succeeded is true if the last attempt was answered with a success status; endedUnanswered is
	// true if an endpoint crashed before it answered the request, see errEndedUnanswered.
	succeeded, endedUnanswered bool
}

// claimRecordTimeout is the timeout of each step of recording a claimed call whose caller already
// has its answer. It may exceed the deadline of the request.
const claimRecordTimeout = 15 * time.Second

// run admits a parsed request and runs it to its end.
func (s *Server) run(w http.ResponseWriter, r *http.Request, q *request) {
	q.fingerprint = call.FingerprintOf(q.workspace.GetName(), q.method, q.requestURI, q.body)
	if refusal := s.quarantineRefusal(q); refusal != nil {
		s.refuse(w, r, q.refusal(refusal))
		return
	}
	x := &exchange{server: s, request: q, startedAt: s.now(), delivery: newDelivery(w, s.config.WriteTimeout, q.id)}
	remaining := q.deadline - x.startedAt
	callerCtx, cancel := context.WithTimeout(r.Context(), remaining)
	defer cancel()
	x.callerCtx = callerCtx
	release, err := s.Admitter.Admit(callerCtx, AdmissionRequest{
		Workspace: q.workspace.GetName(), Pool: q.pick.Pool, Priority: q.priority,
		Tokens: q.work.PromptTokens + q.work.MaxTokens, Deadline: remaining,
	})
	if err != nil {
		s.refuse(w, r, q.refusal(err))
		return
	}
	defer release()
	x.prepare()
	defer x.closeAttempt()
	if !x.runActions() {
		answer.Abort(w, r)
	}
}

// refusal returns the verdict on a request that was not admitted. It says nothing about an earlier
// request with the same idempotency key.
func (q *request) refusal(err error) *call.Verdict {
	f := fault.From(err)
	if f.RetryAfter == 0 {
		f = f.RetryIn(call.DefaultRetryAfter)
	}
	if q.keyFromCaller && !q.repeatable {
		f = call.WithKeepKeyAdvice(f)
	}
	return call.Refuse(f)
}

// prepare creates the state machine of the request.
func (x *exchange) prepare() {
	s, q := x.server, x.request
	options := call.Options{
		RequestID: q.dispatchID, Deadline: q.deadline, Stream: q.stream,
		Policy: s.policy, Budget: s.budget, Rand: sharedRand,
	}
	q.pick.Workspace = q.workspace.GetName()
	q.pick.Zone = s.config.Zone
	q.pick.Priority = q.priority
	if q.repeatable {
		x.workCtx = x.callerCtx
		x.repeatable = call.NewRepeatable(options)
		x.machine = x.repeatable
		return
	}
	x.workCtx = context.WithoutCancel(x.callerCtx)
	x.delivery.w.Header().Set(call.HeaderIdempotencyKey, q.idempotencyKey)
	x.atMostOnce = call.NewAtMostOnce(call.AtMostOnceOptions{
		Options: options, Workspace: q.workspace.GetName(), Key: q.idempotencyKey,
		Digest: call.Digest(q.method, q.requestURI, q.body), CallerKey: q.keyFromCaller, ClaimIDPrefix: q.localID,
	})
	x.machine = x.atMostOnce
}

// runActions executes actions until the caller has the final answer. It returns false if the
// connection must be aborted. The recording of a claimed call continues in the background after
// the caller has its answer.
func (x *exchange) runActions() bool {
	intact := true
	action := x.machine.Start(x.now())
	for {
		if !x.deliver(&action) {
			intact = false
		}
		if x.verdict != nil {
			break
		}
		action = x.next(&action)
	}
	x.recordOutcome()
	x.closeAttempt()
	if action.Kind != call.Finish {
		x.server.pendingRecords.Go(func() { x.finishRecord(action) })
	}
	return intact
}

// finishRecord executes the actions that remain after the caller has the final answer.
func (x *exchange) finishRecord(action call.Action) {
	for action.Kind != call.Finish {
		action = x.next(&action)
	}
}

// next executes an action after its delay and returns the one that follows.
func (x *exchange) next(a *call.Action) call.Action {
	x.delay(a.Delay)
	return x.step(a)
}

func (x *exchange) now() time.Duration { return x.server.now() }

// deliver writes the output of an action to the caller. It returns false if the connection must be
// aborted.
func (x *exchange) deliver(a *call.Action) bool {
	d := x.delivery
	isComplete := a.Head != nil && a.Verdict != nil && a.Verdict.Outcome == call.Answered
	switch {
	case isComplete:
		d.writeComplete(a.Head, a.Data, a.Verdict)
	case a.Head != nil:
		d.start(a.Head)
		d.writeChunks(a.Data)
	default:
		d.writeChunks(a.Data)
	}
	if a.Verdict == nil {
		return true
	}
	if x.verdict == nil {
		x.verdict = a.Verdict
	}
	return d.finish(a.Verdict)
}

// delay waits before an action. It returns early if a repeatable call ends; the delays of a claimed
// call are bounded only by its policy.
func (x *exchange) delay(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-x.workCtx.Done():
	}
}

// step executes one action and returns the next.
func (x *exchange) step(a *call.Action) call.Action {
	if abandoned, ok := x.abandonIfGone(a); ok {
		return abandoned
	}
	switch a.Kind {
	case call.Pick:
		return x.pick(a)
	case call.Claim:
		return x.claim(a)
	case call.Dispatch:
		return x.dispatch(a)
	case call.Receive:
		return x.receive(a)
	case call.Revoke:
		return x.revoke(a)
	default:
		return x.settle(a)
	}
}

// abandonIfGone ends a call whose caller has disconnected. It returns false if the call
// continues, as a claimed call that has been dispatched does, so that its outcome is recorded.
func (x *exchange) abandonIfGone(a *call.Action) (call.Action, bool) {
	if x.verdict != nil {
		return call.Action{}, false
	}
	gone := x.delivery.err != nil || context.Cause(x.callerCtx) == context.Canceled
	if !gone {
		return call.Action{}, false
	}
	if x.repeatable != nil {
		return x.repeatable.Abandon(x.now()), true
	}
	return x.atMostOnce.Abandon(x.now(), a)
}

func (x *exchange) pick(a *call.Action) call.Action {
	_, span := telemetry.StartSpan(x.callerCtx, "pick")
	defer span.End()
	x.closeAttempt()
	if refusal := x.retryRefusal(); refusal != nil {
		return x.repeatable.GiveUp(x.now(), refusal)
	}
	target, err := x.chooseTarget(a.Exclude)
	if err != nil {
		return x.machine.PickFailed(x.now(), fault.From(err))
	}
	return x.machine.Picked(x.now(), target)
}

// chooseTarget picks an endpoint that is not excluded. A claimed call needs one whose agent has
// issued a ticket.
func (x *exchange) chooseTarget(exclude []string) (call.Target, error) {
	q, s := x.request, x.server
	wanted := q.pick
	wanted.Exclude = slices.Concat(exclude, s.RateLimits.Blocked())
	for {
		wanted.Deadline = q.deadline - x.now()
		chosen, explain, err := s.Picker.Pick(x.now(), sharedRand, &wanted)
		if fault.Is(err, fault.NotFound) && wanted.Version != "" {
			// The version has been accepted, but no endpoint has loaded it yet.
			wanted.Version = ""
			continue
		}
		if err != nil {
			return call.Target{}, x.pickFault(err)
		}
		target, ticketed := s.Targets.Resolve(&chosen)
		if x.atMostOnce != nil && !ticketed {
			wanted.Exclude = append(wanted.Exclude[:len(wanted.Exclude):len(wanted.Exclude)], chosen.ID)
			continue
		}
		x.target, x.explain, x.peerGroup = target, explain, peerGroupOf(&chosen)
		return target, nil
	}
}

// pickFault returns the fault of a request for which no endpoint was picked. If only rate limits or
// pauses prevent it, the fault tells when to retry.
func (x *exchange) pickFault(err error) error {
	if refusal := x.server.RateLimits.Refusal(x.request.pick.Pool); refusal != nil {
		return refusal
	}
	return err
}

func (x *exchange) claim(a *call.Action) call.Action {
	q, s := x.request, x.server
	ctx, span := telemetry.StartSpan(x.callerCtx, "claim", attribute.String("endpoint", a.Target.Endpoint))
	startedAt := x.now()
	response, err := s.Claims.Claim(ctx, &controlv1.ClaimRequest{
		Workspace: q.workspace.GetName(), Key: q.idempotencyKey, Digest: call.Digest(q.method, q.requestURI, q.body), ClaimId: a.ClaimID,
		Endpoint: a.Target.Endpoint, Agent: a.Target.Agent, Incarnation: a.Target.Incarnation, AgentAddr: a.Target.AgentAddr,
	})
	telemetry.EndSpan(span, err)
	s.metrics.claimSeconds.Update((x.now() - startedAt).Seconds())
	return x.atMostOnce.Claimed(x.now(), response, faultOrNil(err))
}

func (x *exchange) revoke(a *call.Action) call.Action {
	ctx, cancel := x.claimCallContext()
	defer cancel()
	response, err := x.server.Agents.Revoke(ctx, a.Target.AgentAddr, &agentv1.RevokeRequest{ClaimId: a.ClaimID, Incarnation: a.Target.Incarnation})
	x.server.metrics.revokes.Inc()
	return x.atMostOnce.Revoked(x.now(), response, faultOrNil(err))
}

func (x *exchange) settle(a *call.Action) call.Action {
	x.closeAttempt()
	ctx, cancel := x.claimCallContext()
	defer cancel()
	_, err := x.server.Claims.Settle(ctx, &controlv1.SettleRequest{
		Workspace: x.request.workspace.GetName(), Key: x.request.idempotencyKey, ClaimId: a.ClaimID, State: a.State, Answer: a.Answer,
	})
	return x.atMostOnce.Settled(x.now(), faultOrNil(err))
}

// claimCallContext returns the context of one call that queries or records a claim. It may outlast
// the deadline if the caller already has the answer.
func (x *exchange) claimCallContext() (context.Context, context.CancelFunc) {
	if x.verdict != nil {
		return context.WithTimeout(x.workCtx, claimRecordTimeout)
	}
	return context.WithTimeout(x.workCtx, max(x.request.deadline-x.now(), time.Millisecond))
}

// recordOutcome records the outcome of the request in metrics and in the log.
func (x *exchange) recordOutcome() {
	s, q, v := x.server, x.request, x.verdict
	if v.Outcome == call.Answered && !v.Replayed {
		x.recordCompletion()
	}
	counts := x.machine.Counts()
	s.metrics.recordEnded(q.kind, v, counts, x.now()-x.startedAt)
	level := slog.LevelInfo
	switch {
	case v.Outcome == call.Unknown:
		level = slog.LevelWarn
	case v.Outcome == call.Answered && !s.config.AccessLog:
		return
	}
	attrs := []slog.Attr{
		slog.String("request_id", q.id), slog.Any("fingerprint", q.fingerprint), slog.String("dispatch_id", q.dispatchID),
		slog.String("workspace", q.workspace.GetName()), slog.String("endpoint", x.target.Endpoint),
		slog.Int("attempt", counts.Attempts), slog.Uint64("revision", q.directory.Revision),
		slog.String("outcome", v.Outcome.String()), slog.Duration("took", x.now()-x.startedAt),
	}
	if v.Fault != nil {
		attrs = append(attrs, slog.String("kind", string(v.Fault.Kind)), slog.String("message", v.Fault.Error()))
	}
	s.Logger.LogAttrs(x.callerCtx, level, "ended a request", attrs...)
}

func faultOrNil(err error) *fault.Error {
	if err == nil {
		return nil
	}
	return fault.From(err)
}
