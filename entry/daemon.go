package entry

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/endpoint/outlier"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/feed"
	"github.com/lilackeel/lilackeel/inbound"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/routed"
	"github.com/lilackeel/lilackeel/telemetry"
	"github.com/lilackeel/lilackeel/wait"
)

const (
	// callerShare is the share of the descriptors that callers may use. Above keptShare, connections close
	// after each response. Requests need the others to reach endpoints.
	callerShare = 5.0 / 8
	keptShare   = 1.0 / 2
	// outlierCheckInterval is the interval of outlier detection.
	outlierCheckInterval = time.Second
	// drainQuietPeriod is how long no request must have been in flight before the connections of
	// callers are closed: a few times the network latency of a request. drainPollInterval is the
	// interval at which this is checked.
	drainQuietPeriod  = 200 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
	// reasonStopping is the reason given for a stopping entry not being ready.
	reasonStopping = "stopping"
)

// Daemon is the entry daemon.
type Daemon struct {
	config     Config
	server     *Server
	routed     *routed.Server
	feed       *feed.Client
	relay      *relay
	configurer *configurer
	demand     *DemandExchange
	outliers   *outlier.Detector
	pool       *link.Pool
	ready      *telemetry.Ready
	logger     *slog.Logger
	listener   net.Listener
	resources  *inbound.Resources
	// stopping is set before the daemon becomes unready.
	stopping atomic.Bool `wire:"-"`
}

// Addr returns the address for callers, host:port, with the actual port if the settings give 0.
func (d *Daemon) Addr() string { return d.listener.Addr().String() }

// Ready returns the readiness of the daemon to take new requests.
func (d *Daemon) Ready() *telemetry.Ready { return d.ready }

// Resources implements daemon.Daemon.
func (d *Daemon) Resources() *inbound.Resources { return d.resources }

// Reload applies the configuration sources of the updated settings. Other settings cannot change
// while the daemon runs.
func (d *Daemon) Reload(updated Config) { d.feed.SetSources(updated.Feed) }

// Run serves callers until ctx ends, and then stops gracefully: the daemon becomes unready first,
// stops accepting connections after the drain delay, and lets the requests in flight finish.
func (d *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer func() { _ = d.pool.Close() }()
	d.feed.OnApply(func(_, view *feed.View, delta *fleetv1.Delta) { d.onApply(background, view, delta) })
	go func() { _ = d.feed.Run(background) }()
	relayDone := make(chan struct{})
	go func() {
		defer close(relayDone)
		d.relay.run(ctx)
	}()
	defer func() { <-relayDone }()
	go d.detectOutliers(background)
	registerQuarantineGauges(d.configurer.reports.crashes)
	registerQuarantinedPartGauges(d.configurer.reports.crashes.Parts())
	go d.configurer.reports.logHeldParts(background)
	go d.configurer.reports.publishCrashReports(background)
	go d.configurer.reports.publishSuspicions(background)
	if d.config.Routed {
		go d.runCapacityUpdates(background)
		go d.demand.run(background)
	}
	server := d.httpServer()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(d.listener) }()
	d.logger.Info("listening for callers", slog.String("address", d.Addr()))
	select {
	case err := <-failed:
		return trace.Wrap(err)
	case <-ctx.Done():
	}
	return d.stop(background, server, failed)
}

func (d *Daemon) onApply(ctx context.Context, view *feed.View, delta *fleetv1.Delta) {
	d.configurer.apply(ctx, view, delta)
	d.logger.Debug("applied a configuration", slog.Uint64("revision", view.Revision))
	if d.config.Routed && !d.routed.Published() {
		return
	}
	d.ready.Set(true, "")
	if d.stopping.Load() {
		d.ready.Set(false, reasonStopping)
	}
}

