package routed

import (
	"log/slog"
	"sync/atomic"
	"time"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/direct"
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
	// stopped is the reason why the request was not sent after all.
	stopped *fault.Error
	// endProbe ends the probe of a quarantined prompt part; see quarantine.PartTracker.BeginAttempt.
	endProbe func()
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
	return a.interrupted(f, a.checkProcess())
}

// recordNoResponse records that the endpoint did not respond.
func (a *attempt) recordNoResponse(now time.Duration) {
	a.server.Reach.Failed(now, a.target.ID)
	a.server.Suspects.Failed(now, a.target.RunID())
}

// interrupted returns the result of an attempt that may have run and returned no complete
// response. A request whose endpoint crashed before it sent anything is not sent to another one
// while nothing speaks for the parts of its prompt: each attempt may crash one more endpoint.
func (a *attempt) interrupted(f *fault.Error, state direct.ListenerState) attemptResult {
	result := failed(call.MayHaveRun, f)
	result.rerouted = a.rerouted.Load()
	result.final = state == direct.NotListening && a.chunks == 0 && !a.server.Quarantine.Parts().Proven(a.request.parts)
	return result
}

// recordEarlyEnd records how a response that states no length ended before its request was written.
func (a *attempt) recordEarlyEnd(end direct.EarlyEnd) {
	s, q := a.server, a.request
	s.metrics.recordEarlyEnd()
	s.Logger.LogAttrs(a.callerCtx, slog.LevelInfo, "a response without a length ended before its request was sent",
		slog.String("request_id", q.id), slog.Any("fingerprint", q.fingerprint), slog.String("endpoint", a.target.ID),
		slog.Int("sent", end.Sent), slog.Int("size", end.Size), slog.Any("read_error", end.ReadError), slog.Any("write_error", end.WriteError))
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
