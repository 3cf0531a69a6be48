package agent

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"google.golang.org/grpc"

	"github.com/lilackeel/lilackeel/agent/ranks"
	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/feed"
	"github.com/lilackeel/lilackeel/inbound"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/telemetry"
	"github.com/lilackeel/lilackeel/wait"
)

const (
	// stopAckTimeout is the maximum time to wait for a control replica to accept the announcement of a
	// stop.
	stopAckTimeout = 3 * time.Second
	// drainPollInterval is the interval at which a stopping agent checks for calls in flight.
	drainPollInterval = 20 * time.Millisecond
	// readyPollInterval is the interval at which a starting agent checks whether it is ready.
	readyPollInterval = 20 * time.Millisecond
	// peerShare and stepsShare are the shares of the descriptors that entries and control replicas, and engines
	// that are ranks, may use.
	peerShare  = 1.0 / 2
	stepsShare = 1.0 / 8
)

// stoppingReason is the reason that a stopping agent gives for not being ready.
const stoppingReason = "stopping"

// Daemon is the assembled agent.
type Daemon struct {
	settings   *Settings
	logger     *slog.Logger
	ready      *telemetry.Ready
	lockedGate *lockedGate
	service    *service
	server     *grpc.Server
	feed       *feed.Client
	announcer  *announcer
	controls   *controls
	client     *endpointClient
	pool       *link.Pool
	pollers    []*poller
	ranks      *ranks.Ranks
	resources  *inbound.Resources

	listener net.Listener
	// steps is the listener for step requests; nil if the agent serves no rank.
	steps net.Listener
}

// Ready returns the readiness of the agent.
func (d *Daemon) Ready() *telemetry.Ready { return d.ready }

// Resources implements daemon.Daemon.
func (d *Daemon) Resources() *inbound.Resources { return d.resources }

// Listen opens the agent's listeners and returns the address of its gRPC service. Run calls Listen if
// it has not been called.
func (d *Daemon) Listen(ctx context.Context) (string, error) {
	listener, err := link.Listen(ctx, d.settings.Listen)
	if err != nil {
		return "", trace.Wrap(err, "cannot listen on %s", d.settings.Listen)
	}
	d.listener = listener
	if d.announcer.addr == "" {
		d.announcer.addr = listener.Addr().String()
	}
	if d.ranks.HasMembers() {
		if d.steps, err = link.Listen(ctx, d.settings.StepsListen); err != nil {
			return "", trace.NewAggregate(trace.Wrap(err, "cannot listen on %s", d.settings.StepsListen), listener.Close())
		}
	}
	return listener.Addr().String(), nil
}

