package routed

import (
	"context"
	"sync/atomic"
	"time"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/endpoint/lockstep"
	"github.com/lilackeel/lilackeel/site"
)

const (
	// stallTimeout is how long a lock-step group must have made no progress before its calls
	// are rerouted to another group. The calls are late by then. Callers tolerate about two
	// seconds of silence, of which a new first chunk takes a few tenths.
	stallTimeout = time.Second
	// watchInterval is the interval between two checks.
	watchInterval = 100 * time.Millisecond
)

// watcher monitors an attempt at an engine every watchInterval. It cancels an attempt that can
// be retried elsewhere if its group has stalled, or is too slow for it, while another group
// runs. It reports an endpoint that sends nothing although its group runs. An attempt is
// cancelled only if the retry budget covers the retry: a stream that could not resume
// elsewhere would be interrupted.
type watcher struct {
	*attempt
	cancel   context.CancelFunc
	ended    atomic.Bool
	reported bool
}

// watch starts a watcher, which ends the attempt by calling cancel. The returned function
// stops the watcher.
func (a *attempt) watch(cancel context.CancelFunc) (stop func()) {
	if isUngrouped(a.group) || a.request.route.GetKind() != fleetv1.CallKind_CALL_KIND_STREAM {
		return func() {}
	}
	w := &watcher{attempt: a, cancel: cancel}
	time.AfterFunc(min(stallTimeout, minSilence), w.check)
	return func() { w.ended.Store(true) }
}

// check performs one check and schedules the next.
func (w *watcher) check() {
	if w.ended.Load() {
		return
	}
	silent := w.isSilent()
	if silent && !w.reported {
		w.reported = true
		w.recordNoResponse(w.server.clock())
	}
	if (silent || w.isStalled() || w.cannotFinishInTime()) && w.canReroute() && w.server.Budget.Withdraw(w.server.clock()) {
		w.rerouted.Store(true)
		w.cancel()
		return
	}
	time.AfterFunc(watchInterval, w.check)
}

// isSilent reports whether the endpoint has sent nothing since the request was sent, for much
// longer than a first chunk takes, although its group runs. Its machine is then cut off or
// frozen while the others continue the steps. Callers leave such a request before it counts as
// a failure, and requests sent meanwhile would reach the engine after their callers have left.
func (a *attempt) isSilent() bool {
	s := a.server
	now := s.clock()
	if a.firstChunkReceived.Load() || now-a.started < s.firstChunkTimes.silenceTimeout(a.request.pool) {
		return false
	}
	return !s.Reach.ReceivedSince(a.target.ID, a.started) && s.Groups.TimeSinceProgress(now, a.group) < minSilence
}

// isStalled reports whether the endpoint's group has stalled while another one runs.
func (a *attempt) isStalled() bool {
	s := a.server
	if s.Groups.TimeSinceProgress(s.clock(), a.group) < stallTimeout {
		return false
	}
	return bestState(s.placement.Load().pools[a.request.pool]) < lockstep.Stalled
}

// canReroute reports whether the call may be retried at another endpoint.
func (a *attempt) canReroute() bool {
	return site.Repeatable(a.request.route) && len(a.tried) < int(a.request.route.GetMaxAttempts())
}

// cannotFinishInTime reports whether the steps of the endpoint's group take so long that the
// rest of the response misses the caller's deadline, while a paced group could finish it in
// time although it must prefill the prompt again. One slow rank slows down all streams of its
// group. Streams that can still finish are not rerouted: rerouting every late stream would
// only double the load of the other groups.
func (a *attempt) cannotFinishInTime() bool {
	s, q := a.server, a.request
	gap := time.Duration(q.route.GetGapMs()) * time.Millisecond
	stepTime := s.Groups.RecentStepTime(a.group)
	if gap <= 0 || stepTime <= gap {
		return false
	}
	remaining := s.streamLengths.expectedRemaining(q.pool, int(a.chunksReceived.Load()))
	elsewhere := s.firstChunkTimes.mean(q.pool) + time.Duration(remaining*float64(gap))
	timeLeft := q.deadline - s.clock()
	if time.Duration(remaining*float64(stepTime)) <= timeLeft || elsewhere > timeLeft {
		return false
	}
	group, ok := leastLoaded(s.placement.Load().pools[q.pool], s.Groups, lockstep.Paced)
	return ok && group != a.group
}
