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
	// moveAfter is how long a lock-step group must have been silent before its calls
	// are moved to another one. They are late by then; callers bear some two seconds of
	// silence, of which a new first part takes a few tenths.
	moveAfter = time.Second
	// moveCheck is the time between two looks.
	moveCheck = 100 * time.Millisecond
)

// watcher looks after an attempt at an engine, each moveCheck: it ends one that can go on
// elsewhere once its group has stopped, or is too slow for it, and another one runs, and leaves an
// endpoint out that sends nothing while its group runs. An attempt is ended only once its
// retry is paid for: a stream that could not go on elsewhere would be cut.
type watcher struct {
	*attempt
	cancel   context.CancelFunc
	ended    atomic.Bool
	reported bool
}

// watch begins a watch, which ends the attempt by cancel. The function that it returns
// ends the watch.
func (a *attempt) watch(cancel context.CancelFunc) (stop func()) {
	if isLoose(a.group) || a.request.route.GetKind() != fleetv1.CallKind_CALL_KIND_STREAM {
		return func() {}
	}
	w := &watcher{attempt: a, cancel: cancel}
	time.AfterFunc(min(moveAfter, leastSilence), w.look)
	return func() { w.ended.Store(true) }
}

// look does what is due and looks again later.
func (w *watcher) look() {
	if w.ended.Load() {
		return
	}
	silent := w.silent()
	if silent && !w.reported {
		w.reported = true
		w.noteSilent(w.server.clock())
	}
	if (silent || w.stalled() || w.cannotEnd()) && w.mayMove() && w.server.Budget.Withdraw(w.server.clock()) {
		w.moved.Store(true)
		w.cancel()
		return
	}
	time.AfterFunc(moveCheck, w.look)
}

// silent reports whether nothing has come from the endpoint since the request was sent,
// for much longer than a first part takes, although its group runs: its machine is cut off
// or frozen while the others carry the steps. Callers leave such a request before it counts as
// a failure, and what is sent there meanwhile would reach the engine after its caller has left.
func (a *attempt) silent() bool {
	s := a.server
	now := s.clock()
	if a.begun.Load() || now-a.started < s.firsts.silence(a.request.pool) {
		return false
	}
	return !s.Reach.ReceivedSince(a.target.ID, a.started) && s.Groups.TimeSinceProgress(now, a.group) < leastSilence
}

// stalled reports whether the endpoint's group has stopped and another runs.
func (a *attempt) stalled() bool {
	s := a.server
	if s.Groups.TimeSinceProgress(s.clock(), a.group) < moveAfter {
		return false
	}
	return best(s.placement.Load().pools[a.request.pool]) < lockstep.Stalled
}

// mayMove reports whether the call may be tried at another endpoint.
func (a *attempt) mayMove() bool {
	return site.Repeatable(a.request.route) && len(a.tried) < int(a.request.route.GetMaxAttempts())
}

// cannotEnd reports whether the passes of the endpoint's group take so long that the rest of the
// answer cannot come before the caller's deadline, and can from another group that keeps the
// pace, though the prompt is read again there. One slow rank sets the pace for all streams of
// its group. Streams that can still end stay: to move whatever is late only doubles the load of
// the other groups.
func (a *attempt) cannotEnd() bool {
	s, q := a.server, a.request
	gap := time.Duration(q.route.GetGapMs()) * time.Millisecond
	pass := s.Groups.RecentStepTime(a.group)
	if gap <= 0 || pass <= gap {
		return false
	}
	parts := s.lengths.left(q.pool, int(a.come.Load()))
	elsewhere := s.firsts.mean(q.pool) + time.Duration(parts*float64(gap))
	left := q.deadline - s.clock()
	if time.Duration(parts*float64(pass)) <= left || elsewhere > left {
		return false
	}
	group, ok := roomiest(s.placement.Load().pools[q.pool], s.Groups, lockstep.Paced)
	return ok && group != a.group
}