// stop shuts the server down after the requests in flight have finished.
func (d *Daemon) stop(ctx context.Context, server *inbound.Server, failed <-chan error) error {
	d.stopping.Store(true)
	d.ready.Set(false, reasonStopping)
	d.logger.Info("stopping after the requests in flight", slog.Int64("requests", d.server.metrics.inFlight.Load()+d.routed.InFlight()))
	if d.config.Routed {
		return d.stopRouted(ctx, server, failed)
	}
	server.SetKeepAlivesEnabled(false)
	wait.For(ctx, d.config.DrainDelay)
	err := server.Shutdown(ctx)
	d.server.WaitForRecords()
	if serveErr := <-failed; !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.Join(err, serveErr)
	}
	return trace.Wrap(err)
}

// stopRouted shuts the server of routes down. http.Server.Shutdown is not used: it closes
// connections that it considers idle although a request has just arrived on them, and so aborts
// that request. Instead, every answer first asks the caller to close its connection, then new
// requests are refused, and connections are closed only after no request has been in flight for
// drainQuietPeriod.
func (d *Daemon) stopRouted(ctx context.Context, server *inbound.Server, failed <-chan error) error {
	deadline := time.Now().Add(d.config.StopLimit)
	d.routed.DisableKeepAlives()
	wait.For(ctx, d.config.DrainDelay)
	d.routed.RejectRequests()
	idleSince := time.Now()
	for time.Since(idleSince) < drainQuietPeriod && time.Now().Before(deadline) {
		wait.For(ctx, drainPollInterval)
		if d.routed.InFlight() > 0 {
			idleSince = time.Now()
		}
	}
	d.logger.Info("stopped", slog.Int64("cut", d.routed.InFlight()))
	err := server.Close()
	if serveErr := <-failed; !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.Join(err, serveErr)
	}
	return trace.Wrap(err)
}

// httpServer returns the HTTP server for callers. Unless the entry answers by routes, it supports
// HTTP/1.1 and HTTP/2 without TLS, whichever the load balancer in front of it prefers.
func (d *Daemon) httpServer() *inbound.Server {
	config := inbound.Config{Name: "callers", MaxConnections: d.resources.Share(callerShare), RetryAfterFormat: d.config.RetryAfterFormat, Logger: d.logger}
	if d.config.Routed {
		config.Limits, config.ConnState = d.routedLimits, d.routed.ConnState
		return inbound.NewServer(config, d.resources, d.routed)
	}
	config.Limits, config.HTTP2 = d.callerLimits, true
	return inbound.NewServer(config, d.resources, d.server)
}

// callerLimits returns the limits on callers by the settings.
func (d *Daemon) callerLimits() inbound.Limits {
	return inbound.Limits{HeadBytes: d.config.MaxHeaderBytes, HeadTimeout: d.config.HeaderTimeout, IdleTimeout: d.config.CallerIdle}
}

// routedLimits returns the limits on callers by the published site, and by the settings where it sets none.
func (d *Daemon) routedLimits() inbound.Limits {
	return d.routed.Limits(d.callerLimits())
}

// runCapacityUpdates periodically updates the capacity of the pools, which limits the calls in
// flight to the number at which the pools keep their step rate.
func (d *Daemon) runCapacityUpdates(ctx context.Context) {
	ticker := time.NewTicker(routed.CapacityUpdateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.routed.UpdateCapacity(d.configurer.admission, d.entryCount())
		}
	}
}

// entryCount returns the number of entries of the fleet: those that read the reports of the ranks'
// hosts or, if no host reports that, the configured number.
func (d *Daemon) entryCount() int {
	if readers := d.configurer.reports.Readers(); readers > 0 {
		return readers
	}
	return max(d.config.Peers, 1)
}

// detectOutliers periodically ejects the endpoints that perform worse than their peers.
func (d *Daemon) detectOutliers(ctx context.Context) {
	ticker := time.NewTicker(outlierCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.outliers.Tick(time.Since(processStart))
		}
	}
}

// listen opens the listener for callers.
func listen(cfg Config) (net.Listener, error) {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fault.Newf(fault.Invalid, "choose a free address with -listen", "cannot listen on %s", cfg.Listen).WithCause(err)
	}
	return listener, nil
}
