package entry

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/endpoint/pick"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/telemetry"
)

// machine decides about a call; both machines of package call are one.
type machine interface {
	Start(now time.Duration) call.Action
	Picked(now time.Duration, t call.Target) call.Action
	PickFailed(now time.Duration, f *fault.Error) call.Action
	Response(now time.Duration, r *agentv1.DispatchResponse) call.Action
	Cut(now time.Duration, f *fault.Error, notRun bool) call.Action
	Counts() call.Counts
}

// exchange carries out what a machine decides about one request.
type exchange struct {
	server   *Server
	request  *request
	machine  machine
	repeat   *call.Repeatable
	single   *call.Single
	delivery *delivery
	// caller ends when the caller leaves or the deadline passes. work is the same
	// for a repeatable call; for a claimed call it never ends by itself, so that
	// the call's end is recorded, and each use of it sets its own timeout.
	caller, work context.Context
	attempt      *attempt
	target       call.Target
	// peers names the endpoints that are comparable with the target.
	peers   string
	explain pick.Explain
	verdict *call.Verdict
	begun   time.Duration
}

// claimGrace is how long the record of an ended call may outlast the deadline.
const claimGrace = 15 * time.Second

// run admits a parsed request and brings it to its end.
func (s *Server) run(w http.ResponseWriter, r *http.Request, q *request) {
	q.fingerprint = call.FingerprintOf(q.workspace.GetName(), q.method, q.target, q.body)
	if held := s.Quarantine.Refusal(s.now(), q.fingerprint); held != nil {
		s.refuse(w, r, q.refusal(held))
		return
	}
	x := &exchange{server: s, request: q, begun: s.now(), delivery: newDelivery(w, s.config.WriteTimeout, q.id)}
	left := q.deadline - x.begun
	caller, cancel := context.WithTimeout(r.Context(), left)
	defer cancel()
	x.caller = caller
	release, err := s.Admitter.Admit(caller, Admission{
		Workspace: q.workspace.GetName(), Pool: q.pick.Pool, Priority: q.priority,
		Tokens: q.work.PromptTokens + q.work.MaxTokens, Deadline: left,
	})
	if err != nil {
		s.refuse(w, r, q.refusal(err))
		return
	}
	defer release()
	x.prepare()
	defer x.closeAttempt()
	if !x.loop() {
		panic(http.ErrAbortHandler)
	}
}

// refusal returns the verdict on a request that was not admitted. An earlier
// request with the caller's key is not spoken of.
func (q *request) refusal(err error) *call.Verdict {
	f := fault.From(err)
	if f.RetryAfter == 0 {
		f = f.RetryIn(call.DefaultRetryAfter)
	}
	if q.callerKey && !q.repeatable {
		f = call.KeepKey(f)
	}
	return call.Refuse(f)
}

// prepare makes the machine of the request.
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
		x.work = x.caller
		x.repeat = call.NewRepeatable(options)
		x.machine = x.repeat
		return
	}
	x.work = context.WithoutCancel(x.caller)
	x.delivery.w.Header().Set(call.HeaderIdempotencyKey, q.key)
	x.single = call.NewSingle(call.SingleOptions{
		Options: options, Workspace: q.workspace.GetName(), Key: q.key,
		Digest: call.Digest(q.method, q.target, q.body), CallerKey: q.callerKey, Unique: q.unique,
	})
	x.machine = x.single
}

// loop carries out actions until the caller has the final answer. It returns
// false when the connection must be aborted. The record of a claimed call goes
// on after the caller has its answer.
func (x *exchange) loop() bool {
	clean := true
	action := x.machine.Start(x.now())
	for {
		if !x.deliver(&action) {
			clean = false
		}
		if x.verdict != nil {
			break
		}
		action = x.next(&action)
	}
	x.report()
	x.closeAttempt()
	if action.Kind != call.Finish {
		x.server.records.Go(func() { x.record(action) })
	}
	return clean
}

// record carries out what is left after the caller has the final answer.
func (x *exchange) record(action call.Action) {
	for action.Kind != call.Finish {
		action = x.next(&action)
	}
}

// next carries out an action after its delay and returns the one that follows.
func (x *exchange) next(a *call.Action) call.Action {
	x.pause(a.Delay)
	return x.step(a)
}

func (x *exchange) now() time.Duration { return x.server.now() }

// deliver writes what an action has for the caller.
func (x *exchange) deliver(a *call.Action) bool {
	d := x.delivery
	isWhole := a.Head != nil && a.Verdict != nil && a.Verdict.Outcome == call.Answered
	switch {
	case isWhole:
		d.whole(a.Head, a.Data, a.Verdict)
	case a.Head != nil:
		d.open(a.Head)
		d.send(a.Data)
	default:
		d.send(a.Data)
	}
	if a.Verdict == nil {
		return true
	}
	if x.verdict == nil {
		x.verdict = a.Verdict
	}
	return d.end(a.Verdict)
}

// pause waits before an action. The end of a repeatable call cuts it short; the
// pauses of a claimed call are bounded by its policy alone.
func (x *exchange) pause(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-x.work.Done():
	}
}

