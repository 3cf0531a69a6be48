package entry

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/emicklei/go-restful/v3"
	"go.opentelemetry.io/otel/attribute"

	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/endpoint/outlier"
	"github.com/lilackeel/lilackeel/endpoint/prefix"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/memory"
	"github.com/lilackeel/lilackeel/quarantine"
	"github.com/lilackeel/lilackeel/telemetry"
)

// Dependencies are the dependencies of a Server.
type Dependencies struct {
	Directory *Directory
	Admitter  Admitter
	Picker    Picker
	Loads     *load.Tracker
	Index     *prefix.Index
	Outliers  *outlier.Detector
	Agents    Agents
	Claims    Claims
	Targets   TargetResolver
	// Quarantine tracks the requests that may have crashed endpoints.
	Quarantine *quarantine.Tracker
	RateLimits *RateLimits
	// Bodies limits the memory for the bodies of requests.
	Bodies *memory.Budget
	Logger *slog.Logger
}

// Server handles the requests of callers by the completions API and the services of the
// configuration. It implements http.Handler.
type Server struct {
	Dependencies
	config    Config
	policy    *call.Policy
	budget    *call.Budget
	ids       *idGenerator
	start     time.Time
	directory *Directory
	models    *restful.Container
	metrics   *serverMetrics
	// pendingRecords counts the ended calls whose record is still being written.
	pendingRecords sync.WaitGroup
}

// NewServer returns a Server with the given dependencies.
func NewServer(cfg Config, dependencies Dependencies) *Server {
	s := &Server{
		Dependencies: dependencies,
		config:       cfg,
		policy:       cfg.policy(),
		budget:       call.NewBudget(cfg.budget()),
		ids:          newIDGenerator(),
		start:        processStart,
		directory:    dependencies.Directory,
		metrics:      newServerMetrics(),
	}
	s.models = s.newModelContainer()
	return s
}

// processStart is the origin of the times that the entry passes to packages without a clock of
// their own.
var processStart = time.Now()

// now returns the monotonic time since the entry started.
func (s *Server) now() time.Duration { return time.Since(s.start) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.metrics.inFlight.Add(1)
	defer s.metrics.inFlight.Add(-1)
	id := r.Header.Get(call.HeaderRequestID)
	if !validRequestID(id) {
		id = s.ids.next()
	}
	w.Header().Set(call.HeaderRequestID, id)
	ctx, span := telemetry.StartSpan(telemetry.Extract(r.Context(), r.Header), "entry", attribute.String("request_id", id))
	defer span.End()
	r = r.WithContext(context.WithValue(ctx, requestIDKey{}, id))
	if strings.HasPrefix(r.URL.Path, "/v1/") {
		s.models.ServeHTTP(w, r)
		return
	}
	s.forwardToService(w, r)
}

// WaitForRecords waits until the records of all ended calls are written.
func (s *Server) WaitForRecords() { s.pendingRecords.Wait() }

// requestIDKey is the context key of the request id.
type requestIDKey struct{}

func requestID(r *http.Request) string {
	id, _ := r.Context().Value(requestIDKey{}).(string)
	return id
}

// newModelContainer returns the router of the completions API.
func (s *Server) newModelContainer() *restful.Container {
	service := new(restful.WebService).Path("/v1")
	service.Route(service.POST("/chat/completions").To(s.handler(s.serveChat)))
	service.Route(service.POST("/completions").To(s.handler(s.serveText)))
	service.Route(service.GET("/models").To(s.handler(s.serveModels)))
	container := restful.NewContainer()
	container.DoNotRecover(true)
	container.ServiceErrorHandler(s.handleRouteError)
	container.Add(service)
	return container
}

func (s *Server) handler(serve http.HandlerFunc) restful.RouteFunction {
	return func(r *restful.Request, w *restful.Response) { serve(w.ResponseWriter, r.Request) }
}

// handleRouteError handles requests below /v1 that the completions API does not serve. Unknown
// paths are passed on to the services.
func (s *Server) handleRouteError(e restful.ServiceError, r *restful.Request, w *restful.Response) {
	if e.Code == http.StatusNotFound {
		s.forwardToService(w.ResponseWriter, r.Request)
		return
	}
	for name, values := range e.Header {
		w.ResponseWriter.Header()[name] = values
	}
	s.refuse(w.ResponseWriter, r.Request, call.RefuseWithStatus(e.Code, fault.Newf(fault.Invalid,
		"use a method and content type that the completions API supports", "%s %s is not allowed: %s", r.Request.Method, r.Request.URL.Path, e.Message)))
}

// refuse answers a request that was not admitted.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, v *call.Verdict) {
	id := requestID(r)
	newDelivery(w, s.config.WriteTimeout, id).finish(v)
	s.metrics.recordRefused(v)
	s.Logger.LogAttrs(r.Context(), slog.LevelInfo, "refused a request",
		slog.String("request_id", id), slog.String("kind", string(v.Fault.Kind)),
		slog.String("message", v.Fault.Message), slog.Int("status", v.HTTPStatus()))
}
