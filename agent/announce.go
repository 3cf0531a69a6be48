package agent

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// heartbeatsPerLease keeps the lease when two heartbeats in a row are lost.
const heartbeatsPerLease = 4

var announceFailures = metrics.NewCounter("lilackeel_agent_announce_failures_total")

// announcer keeps the lease of the agent's endpoints by heartbeats to the
// control leader.
type announcer struct {
	settings   *Settings
	lockedGate *lockedGate
	controls   *controls
	loaded     *loaded
	health     *health
	logger     *slog.Logger
	addr       string

	// now wakes the loop ahead of its time.
	now       chan struct{}
	stopping  atomic.Bool
	announced atomic.Bool

	mu       sync.Mutex
	sendFull bool
	// sent is the number of changes of loaded and health that the last full
	// announcement carried.
	sent uint64
	// acknowledged is closed once a replica has taken the stop, or none can be any more.
	acknowledged chan struct{}
	ackOnce      sync.Once
}

func newAnnouncer(s *Settings, k *lockedGate, c *controls, l *loaded, h *health, logger *slog.Logger) *announcer {
	a := &announcer{
		settings:     s,
		lockedGate:   k,
		controls:     c,
		loaded:       l,
		health:       h,
		logger:       logger,
		addr:         s.Advertise,
		now:          make(chan struct{}, 1),
		sendFull:     true,
		acknowledged: make(chan struct{}),
	}
	h.onTransition = a.wake
	return a
}

// run announces until ctx ends. It returns an error if another process has
// taken this agent's name over.
func (a *announcer) run(ctx context.Context) error {
	defer a.acknowledge()
	for ctx.Err() == nil {
		interval, err := a.announce(ctx)
		if fault.Is(err, fault.Fenced) {
			return err
		}
		if err != nil && ctx.Err() == nil {
			announceFailures.Inc()
			a.logger.WarnContext(ctx, "no control replica took the announcement", slog.Any("error", err))
			interval = retryPause
		}
		a.wait(ctx, jitter(interval))
	}
	return nil
}

func (a *announcer) wait(ctx context.Context, interval time.Duration) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.now:
	case <-ctx.Done():
	}
}

// stop announces the planned stop at once and with every heartbeat that
// follows. The returned channel closes when a replica has taken it.
func (a *announcer) stop() <-chan struct{} {
	a.stopping.Store(true)
	a.mu.Lock()
	a.sendFull = true
	a.mu.Unlock()
	a.wake()
	return a.acknowledged
}

// wake announces ahead of time, for example when an endpoint has drained.
func (a *announcer) wake() {
	select {
	case a.now <- struct{}{}:
	default:
	}
}

// announce sends one heartbeat and returns the time until the next.
func (a *announcer) announce(ctx context.Context) (time.Duration, error) {
	changes := a.loaded.changed() + a.health.changed()
	request := a.request(changes)
	var response *controlv1.AnnounceResponse
	err := a.controls.Call(ctx, func(ctx context.Context, client controlv1.ControlClient) error {
		var err error
		response, err = client.Announce(ctx, request)
		return err
	})
	if err != nil {
		return 0, err
	}
	a.accept(request, changes, response)
	return untilNext(a.settings.HeartbeatInterval, response), nil
}

// untilNext returns the time from one announcement to the next: the set interval
// or the slower pace that the leader asks for, but often enough for the lease.
func untilNext(interval time.Duration, response *controlv1.AnnounceResponse) time.Duration {
	if response.GetSendFull() {
		return time.Millisecond
	}
	interval = max(interval, time.Duration(response.GetRenewMs())*time.Millisecond)
	if lease := time.Duration(response.GetLeaseMs()) * time.Millisecond; lease > 0 {
		interval = min(interval, lease/heartbeatsPerLease)
	}
	return max(interval, time.Millisecond)
}

// accept notes that an announcement, made after the given number of changes,
// was taken.
func (a *announcer) accept(request *controlv1.AnnounceRequest, changes uint64, response *controlv1.AnnounceResponse) {
	a.mu.Lock()
	a.sendFull = response.GetSendFull() || (a.stopping.Load() && !request.GetStopping())
	if request.GetFull() {
		a.sent = changes
	}
	a.mu.Unlock()
	a.lockedGate.raiseFence(response.GetFence())
	a.announced.Store(true)
	if request.GetStopping() && !response.GetSendFull() {
		a.acknowledge()
	}
}

func (a *announcer) acknowledge() { a.ackOnce.Do(func() { close(a.acknowledged) }) }

func (a *announcer) request(changes uint64) *controlv1.AnnounceRequest {
	s := a.settings
	drain := a.lockedGate.drain()
	request := &controlv1.AnnounceRequest{
		Agent: s.Name, Host: s.Host, Zone: s.Zone, Region: s.Region,
		Addr:        a.addr,
		Incarnation: a.lockedGate.incarnation(),
		Revision:    a.lockedGate.revision(),
		Stopping:    a.stopping.Load(),
		Drained:     drain.Drained,
		InFlight:    drain.InFlight,
	}
	a.mu.Lock()
	request.Full = a.sendFull || a.sent != changes
	a.mu.Unlock()
	if request.GetFull() {
		request.Endpoints = a.endpoints()
	}
	return request
}

func (a *announcer) endpoints() []*fleetv1.Endpoint {
	list := make([]*fleetv1.Endpoint, len(a.settings.Endpoints))
	for i, e := range a.settings.Endpoints {
		list[i] = e.announced(a.settings)
		a.loaded.apply(list[i])
		if a.health.down(e.ID) {
			list[i].State = fleetv1.EndpointState_ENDPOINT_STATE_LEAVING
		}
		list[i].AgentAddr = a.addr
		list[i].Incarnation = a.lockedGate.incarnation()
	}
	return list
}
