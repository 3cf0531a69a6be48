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
	// intentCheckInterval is the interval at which drains and open intents are checked.
	intentCheckInterval = 500 * time.Millisecond
	// daemonReportDelay is the time after the beginning of a term by which every live daemon
	// has reported to a reachable replica.
	daemonReportDelay = daemonTimeoutMs * time.Millisecond
)

// intentFinisher ends drains whose limit has passed and marks intents as done.
type intentFinisher struct {
	state  *contract.State
	log    Log
	status *statusCollector
	logger *slog.Logger
}

// drive runs until ctx ends.
func (f *intentFinisher) drive(ctx context.Context, l *leadership) {
	firstSeen := map[string]time.Duration{}
	for ctx.Err() == nil {
		f.endDrains(ctx, l, firstSeen)
		f.finishIntents(ctx, l)
		wait.For(ctx, intentCheckInterval)
	}
}

// endDrains marks leaving endpoints as drained once the drain limit of their intent has passed.
// The limit counts from when this leader first saw the drain, so a change of leaders can only
// lengthen it.
func (f *intentFinisher) endDrains(ctx context.Context, l *leadership, firstSeen map[string]time.Duration) {
	draining := map[string]bool{}
	for _, drain := range f.state.Draining() {
		draining[drain.Endpoint] = true
		if _, known := firstSeen[drain.Endpoint]; !known {
			firstSeen[drain.Endpoint] = l.now()
		}
		if drain.Limit == 0 || drain.Agent.Name == "" || l.now()-firstSeen[drain.Endpoint] < drain.Limit {
			continue
		}
		f.logger.Warn("drain limit reached", "endpoint", drain.Endpoint, "limit", drain.Limit)
		data, err := contract.EncodeDrained(l.logTime(), drain.Agent, drain.Endpoint)
		if _, err = propose(ctx, f.log, data, err); err != nil && ctx.Err() == nil {
			f.logger.Warn("marking an endpoint as drained failed", "endpoint", drain.Endpoint, "error", err)
		}
	}
	for endpoint := range firstSeen {
		if !draining[endpoint] {
			delete(firstSeen, endpoint)
		}
	}
}

// finishIntents marks the intents that no longer wait for anything as done.
func (f *intentFinisher) finishIntents(ctx context.Context, l *leadership) {
	intents := f.state.Progress()
	if len(intents) == 0 {
		return
	}
	response, complete := f.status.fleetStatus(ctx)
	if !complete && l.now() < daemonReportDelay {
		return
	}
	for _, intent := range intents {
		if len(intent.GetWaitingFor()) > 0 || !f.appliedEverywhere(response.GetDaemons(), intent.GetRevision()) {
			continue
		}
		data, err := contract.EncodeIntentDone(l.logTime(), intent.GetIntentId())
		if _, err = propose(ctx, f.log, data, err); err != nil && ctx.Err() == nil {
			f.logger.Info("marking an intent as done failed", "intent", intent.GetIntentId(), "error", err)
			continue
		}
		intentsDone.Inc()
		f.logger.Info("intent completed", "intent", intent.GetIntentId(), "revision", intent.GetRevision())
	}
}

// appliedEverywhere reports whether every live daemon has applied the revision. Agents with a
// lease count even if they do not subscribe to any replica's feed.
func (f *intentFinisher) appliedEverywhere(daemons []*controlv1.DaemonStatus, revision uint64) bool {
	if len(daemonsBehind(daemons, revision)) > 0 {
		return false
	}
	reporting := map[string]bool{}
	for _, daemon := range daemons {
		reporting[daemon.GetName()] = daemon.GetHeardMs() <= daemonTimeoutMs
	}
	for _, agent := range f.state.Agents() {
		if agent.Live && !reporting[agent.Name] {
			return false
		}
	}
	return true
}
