package routed

import (
	"log/slog"
	"sync/atomic"
	"time"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/endpoint/outlier"
	"github.com/lilackeel/lilackeel/fault"
)

// attempt is one dispatch that is under way.
type attempt struct {
	*exchange
	// group is that of the endpoint, see groupOf.
	group string
	load  load.Call
	// moved is set when the attempt was ended to be tried at another endpoint.
	moved atomic.Bool
	// begun is set once the first part of the answer has come.
	begun   atomic.Bool
	started time.Duration
	// began is when the first part of the answer came, parts how many came; come is the
	// same for others that look at the attempt.
	began time.Duration
	parts int
	come  atomic.Int32
}

// unanswered ends an attempt that has not brought the head of an answer.
func (a *attempt) unanswered(f *fault.Error) attemptResult {
	s := a.server
	now := s.clock()
	left := a.caller.Err() != nil
	late := now >= a.request.deadline
	failing := !left && !late && !a.moved.Load()
	a.done(failing)
	if failing {
		a.noteSilent(now)
	}
	if f.Kind == fault.Unavailable && !a.moved.Load() {
		return failed(call.Unsent, f)
	}
	a.noteEnded()
	return a.cut(f)
}

// noteSilent notes that the endpoint has not answered.
func (a *attempt) noteSilent(now time.Duration) {
	a.server.Reach.Failed(now, a.target.ID)
	a.server.Suspects.Failed(now, a.target.RunID())
}

// cut is how an attempt ends that may have run and has brought no whole answer.
func (a *attempt) cut(f *fault.Error) attemptResult {
	result := failed(call.MayHaveRun, f)
	result.moved = a.moved.Load()
	return result
}

// noteEnded finds out whether the endpoint's process has ended under the attempt. Streams
// at the other ranks of a group are cut as well when one ends, but their own endpoints go
// on listening.
func (a *attempt) noteEnded() {
	s := a.server
	if a.caller.Err() != nil || a.moved.Load() || !s.Client.Refuses(a.caller, a.target.Addr) {
		return
	}
	s.metrics.endedUnder.Inc()
	change := s.Quarantine.RecordCrash(s.clock(), a.request.fingerprint, a.target.RunID())
	s.Logger.LogAttrs(a.caller, slog.LevelInfo, "an endpoint ended under a request",
		slog.String("request_id", a.request.id), slog.Any("fingerprint", a.request.fingerprint), slog.String("endpoint", a.target.ID),
		slog.Duration("ran", s.clock()-a.started), slog.Int("ends", change.Crashes), slog.Duration("hold", change.Hold))
}

// noteCompleted notes that the endpoint has run the request to its end.
func (a *attempt) noteCompleted() {
	s := a.server
	if cleared := s.Quarantine.RecordCompletion(s.clock(), a.started, a.request.fingerprint, a.target.RunID()); cleared > 0 {
		s.Logger.LogAttrs(a.caller, slog.LevelInfo, "cleared a request",
			slog.String("request_id", a.request.id), slog.Any("fingerprint", a.request.fingerprint), slog.Int("ends", cleared))
	}
}

// done notes how the endpoint did.
func (a *attempt) done(fault bool) {
	s, now := a.server, a.server.clock()
	s.Loads.Done(now, &a.load, load.Result{Failed: fault, Tokens: a.parts})
	sample := outlier.Sample{Failed: fault}
	if !fault {
		sample.Latency = a.pace(now)
	}
	s.Outliers.Observe(now, a.target.Pool, a.target.ID, sample)
}

// pace is the time of an attempt divided by its size, comparable among peers.
func (a *attempt) pace(now time.Duration) time.Duration {
	switch {
	case a.request.route.GetKind() != fleetv1.CallKind_CALL_KIND_STREAM:
		return now - a.started
	case a.parts > 1:
		return (now - a.began) / time.Duration(a.parts-1)
	}
	return 0
}
