package entry

import (
	"log/slog"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/quarantine"
)

// errEndedUnanswered ends a request whose endpoint crashed before it answered, while nothing speaks
// for the parts of its prompt: each further attempt may crash one more endpoint.
var errEndedUnanswered = fault.New(fault.Unknown, "the endpoint's process ended before it answered", "retry the request")

// quarantineRefusal returns the fault of a request that is quarantined, for itself or for a part of
// its prompt; nil if it may run.
func (s *Server) quarantineRefusal(q *request) *fault.Error {
	if refusal := s.Quarantine.Refusal(s.now(), q.fingerprint); refusal != nil {
		return refusal
	}
	if refusal := s.Quarantine.Parts().Refusal(s.now(), q.parts); refusal != nil {
		return refusal.Fault
	}
	return nil
}

// retryRefusal returns the reason why a repeatable request must not be sent to an endpoint, nil if it
// may be.
func (x *exchange) retryRefusal() *fault.Error {
	switch refusal := x.server.quarantineRefusal(x.request); {
	case x.repeatable == nil:
		// A claimed call needs no check here: it is not sent again after it may have run.
		return nil
	case refusal != nil:
		return refusal
	case x.endedUnanswered:
		return errEndedUnanswered
	}
	return nil
}

// beginAttempt checks the parts of the prompt again as the request is sent. Only completions, which
// are repeatable, have parts.
func (x *exchange) beginAttempt() (end func(), refusal *fault.Error) {
	end, refused := x.server.Quarantine.Parts().BeginAttempt(x.now(), x.request.parts)
	if refused != nil {
		return end, refused.Fault
	}
	return end, nil
}

// recordProcessExit records that the endpoint's process has exited during the attempt. run names
// the incarnation that has exited; it is empty if none has.
func (x *exchange) recordProcessExit(run string) {
	if run == "" {
		return
	}
	s, q := x.server, x.request
	s.metrics.processExits.Inc()
	change := s.Quarantine.RecordCrash(x.now(), q.fingerprint, run)
	held := s.Quarantine.Parts().RecordCrash(x.now(), q.parts, run)
	x.endedUnanswered = x.attempt.chunks == 0 && !s.Quarantine.Parts().Proven(q.parts)
	s.Logger.LogAttrs(x.callerCtx, slog.LevelInfo, "an endpoint ended under a request",
		slog.String("request_id", q.id), slog.Any("fingerprint", q.fingerprint), slog.String("endpoint", run),
		slog.Duration("ran", x.now()-x.attempt.sentAt), slog.Int("ends", change.Crashes), slog.Duration("hold", change.Hold),
		slog.Any("prompt_parts", q.parts.LoggedIDs()), slog.Int("prompt_part_count", len(q.parts)), slog.Int("chunks", x.attempt.chunks))
	for i := range held {
		quarantine.LogHeldPart(s.Logger, &held[i])
	}
}

// recordCompletion records that an endpoint has run the request to completion. It names no
// incarnation, since agents name one only after it has exited.
func (x *exchange) recordCompletion() {
	s, q := x.server, x.request
	if cleared := s.Quarantine.RecordCompletion(x.now(), x.startedAt, q.fingerprint, ""); cleared > 0 {
		s.Logger.LogAttrs(x.callerCtx, slog.LevelInfo, "cleared the recorded crashes of a request",
			slog.String("request_id", q.id), slog.Any("fingerprint", q.fingerprint), slog.Int("ends", cleared))
	}
	if !x.succeeded {
		return
	}
	released := s.Quarantine.Parts().RecordSurvival(x.now(), x.startedAt, q.parts, "")
	for i := range released {
		quarantine.LogReleasedPart(s.Logger, q.id, &released[i])
	}
}