// step carries out one action and returns the next.
func (x *exchange) step(a *call.Action) call.Action {
	if gone, ok := x.abandoned(a); ok {
		return gone
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

// abandoned ends the work for a caller who has left. What was dispatched and
// may not be repeated goes on, so that its end is recorded.
func (x *exchange) abandoned(a *call.Action) (call.Action, bool) {
	if x.verdict != nil {
		return call.Action{}, false
	}
	gone := x.delivery.err != nil || context.Cause(x.caller) == context.Canceled
	if !gone {
		return call.Action{}, false
	}
	if x.repeat != nil {
		return x.repeat.CallerGone(x.now()), true
	}
	return x.single.Abandon(x.now(), a)
}

func (x *exchange) pick(a *call.Action) call.Action {
	_, span := telemetry.Span(x.caller, "pick")
	defer span.End()
	x.closeAttempt()
	// A call that must run at most once is not sent again after it may have run.
	if held := x.server.Quarantine.Refusal(x.now(), x.request.fingerprint); held != nil && x.repeat != nil {
		return x.repeat.GiveUp(x.now(), held)
	}
	target, err := x.choose(a.Exclude)
	if err != nil {
		return x.machine.PickFailed(x.now(), fault.From(err))
	}
	return x.machine.Picked(x.now(), target)
}

// choose picks an endpoint that is not excluded; a claimed call needs one whose
// agent has issued a ticket.
func (x *exchange) choose(exclude []string) (call.Target, error) {
	q, s := x.request, x.server
	wanted := q.pick
	wanted.Exclude = slices.Concat(exclude, s.RateLimits.Blocked())
	for {
		wanted.Deadline = q.deadline - x.now()
		chosen, explain, err := s.Picker.Pick(x.now(), sharedRand, &wanted)
		if fault.Is(err, fault.NotFound) && wanted.Version != "" {
			// The version is accepted but not loaded anywhere yet.
			wanted.Version = ""
			continue
		}
		if err != nil {
			return call.Target{}, x.notChosen(err)
		}
		target, ticketed := s.Knowledge.Target(&chosen)
		if x.single != nil && !ticketed {
			wanted.Exclude = append(wanted.Exclude[:len(wanted.Exclude):len(wanted.Exclude)], chosen.ID)
			continue
		}
		x.target, x.explain, x.peers = target, explain, peersOf(&chosen)
		return target, nil
	}
}

// notChosen is the fault of a request without an endpoint: if some would take it but for their
// rate limits, it says when one does again.
func (x *exchange) notChosen(err error) error {
	if refusal := x.server.RateLimits.Refusal(x.request.pick.Pool); refusal != nil {
		return refusal
	}
	return err
}

func (x *exchange) claim(a *call.Action) call.Action {
	q, s := x.request, x.server
	ctx, span := telemetry.Span(x.caller, "claim", attribute.String("endpoint", a.Target.Endpoint))
	begun := x.now()
	answer, err := s.Claims.Claim(ctx, &controlv1.ClaimRequest{
		Workspace: q.workspace.GetName(), Key: q.key, Digest: call.Digest(q.method, q.target, q.body), ClaimId: a.ClaimID,
		Endpoint: a.Target.Endpoint, Agent: a.Target.Agent, Incarnation: a.Target.Incarnation, AgentAddr: a.Target.AgentAddr,
	})
	telemetry.End(span, err)
	s.metrics.claimSeconds.Update((x.now() - begun).Seconds())
	return x.single.Claimed(x.now(), answer, faultOrNil(err))
}

func (x *exchange) revoke(a *call.Action) call.Action {
	ctx, cancel := x.recordContext()
	defer cancel()
	answer, err := x.server.Agents.Revoke(ctx, a.Target.AgentAddr, &agentv1.RevokeRequest{ClaimId: a.ClaimID, Incarnation: a.Target.Incarnation})
	x.server.metrics.revokes.Inc()
	return x.single.Revoked(x.now(), answer, faultOrNil(err))
}

func (x *exchange) settle(a *call.Action) call.Action {
	x.closeAttempt()
	ctx, cancel := x.recordContext()
	defer cancel()
	_, err := x.server.Claims.Settle(ctx, &controlv1.SettleRequest{
		Workspace: x.request.workspace.GetName(), Key: x.request.key, ClaimId: a.ClaimID, State: a.State, Answer: a.Answer,
	})
	return x.single.Settled(x.now(), faultOrNil(err))
}

// recordContext bounds one question or record about a claim. It outlasts the
// caller, who has the answer by then.
func (x *exchange) recordContext() (context.Context, context.CancelFunc) {
	if x.verdict != nil {
		return context.WithTimeout(x.work, claimGrace)
	}
	return context.WithTimeout(x.work, max(x.request.deadline-x.now(), time.Millisecond))
}

// report notes how the request ended.
func (x *exchange) report() {
	s, q, v := x.server, x.request, x.verdict
	if v.Outcome == call.Answered && !v.Replayed {
		x.noteCompleted()
	}
	counts := x.machine.Counts()
	s.metrics.ended(q.kind, v, counts, x.now()-x.begun)
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
		slog.String("outcome", v.Outcome.String()), slog.Duration("took", x.now()-x.begun),
	}
	if v.Fault != nil {
		attrs = append(attrs, slog.String("kind", string(v.Fault.Kind)), slog.String("message", v.Fault.Error()))
	}
	s.Logger.LogAttrs(x.caller, level, "ended a request", attrs...)
}

func faultOrNil(err error) *fault.Error {
	if err == nil {
		return nil
	}
	return fault.From(err)
}
