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
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/routed"
	"github.com/lilackeel/lilackeel/telemetry"
	"github.com/lilackeel/lilackeel/wait"
)

const (
	// headerTimeout bounds how long a caller may take to send the headers.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds how long a connection may stay unused.
	idleTimeout = 2 * time.Minute
	// headerHardLimit is where net/http cuts headers off without a typed error;
	// the setting max-headers lies below it.
	headerHardLimit = 1<<20 + 64<<10
	// outlierInterval is the time between two verdicts on outliers.
	outlierInterval = time.Second
	// stopQuiet is how long nothing must have been in flight before the connections
	// of callers are closed: a few times the way of a request. stopPoll is the time
	// between two looks.
	stopQuiet = 200 * time.Millisecond
	stopPoll  = 20 * time.Millisecond
	// reasonStopping is why a stopping entry is not ready.
	reasonStopping = "stopping"
)

// Daemon is a running entry.
type Daemon struct {
	config     Config
	server     *Server
	routed     *routed.Server
	feed       *feed.Client
	relay      *relay
	configurer *configurer
	outliers   *outlier.Detector
	pool       *link.Pool
	ready      *telemetry.Ready
	logger     *slog.Logger
	listener   net.Listener
	// stopping is set before readiness falls.
	stopping atomic.Bool `wire:"-"`
}

// Addr returns host:port for callers, with the port chosen if it was 0.
func (d *Daemon) Addr() string { return d.listener.Addr().String() }

// Ready says whether the daemon takes new requests.
func (d *Daemon) Ready() *telemetry.Ready { return d.ready }

// Reload puts the sources of the configuration of other settings in force; the
// rest cannot change while the daemon runs.
func (d *Daemon) Reload(fresh Config) { d.feed.SetSources(fresh.Feed) }

// Run serves callers until ctx ends, and then stops without cutting a request:
// readiness falls first, after the drain delay no connection is accepted any
// more, and the requests in flight finish.
func (d *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer func() { _ = d.pool.Close() }()
	d.feed.OnApply(func(_, view *feed.View, delta *fleetv1.Delta) { d.applied(background, view, delta) })
	go func() { _ = d.feed.Run(background) }()
	relayed := make(chan struct{})
	go func() {
		defer close(relayed)
		d.relay.run(ctx)
	}()
	defer func() { <-relayed }()
	go d.tickOutliers(background)
	countQuarantine(d.configurer.reports.crashes)
	go d.configurer.reports.publishCrashReports(background)
	go d.configurer.reports.publishSuspicions(background)
	if d.config.Routed {
		go d.throttle(background)
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

func (d *Daemon) applied(ctx context.Context, view *feed.View, delta *fleetv1.Delta) {
	d.configurer.apply(ctx, view, delta)
	d.logger.Debug("a configuration is in force", slog.Uint64("revision", view.Revision))
	if d.config.Routed && !d.routed.Published() {
		return
	}
	d.ready.Set(true, "")
	if d.stopping.Load() {
		d.ready.Set(false, reasonStopping)
	}
}

// stop ends the service after the requests in flight.
func (d *Daemon) stop(ctx context.Context, server *http.Server, failed <-chan error) error {
	d.stopping.Store(true)
	d.ready.Set(false, reasonStopping)
	d.logger.Info("stopping after the requests in flight", slog.Int64("requests", d.server.metrics.inFlight.Load()+d.routed.InFlight()))
	if d.config.Routed {
		return d.stopRouted(ctx, server, failed)
	}
	server.SetKeepAlivesEnabled(false)
	wait.For(ctx, d.config.DrainDelay)
	err := server.Shutdown(ctx)
	d.server.Settled()
	if served := <-failed; !errors.Is(served, http.ErrServerClosed) {
		err = errors.Join(err, served)
	}
	return trace.Wrap(err)
}

// stopRouted ends the service to callers of routes. net/http's own shutdown
// closes connections that it takes for idle although a request has just come on
// them, which would be cut. So callers are asked to leave with each answer, then
// refused, and connections are closed only when nothing has been in flight for a
// moment.
func (d *Daemon) stopRouted(ctx context.Context, server *http.Server, failed <-chan error) error {
	limit := time.Now().Add(d.config.StopLimit)
	d.routed.DisableKeepAlives()
	wait.For(ctx, d.config.DrainDelay)
	d.routed.RejectRequests()
	quiet := time.Now()
	for time.Since(quiet) < stopQuiet && time.Now().Before(limit) {
		wait.For(ctx, stopPoll)
		if d.routed.InFlight() > 0 {
			quiet = time.Now()
		}
	}
	d.logger.Info("stopped", slog.Int64("cut", d.routed.InFlight()))
	err := server.Close()
	if served := <-failed; !errors.Is(served, http.ErrServerClosed) {
		err = errors.Join(err, served)
	}
	return trace.Wrap(err)
}

// httpServer serves callers by HTTP/1.1 and by HTTP/2 without TLS, as the
// balancer in front prefers.
func (d *Daemon) httpServer() *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	if d.config.Routed {
		return d.routedServer(protocols)
	}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           d.server,
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerHardLimit,
		ErrorLog:          slog.NewLogLogger(d.logger.Handler(), slog.LevelDebug),
	}
}

// routedServer serves callers of routes, whose requests are watched for mixed
// framing.
func (d *Daemon) routedServer(protocols *http.Protocols) *http.Server {
	guard := routed.FramingGuard{Listener: d.listener}
	d.listener = guard
	return &http.Server{
		Handler:           d.routed,
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       d.config.CallerIdle,
		MaxHeaderBytes:    headerHardLimit,
		ConnState:         guard.ConnState,
		ConnContext:       guard.ConnContext,
		ErrorLog:          slog.NewLogLogger(d.logger.Handler(), slog.LevelDebug),
	}
}

// throttle keeps the calls in flight to what keeps the pace of the pools.
func (d *Daemon) throttle(ctx context.Context) {
	ticker := time.NewTicker(routed.CapacityUpdateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.routed.UpdateCapacity(d.configurer.admissions, d.entries())
		}
	}
}

// entries is the number of entries of the fleet: as many as read the reports of the
// ranks' hosts or, where none says, as the settings name.
func (d *Daemon) entries() int {
	if readers := d.configurer.reports.Readers(); readers > 0 {
		return readers
	}
	return max(d.config.Peers, 1)
}

// tickOutliers takes the endpoints out of rotation that do worse than their
// peers.
func (d *Daemon) tickOutliers(ctx context.Context) {
	ticker := time.NewTicker(outlierInterval)
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
