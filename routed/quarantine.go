package routed

import (
	"context"
	"log/slog"
	"time"

	"github.com/lilackeel/lilackeel/direct"
	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/quarantine"
)

// quarantineRefusal returns the fault of a request that is quarantined, for itself or for a part of
// its prompt; nil if it may run.
func (s *Server) quarantineRefusal(q *request) *fault.Error {
	if refusal := s.Quarantine.Refusal(s.clock(), q.fingerprint); refusal != nil {
		return refusal
	}
	if refusal := s.Quarantine.Parts().Refusal(s.clock(), q.parts); refusal != nil {
		s.metrics.partRefusals.Inc()
		return refusal.Fault
	}
	return nil
}

// checkProcess finds out whether the endpoint's process exited during the attempt, and records what
// that says about the request. When the process of one rank exits, streams at the other ranks of its
// group are interrupted as well, but those endpoints keep listening.
func (a *attempt) checkProcess() direct.ListenerState {
	if a.callerCtx.Err() != nil || a.rerouted.Load() {
		return direct.ListenerUnknown
	}
	ended := processEnd{request: a.request, endpoint: a.target, at: a.server.clock(), ran: a.server.clock() - a.started, chunks: a.chunks}
	state := a.server.Client.CheckListener(a.callerCtx, a.target.Addr)
	switch {
	case state == direct.NotListening:
		a.server.recordCrash(&ended)
	case state == direct.Listening && a.chunks > 0:
		// The endpoint had begun to answer and still runs, so the request did not crash it.
		a.recordSurvival()
	case state == direct.ListenerUnknown:
		time.AfterFunc(recheckDelay, func() { a.server.recheckProcess(&ended) })
	}
	return state
}

// recheckDelay is the time until the second check of a process whose host did not answer the first
// one, for instance because the link lost the packet.
const recheckDelay = 300 * time.Millisecond

// processEnd describes an attempt whose endpoint's process has ended, or may have.
type processEnd struct {
	request  *request
	endpoint endpoint.Endpoint
	// at is when the attempt ended, ran is how long it took, and chunks is how many chunks of the
	// response it had received.
	at, ran time.Duration
	chunks  int
}

// recheckProcess checks once more whether the process of an attempt has ended.
func (s *Server) recheckProcess(e *processEnd) {
	if s.Client.CheckListener(context.Background(), e.endpoint.Addr) == direct.NotListening {
		s.recordCrash(e)
	}
}

// recordCrash records that the endpoint's process ended during an attempt.
func (s *Server) recordCrash(e *processEnd) {
	q, run := e.request, e.endpoint.RunID()
	s.metrics.processExits.Inc()
	change := s.Quarantine.RecordCrash(e.at, q.fingerprint, run)
	held := s.Quarantine.Parts().RecordCrash(e.at, q.parts, run)
	s.Logger.LogAttrs(context.Background(), slog.LevelInfo, "an endpoint ended under a request",
		slog.String("request_id", q.id), slog.Any("fingerprint", q.fingerprint), slog.String("endpoint", e.endpoint.ID),
		slog.Duration("ran", e.ran), slog.Int("ends", change.Crashes), slog.Duration("hold", change.Hold),
		slog.Any("prompt_parts", q.parts.LoggedIDs()), slog.Int("prompt_part_count", len(q.parts)), slog.Int("chunks", e.chunks))
	for i := range held {
		quarantine.LogHeldPart(s.Logger, &held[i])
	}
}

// recordSurvival records that the endpoint ran the request without a crash.
func (a *attempt) recordSurvival() {
	s := a.server
	released := s.Quarantine.Parts().RecordSurvival(s.clock(), a.started, a.request.parts, a.target.RunID())
	for i := range released {
		quarantine.LogReleasedPart(s.Logger, a.request.id, &released[i])
	}
}

// recordCompletion records that the endpoint ran the request to completion. A response with an error
// status is no evidence that the endpoint began to answer the prompt.
func (a *attempt) recordCompletion(status int) {
	s := a.server
	if cleared := s.Quarantine.RecordCompletion(s.clock(), a.started, a.request.fingerprint, a.target.RunID()); cleared > 0 {
		s.Logger.LogAttrs(a.callerCtx, slog.LevelInfo, "cleared the recorded crashes of a request",
			slog.String("request_id", a.request.id), slog.Any("fingerprint", a.request.fingerprint), slog.Int("ends", cleared))
	}
	if isSuccess(status) && a.chunks > 0 {
		a.recordSurvival()
	}
}
