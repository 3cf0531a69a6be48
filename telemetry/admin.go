package telemetry

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/inbound"
)

// adminShare is the share of the process's descriptors that clients of the admin listener may use.
const adminShare = 1.0 / 16

// Ready is the readiness of a daemon: whether it accepts new work. It is safe for
// concurrent use.
type Ready struct {
	mu     sync.Mutex
	ready  bool
	reason string
}

// NewReady returns a Ready that is not ready, with the reason "starting".
func NewReady() *Ready { return &Ready{reason: "starting"} }

// Set changes the readiness. The reason is reported while the daemon is not ready.
func (r *Ready) Set(ready bool, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ready = ready
	r.reason = reason
}

// Get returns the readiness and the reason passed to the last Set.
func (r *Ready) Get() (ready bool, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready, r.reason
}

// AdminHandler serves /metrics in the Prometheus text format, /healthz (always
// 200) and /readyz (200 while the daemon accepts new work, otherwise 503 with the
// reason).
func AdminHandler(ready *Ready) http.Handler {
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

// AdminServer serves AdminHandler on a listener of its own.
type AdminServer struct {
	server *inbound.Server
	addr   string
}

// ServeAdmin listens on cfg.AdminListen and serves AdminHandler in the background.
// If the address is empty, it does nothing.
func ServeAdmin(cfg Config, ready *Ready, resources *inbound.Resources, logger *slog.Logger) (*AdminServer, error) {
	if cfg.AdminListen == "" {
		return &AdminServer{}, nil
	}
	listener, err := net.Listen("tcp", cfg.AdminListen)
	if err != nil {
		return nil, fault.Newf(fault.Invalid, "choose a free address with -admin-listen",
			"cannot listen on %s", cfg.AdminListen).WithCause(err)
	}
	server := inbound.NewServer(inbound.Config{
		Name: "admin", MaxConnections: resources.Share(adminShare),
		BodyTimeout: inbound.DefaultBodyTimeout, WriteTimeout: inbound.DefaultWriteTimeout, Logger: logger,
	}, resources, AdminHandler(ready))
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			logger.Error("the admin listener stopped", "error", err)
		}
	}()
	return &AdminServer{server: server, addr: listener.Addr().String()}, nil
}

// Addr returns the host:port of the listener, with the port that the system chose
// if the configured port was 0. It is empty if there is no listener.
func (a *AdminServer) Addr() string { return a.addr }

// Shutdown stops the listener and waits for the requests in flight.
func (a *AdminServer) Shutdown(ctx context.Context) error {
	if a.server == nil {
		return nil
	}
	return a.server.Shutdown(ctx)
}