// Run serves until ctx ends, or until another process has taken over the agent's name. It then does a
// planned stop: it reports that it is not ready, refuses new calls, announces the stop, waits for the
// calls in flight and returns.
func (d *Daemon) Run(ctx context.Context) error {
	if d.listener == nil {
		if _, err := d.Listen(ctx); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	d.feed.OnApply(func(_, view *feed.View, _ *fleetv1.Delta) { d.lockedGate.configure(view) })
	d.exportMetrics()
	d.readLoaded(ctx)
	var group sync.WaitGroup
	var fencedErr error
	d.start(background, &group)
	group.Go(func() { d.awaitReady(ctx) })
	group.Go(func() {
		fencedErr = d.announcer.run(background)
		cancel()
	})
	<-ctx.Done()
	d.stop()
	stopBackground()
	d.server.Stop()
	group.Wait()
	d.client.close()
	return trace.NewAggregate(fencedErr, d.pool.Close())
}

// start starts the goroutines that also run during a planned stop. They end with ctx.
func (d *Daemon) start(ctx context.Context, group *sync.WaitGroup) {
	group.Go(func() { _ = d.server.Serve(d.resources.PeerListener(d.listener, "peers", peerShare, d.logger)) })
	group.Go(func() { _ = d.feed.Run(ctx) })
	group.Go(func() { d.controls.learnFence(ctx, d.lockedGate) })
	for _, p := range d.pollers {
		group.Go(func() { p.loop(ctx) })
	}
	if d.steps != nil {
		group.Go(func() { d.ranks.Run(ctx) })
		group.Go(func() { d.serveSteps(ctx) })
	}
}

// serveSteps serves step requests of ranks until ctx ends. That is after the calls in flight have
// ended, because an engine needs further steps to finish them.
func (d *Daemon) serveSteps(ctx context.Context) {
	server := inbound.NewServer(inbound.Config{Name: "steps", MaxConnections: d.resources.Share(stepsShare), Logger: d.logger}, d.resources, d.ranks.Handler())
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(d.steps); !errors.Is(err, http.ErrServerClosed) {
		d.logger.Error("the server of step requests failed", slog.Any("error", err))
	}
}

// readLoaded reads back the state of all engines once, so that the first announcement includes it.
func (d *Daemon) readLoaded(ctx context.Context) {
	var group sync.WaitGroup
	for _, p := range d.pollers {
		group.Go(func() { p.readLoaded(ctx) })
	}
	group.Wait()
}

// awaitReady sets the agent ready once it has a configuration and a lease.
func (d *Daemon) awaitReady(ctx context.Context) {
	for ctx.Err() == nil {
		if d.feed.Ready() && d.announcer.announced.Load() {
			d.setReady(ctx)
			d.logger.InfoContext(ctx, "ready", slog.String("listen", d.listener.Addr().String()),
				slog.Uint64("incarnation", d.lockedGate.incarnation()))
			return
		}
		wait.For(ctx, readyPollInterval)
	}
}

// setReady sets the agent ready unless it is stopping.
func (d *Daemon) setReady(ctx context.Context) {
	d.ready.Set(true, "")
	if ctx.Err() != nil {
		d.ready.Set(false, stoppingReason)
	}
}

// stop performs the planned stop.
func (d *Daemon) stop() {
	d.ready.Set(false, stoppingReason)
	d.logger.Info("stopping", slog.Int("in_flight", d.lockedGate.inFlight()))
	d.lockedGate.stop()
	ctx, cancel := d.stopContext()
	defer cancel()
	acknowledged := d.announcer.stop()
	d.awaitDrain(ctx, acknowledged)
	d.announceDrained(ctx, acknowledged)
	close(d.service.drained)
	d.stopServer(ctx)
	d.logger.Info("stopped", slog.Int("in_flight", d.lockedGate.inFlight()))
}

// awaitDrain waits until a replica has accepted the announcement of the stop, at most for
// stopAckTimeout, and then until no call is in flight. It returns early when ctx ends.
func (d *Daemon) awaitDrain(ctx context.Context, acknowledged <-chan struct{}) {
	select {
	case <-acknowledged:
	case <-time.After(stopAckTimeout):
	case <-ctx.Done():
	}
	for d.lockedGate.inFlight() > 0 && ctx.Err() == nil {
		wait.For(ctx, drainPollInterval)
	}
}

// stopServer stops the gRPC server gracefully. It returns early when ctx ends.
func (d *Daemon) stopServer(ctx context.Context) {
	stopped := make(chan struct{})
	go func() {
		d.server.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-ctx.Done():
	}
}

// announceDrained announces that all calls have ended, if the stop itself could be announced.
func (d *Daemon) announceDrained(ctx context.Context, acknowledged <-chan struct{}) {
	select {
	case <-acknowledged:
	default:
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stopAckTimeout)
	defer cancel()
	if _, err := d.announcer.announce(ctx); err != nil {
		d.logger.Warn("cannot announce that all calls have ended", slog.Any("error", err))
	}
}

// stopContext returns a context that ends after the stop limit, if there is one.
func (d *Daemon) stopContext() (context.Context, context.CancelFunc) {
	if d.settings.StopLimit == 0 {
		return context.WithCancel(context.Background())
	}
	return context.WithTimeout(context.Background(), d.settings.StopLimit)
}

// exportMetrics registers the gauges of this agent. If one process runs several agents, as tests do,
// the gauges are those of the first.
func (d *Daemon) exportMetrics() {
	metrics.GetOrCreateGauge("lilackeel_agent_configuration_revision", func() float64 {
		return float64(d.lockedGate.revision())
	})
	metrics.GetOrCreateGauge("lilackeel_agent_knowledge_age_seconds", func() float64 {
		_, at, ok := d.feed.Freshness()
		if !ok {
			return -1
		}
		return time.Since(at).Seconds()
	})
	for _, e := range d.settings.Endpoints {
		metrics.GetOrCreateGauge(`lilackeel_agent_in_flight{endpoint="`+e.ID+`"}`, func() float64 {
			return float64(d.lockedGate.inFlightAt(e.ID))
		})
	}
}

func newResources(s *Settings) *inbound.Resources { return s.Inbound.Resources() }

// newServer returns a gRPC server with the agent's service registered.
func newServer(s *Settings, resources *inbound.Resources, agent *service) (*grpc.Server, error) {
	options, err := link.ServerOptions(s.Link)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	options = append(options, resources.PeerOptions()...)
	options = append(options, grpc.MaxRecvMsgSize(int(s.MaxMessage)))
	server := grpc.NewServer(options...)
	agentv1.RegisterAgentServer(server, agent)
	return server, nil
}

func newPool(s *Settings) (*link.Pool, error) {
	options, err := link.DialOptions(s.Link)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return link.NewPool(options...), nil
}

func newFeed(s *Settings, i incarnation, logger *slog.Logger) (*feed.Client, error) {
	options, err := link.DialOptions(s.Link)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return feed.NewClient(feed.Config{
		Sources:     s.Feed,
		Daemon:      s.Name,
		Role:        "agent",
		Zone:        s.Zone,
		Incarnation: uint64(i),
		DialOptions: options,
		Logger:      logger,
	}), nil
}

func newPollers(s *Settings, g *lockedGate, c *endpointClient, b *reportBuffer, l *loadedState, h *health, logger *slog.Logger) []*poller {
	list := make([]*poller, len(s.Endpoints))
	for i, e := range s.Endpoints {
		list[i] = &poller{endpoint: e, lockedGate: g, client: c, reportBuffer: b, loaded: l, health: h, logger: logger, interval: s.PollInterval}
	}
	return list
}
