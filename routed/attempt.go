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

// attempt is one attempt to send the request to an endpoint.
type attempt struct {
	*exchange
	// group is the group of the endpoint; see groupOf.
	group string
	load  load.Call
	// rerouted is set if the attempt was cancelled to retry at another endpoint.
	rerouted atomic.Bool
	// firstChunkReceived is set once the first chunk of the response has arrived.
	firstChunkReceived atomic.Bool
	started            time.Duration
	// firstChunkAt is when the first chunk arrived and chunks is how many have arrived.
	// chunksReceived is the same number for concurrent readers.
	firstChunkAt   time.Duration
	chunks         int
	chunksReceived atomic.Int32
}

// handleSendError ends an attempt that received no response head.
func (a *attempt) handleSendError(f *fault.Error) attemptResult {
	s := a.server
	now := s.clock()
	callerLeft := a.callerCtx.Err() != nil
	deadlinePassed := now >= a.request.deadline
	failing := !callerLeft && !deadlinePassed && !a.rerouted.Load()
	a.recordResult(failing)
	if failing {
		a.recordNoResponse(now)
	}
	if f.Kind == fault.Unavailable && !a.rerouted.Load() {
		return failed(call.Unsent, f)
	}
	a.checkProcessExit()
	return a.interrupted(f)
}

// recordNoResponse records that the endpoint did not respond.
func (a *attempt) recordNoResponse(now time.Duration) {
	a.server.Reach.Failed(now, a.target.ID)
	a.server.Suspects.Failed(now, a.target.RunID())
}

// interrupted returns the result of an attempt that may have run and returned no complete
// response.
func (a *attempt) interrupted(f *fault.Error) attemptResult {
	result := failed(call.MayHaveRun, f)
	result.rerouted = a.rerouted.Load()
	return result
}

// checkProcessExit finds out whether the endpoint's process exited during the attempt. When the
// process of one rank exits, streams at the other ranks of its group are interrupted as well, but
// those endpoints keep listening.
func (a *attempt) checkProcessExit() {
	s := a.server
	if a.callerCtx.Err() != nil || a.rerouted.Load() || !s.Client.ConnectionRefused(a.callerCtx, a.target.Addr) {
		return
	}
	s.metrics.processExits.Inc()
	change := s.Quarantine.RecordCrash(s.clock(), a.request.fingerprint, a.target.RunID())
	s.Logger.LogAttrs(a.callerCtx, slog.LevelInfo, "an endpoint ended under a request",
		slog.String("request_id", a.request.id), slog.Any("fingerprint", a.request.fingerprint), slog.String("endpoint", a.target.ID),
		slog.Duration("ran", s.clock()-a.started), slog.Int("ends", change.Crashes), slog.Duration("hold", change.Hold),
		slog.Any("prompt_parts", firstParts(a.request.promptParts)), slog.Int("prompt_part_count", len(a.request.promptParts)), slog.Int("chunks", a.chunks))
}

// maxLoggedParts bounds the prompt parts in a log line, since callers may list thousands.
const maxLoggedParts = 16

// firstParts returns the parts of a prompt that are logged.
func firstParts(parts []string) []string { return parts[:min(len(parts), maxLoggedParts)] }

// recordCompletion records that the endpoint ran the request to completion.
func (a *attempt) recordCompletion() {
	s := a.server
	if cleared := s.Quarantine.RecordCompletion(s.clock(), a.started, a.request.fingerprint, a.target.RunID()); cleared > 0 {
		s.Logger.LogAttrs(a.callerCtx, slog.LevelInfo, "cleared the recorded crashes of a request",
			slog.String("request_id", a.request.id), slog.Any("fingerprint", a.request.fingerprint), slog.Int("ends", cleared))
	}
}

// recordResult records the result of the attempt for load and outlier tracking.
func (a *attempt) recordResult(isFailure bool) {
	s, now := a.server, a.server.clock()
	s.Loads.Done(now, &a.load, load.Result{Failed: isFailure, Tokens: a.chunks})
	sample := outlier.Sample{Failed: isFailure}
	if !isFailure {
		sample.Latency = a.normalizedLatency(now)
		a.recordResponseTime(now)
	}
	s.Outliers.Observe(now, a.target.Pool, a.target.ID, sample)
}

// recordResponseTime records the response time of an endpoint by which its speed is judged. Those of
// lock-step engines show the speed of their group, and those of streams depend on their length.
func (a *attempt) recordResponseTime(now time.Duration) {
	if !isUngrouped(a.group) || a.request.route.GetKind() == fleetv1.CallKind_CALL_KIND_STREAM || !a.server.measuresSpeed(a.target.Pool) {
		return
	}
	a.server.Speeds.Observe(now, a.target.Pool, a.target.ID, now-a.started)
}

// normalizedLatency returns the duration of an attempt divided by its size, which is
// comparable between peers.
func (a *attempt) normalizedLatency(now time.Duration) time.Duration {
	switch {
	case a.request.route.GetKind() != fleetv1.CallKind_CALL_KIND_STREAM:
		return now - a.started
	case a.chunks > 1:
		return (now - a.firstChunkAt) / time.Duration(a.chunks-1)
	}
	return 0
}
