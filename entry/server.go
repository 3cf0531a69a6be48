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
	"github.com/lilackeel/lilackeel/quarantine"
	"github.com/lilackeel/lilackeel/telemetry"
)

// Parts are the dependencies of a Server.
type Parts struct {
	Directory *Directory
	Admitter  Admitter
	Picker    Picker
	Loads     *load.Tracker
	Index     *prefix.Index
	Outliers  *outlier.Detector
	Agents    Agents
	Claims    Claims
	Knowledge Knowledge
	// Quarantine knows the requests under which endpoints have ended.
	Quarantine *quarantine.Tracker
	RateLimits *RateLimits
	Logger     *slog.Logger
}

// Server answers callers. It is an http.Handler.
type Server struct {
	Parts
	config    Config
	policy    *call.Policy
	budget    *call.Budget
	ids       *ids
	start     time.Time
	directory *Directory
	models    *restful.Container
	metrics   *serverMetrics
	// records are the ended calls whose record is still being written.
	records sync.WaitGroup
}

// NewServer returns a server over the given parts.
func NewServer(cfg Config, parts Parts) *Server {
	s := &Server{
		Parts:     parts,
		config:    cfg,
		policy:    cfg.policy(),
		budget:    call.NewBudget(cfg.budget()),
		ids:       newIDs(),
		start:     processStart,
		directory: parts.Directory,
		metrics:   newServerMetrics(),
	}
	s.models = s.modelContainer()
	return s
}

// processStart is the zero of all times that the entry passes to pure packages.
var processStart = time.Now()

// now returns the time since the entry started, monotonic.
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
	ctx, span := telemetry.Span(telemetry.Extract(r.Context(), r.Header), "entry", attribute.String("request_id", id))
	defer span.End()
	r = r.WithContext(context.WithValue(ctx, requestIDKey{}, id))
	if strings.HasPrefix(r.URL.Path, "/v1/") {
		s.models.ServeHTTP(w, r)
		return
	}
	s.serveService(w, r)
}

// Settled returns once the records of all ended calls are written.
func (s *Server) Settled() { s.records.Wait() }

// requestIDKey is the context key of the request id.
type requestIDKey struct{}

func requestID(r *http.Request) string {
	id, _ := r.Context().Value(requestIDKey{}).(string)
	return id
}

// modelContainer routes the completions API.
func (s *Server) modelContainer() *restful.Container {
	service := new(restful.WebService).Path("/v1")
	service.Route(service.POST("/chat/completions").To(s.handler(s.serveChat)))
	service.Route(service.POST("/completions").To(s.handler(s.serveText)))
	service.Route(service.GET("/models").To(s.handler(s.serveModels)))
	container := restful.NewContainer()
	container.DoNotRecover(true)
	container.ServiceErrorHandler(s.noRoute)
	container.Add(service)
	return container
}

func (s *Server) handler(serve http.HandlerFunc) restful.RouteFunction {
	return func(r *restful.Request, w *restful.Response) { serve(w.ResponseWriter, r.Request) }
}

// noRoute answers a path below /v1 that the completions API does not have: a
// service may have it.
func (s *Server) noRoute(e restful.ServiceError, r *restful.Request, w *restful.Response) {
	if e.Code == http.StatusNotFound {
		s.serveService(w.ResponseWriter, r.Request)
		return
	}
	for name, values := range e.Header {
		w.ResponseWriter.Header()[name] = values
	}
	s.refuse(w.ResponseWriter, r.Request, call.RefuseWithStatus(e.Code, fault.Newf(fault.Invalid,
		"use the method and the content type that the completions API describes", "%s %s is not allowed: %s", r.Request.Method, r.Request.URL.Path, e.Message)))
}

// refuse answers a request that was not taken on.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, v *call.Verdict) {
	id := requestID(r)
	newDelivery(w, s.config.WriteTimeout, id).end(v)
	s.metrics.refused(v)
	s.Logger.LogAttrs(r.Context(), slog.LevelInfo, "refused a request",
		slog.String("request_id", id), slog.String("kind", string(v.Fault.Kind)),
		slog.String("message", v.Fault.Message), slog.Int("status", v.HTTPStatus()))
}
