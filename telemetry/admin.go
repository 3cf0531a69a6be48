package telemetry

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lilackeel/lilackeel/fault"
)

// adminTimeout bounds how long reading one admin request may take.
const adminTimeout = 5 * time.Second

// Ready says whether a daemon takes new work. It starts as not ready and is
// safe for concurrent use.
type Ready struct {
	mu     sync.Mutex
	ready  bool
	reason string
}

// NewReady returns a Ready that is not ready because the daemon is starting.
func NewReady() *Ready { return &Ready{reason: "starting"} }

// Set changes the readiness. The reason is shown while not ready.
func (r *Ready) Set(ready bool, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ready = ready
	r.reason = reason
}

// Get returns the readiness and the reason given last.
func (r *Ready) Get() (ready bool, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready, r.reason
}

// Admin serves /metrics in the Prometheus text format, /healthz (200 while the
// process serves at all) and /readyz (200 while it takes new work, else 503
// with the reason).
func Admin(ready *Ready) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		metrics.WritePrometheus(w, true)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		isReady, reason := ready.Get()
		if !isReady {
			http.Error(w, "not ready: "+reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
	return mux
}

// AdminServer is a running admin listener.
type AdminServer struct {
	server *http.Server
	addr   string
}

// ServeAdmin listens on cfg.AdminListen and serves Admin in the background. With
// an empty address it serves nothing.
func ServeAdmin(cfg Config, ready *Ready, logger *slog.Logger) (*AdminServer, error) {
	if cfg.AdminListen == "" {
		return &AdminServer{}, nil
	}
	listener, err := net.Listen("tcp", cfg.AdminListen)
	if err != nil {
		return nil, fault.Newf(fault.Invalid, "choose a free address with -admin-listen",
			"cannot listen on %s", cfg.AdminListen).WithCause(err)
	}
	server := &http.Server{
		Handler:           Admin(ready),
		ReadHeaderTimeout: adminTimeout,
		ErrorLog:          slog.NewLogLogger(logger.Handler(), slog.LevelWarn),
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			logger.Error("the admin listener stopped", "error", err)
		}
	}()
	return &AdminServer{server: server, addr: listener.Addr().String()}, nil
}

// Addr returns host:port of the listener, with the port chosen if it was 0.
func (a *AdminServer) Addr() string { return a.addr }

// Shutdown stops the listener after the requests in flight.
func (a *AdminServer) Shutdown(ctx context.Context) error {
	if a.server == nil {
		return nil
	}
	return a.server.Shutdown(ctx)
}
