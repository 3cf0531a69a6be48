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

// heartbeatsPerLease is the minimum number of heartbeats in the time of one lease. With four, the
// lease survives the loss of two consecutive heartbeats.
const heartbeatsPerLease = 4

var announceFailures = metrics.NewCounter("lilackeel_agent_announce_failures_total")

// announcer renews the lease of the agent's endpoints by heartbeats to the control leader.
type announcer struct {
	settings   *Settings
	lockedGate *lockedGate
	controls   *controls
	loaded     *loadedState
	health     *health
	logger     *slog.Logger
	addr       string

	// wakeup makes run send the next announcement at once.
	wakeup    chan struct{}
	stopping  atomic.Bool
	announced atomic.Bool

	mu       sync.Mutex
	sendFull bool
	// sentChanges is the sum of the change counters of loaded and health at the last full
	// announcement.
	sentChanges uint64
	// acknowledged is closed once a replica has accepted the announcement of the stop, or when run has
	// ended and no replica can accept it any more.
	acknowledged chan struct{}
	ackOnce      sync.Once
}

func newAnnouncer(s *Settings, g *lockedGate, c *controls, l *loadedState, h *health, logger *slog.Logger) *announcer {
	a := &announcer{
		settings:     s,
		lockedGate:   g,
		controls:     c,
		loaded:       l,
		health:       h,
		logger:       logger,
		addr:         s.Advertise,
		wakeup:       make(chan struct{}, 1),
		sendFull:     true,
		acknowledged: make(chan struct{}),
	}
	h.onTransition = a.wake
	return a
}

// run sends announcements until ctx ends. It returns an error if another process has taken over this
// agent's name.
func (a *announcer) run(ctx context.Context) error {
	defer a.acknowledge()
	for ctx.Err() == nil {
		interval, err := a.announce(ctx)
		if fault.Is(err, fault.Fenced) {
			return err
		}
		if err != nil && ctx.Err() == nil {
			announceFailures.Inc()
			a.logger.WarnContext(ctx, "no control replica accepted the announcement", slog.Any("error", err))
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
	case <-a.wakeup:
	case <-ctx.Done():
	}
}

// stop announces the planned stop at once and in every heartbeat from then on. The returned channel
// is closed when a replica has accepted it.
func (a *announcer) stop() <-chan struct{} {
	a.stopping.Store(true)
	a.mu.Lock()
	a.sendFull = true
	a.mu.Unlock()
	a.wake()
	return a.acknowledged
}

// wake makes run send an announcement at once, for example when the health of an endpoint changes.
func (a *announcer) wake() {
	select {
	case a.wakeup <- struct{}{}:
	default:
	}
}

// announce sends one heartbeat and returns the time until the next.
func (a *announcer) announce(ctx context.Context) (time.Duration, error) {
	changes := a.loaded.changeCount() + a.health.transitionCount()
	request := a.newRequest(changes)
	var response *controlv1.AnnounceResponse
	err := a.controls.Call(ctx, func(ctx context.Context, client controlv1.ControlClient) error {
		var err error
		response, err = client.Announce(ctx, request)
		return err
	})
	if err != nil {
		return 0, err
	}
	a.handleResponse(request, changes, response)
	return nextInterval(a.settings.HeartbeatInterval, response), nil
}

// nextInterval returns the time until the next announcement: the configured interval, or the longer
// one that the leader requests, but short enough to keep the lease.
func nextInterval(interval time.Duration, response *controlv1.AnnounceResponse) time.Duration {
	if response.GetSendFull() {
		return time.Millisecond
	}
	interval = max(interval, time.Duration(response.GetRenewMs())*time.Millisecond)
	if lease := time.Duration(response.GetLeaseMs()) * time.Millisecond; lease > 0 {
		interval = min(interval, lease/heartbeatsPerLease)
	}
	return max(interval, time.Millisecond)
}

// handleResponse records that an announcement was accepted. changes is the sum of the change counters
// when the request was built.
func (a *announcer) handleResponse(request *controlv1.AnnounceRequest, changes uint64, response *controlv1.AnnounceResponse) {
	a.mu.Lock()
	a.sendFull = response.GetSendFull() || (a.stopping.Load() && !request.GetStopping())
	if request.GetFull() {
		a.sentChanges = changes
	}
	a.mu.Unlock()
	a.lockedGate.raiseFence(response.GetFence())
	a.announced.Store(true)
	if request.GetStopping() && !response.GetSendFull() {
		a.acknowledge()
	}
}

func (a *announcer) acknowledge() { a.ackOnce.Do(func() { close(a.acknowledged) }) }

func (a *announcer) newRequest(changes uint64) *controlv1.AnnounceRequest {
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
	request.Full = a.sendFull || a.sentChanges != changes
	a.mu.Unlock()
	if request.GetFull() {
		request.Endpoints = a.announcedEndpoints()
	}
	return request
}

func (a *announcer) announcedEndpoints() []*fleetv1.Endpoint {
	list := make([]*fleetv1.Endpoint, len(a.settings.Endpoints))
	for i, e := range a.settings.Endpoints {
		list[i] = e.toProto(a.settings)
		a.loaded.apply(list[i])
		if a.health.down(e.ID) {
			list[i].State = fleetv1.EndpointState_ENDPOINT_STATE_LEAVING
		}
		list[i].AgentAddr = a.addr
		list[i].Incarnation = a.lockedGate.incarnation()
	}
	return list
}
