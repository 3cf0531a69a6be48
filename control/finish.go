package control

import (
	"context"
	"log/slog"
	"time"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/wait"
)

const (
	// finishInterval is the time between two looks at what is still open.
	finishInterval = 500 * time.Millisecond
	// daemonsHeardAfter is how long after the beginning of a term every daemon
	// that lives has reported to a replica that can be reached.
	daemonsHeardAfter = liveDaemonMs * time.Millisecond
)

// finisher ends drains whose limit has passed and marks intents as done.
type finisher struct {
	state   *contract.State
	log     Log
	reports *reports
	logger  *slog.Logger
}

// drive runs until ctx ends.
func (f *finisher) drive(ctx context.Context, l *leadership) {
	began := map[string]time.Duration{}
	for ctx.Err() == nil {
		f.endDrains(ctx, l, began)
		f.finishIntents(ctx, l)
		wait.For(ctx, finishInterval)
	}
}

// endDrains marks leaving endpoints as drained whose intent allows no longer
// wait. The wait is counted from when this leader first saw it, so a change of
// leaders makes it longer, never shorter.
func (f *finisher) endDrains(ctx context.Context, l *leadership, began map[string]time.Duration) {
	draining := map[string]bool{}
	for _, drain := range f.state.Draining() {
		draining[drain.Endpoint] = true
		if _, seen := began[drain.Endpoint]; !seen {
			began[drain.Endpoint] = l.now()
		}
		if drain.Limit == 0 || drain.Agent.Name == "" || l.now()-began[drain.Endpoint] < drain.Limit {
			continue
		}
		f.logger.Warn("the wait for work in flight ends", "endpoint", drain.Endpoint, "limit", drain.Limit)
		data, err := contract.EncodeDrained(l.logTime(), drain.Agent, drain.Endpoint)
		if _, err = propose(ctx, f.log, data, err); err != nil && ctx.Err() == nil {
			f.logger.Warn("ending a drain failed", "endpoint", drain.Endpoint, "error", err)
		}
	}
	for endpoint := range began {
		if !draining[endpoint] {
			delete(began, endpoint)
		}
	}
}

// finishIntents marks the intents that wait for nothing any more as done.
func (f *finisher) finishIntents(ctx context.Context, l *leadership) {
	open := f.state.Progress()
	if len(open) == 0 {
		return
	}
	response, complete := f.reports.gathered(ctx)
	if !complete && l.now() < daemonsHeardAfter {
		return
	}
	for _, intent := range open {
		if len(intent.GetWaitingFor()) > 0 || !f.inForce(response.GetDaemons(), intent.GetRevision()) {
			continue
		}
		data, err := contract.EncodeIntentDone(l.logTime(), intent.GetIntentId())
		if _, err = propose(ctx, f.log, data, err); err != nil && ctx.Err() == nil {
			f.logger.Info("an intent is not done yet", "intent", intent.GetIntentId(), "error", err)
			continue
		}
		intentsDone.Inc()
		f.logger.Info("an intent is carried out", "intent", intent.GetIntentId(), "revision", intent.GetRevision())
	}
}

// inForce reports whether every daemon that lives acts on the revision. Agents
// with a lease count also if they follow no replica's feed.
func (f *finisher) inForce(daemons []*controlv1.DaemonStatus, revision uint64) bool {
	if len(behind(daemons, revision)) > 0 {
		return false
	}
	heard := map[string]bool{}
	for _, daemon := range daemons {
		heard[daemon.GetName()] = daemon.GetHeardMs() <= liveDaemonMs
	}
	for _, agent := range f.state.Agents() {
		if agent.Live && !heard[agent.Name] {
			return false
		}
	}
	return true
}
