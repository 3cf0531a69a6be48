package routed

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lilackeel/lilackeel/answer"
	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/direct"
	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/endpoint/lockstep"
	"github.com/lilackeel/lilackeel/endpoint/outlier"
	"github.com/lilackeel/lilackeel/endpoint/pick"
	"github.com/lilackeel/lilackeel/endpoint/reach"
	"github.com/lilackeel/lilackeel/endpoint/suspicion"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/quarantine"
	"github.com/lilackeel/lilackeel/ratelimit"
	"github.com/lilackeel/lilackeel/site"
	"github.com/lilackeel/lilackeel/telemetry"
	"github.com/lilackeel/lilackeel/workspace"
)

// Admitter lets requests in. The error is a fault and means that the request has
// not run; release must be called once after success.
type Admitter interface {
	// AdmitTo waits for a place in a pool at most until ctx ends.
	AdmitTo(ctx context.Context, pool string, r workspace.Request) (release func(), err error)
	// AdmitLate waits up to patience for a place that nobody else waits for, or for one
	// where answers come late.
	AdmitLate(ctx context.Context, pool string, r workspace.Request, patience time.Duration) (release func(), err error)
}

// Picker chooses the endpoint of a call; pick.Picker is one.
type Picker interface {
	// Pick returns the endpoint and how it was chosen. The error is a fault.
	Pick(now time.Duration, rng *rand.Rand, r *pick.Request) (endpoint.Endpoint, pick.Explain, error)
}

// RateLimits knows what endpoints say of the requests that they take.
type RateLimits interface {
	// Answered takes in what an answer of an endpoint says of the requests that it takes.
	Answered(e *endpoint.Endpoint, f ratelimit.Feedback)
	// Admit reports whether one more request may be sent to an endpoint now, and counts it;
	// again is true for a further attempt. It may ask a host.
	Admit(ctx context.Context, e *endpoint.Endpoint, again bool) bool
	// Limited returns the endpoints that name a limit, Closed those to which nothing may be
	// sent now.
	Limited() []string
	Closed() []string
	// InPause reports whether an endpoint has asked for a pause that has not ended.
	InPause(id string) bool
	// Reserves returns the endpoints that leave or have asked for a pause, with times of the
	// server's clock.
	Reserves() map[string]ratelimit.Restriction
	// Refusal returns the fault of a request for which no endpoint of a pool is left, if some
	// take requests again later; nil otherwise.
	Refusal(pool string) *fault.Error
}

// Config is how a Server answers.
type Config struct {
	// Name names the entry and Zone its availability zone.
	Name, Zone string
	// Headers are the names of the headers that it acts on.
	Headers Headers
	// RetryStyle is how callers are told when to come back.
	RetryStyle answer.Style
	// MaxHeaderBytes and MaxBodyBytes bound requests where the site says nothing.
	MaxHeaderBytes, MaxBodyBytes int64
	// BodyTimeout bounds the time in which a caller sends the body, WriteTimeout
	// the time in which it takes one part of the answer.
	BodyTimeout, WriteTimeout time.Duration
	// HoldBytes is how much of an answer that is not a stream is held back until
	// it is whole.
	HoldBytes int
	// Backoff is the wait before a retry, RetryAfter what callers are told when
	// nothing better is known.
	Backoff    call.Backoff
	RetryAfter time.Duration
	// AccessLog writes a line for every answered request, too.
	AccessLog bool
}

// Parts are the dependencies of a Server.
type Parts struct {
	Admitter  Admitter
	Picker    Picker
	Endpoints *endpoint.Table
	Loads     *load.Tracker
	Outliers  *outlier.Detector
	Reach     *reach.Tracker
	Groups    *lockstep.Tracker
	// Quarantine knows the requests under which endpoints have ended.
	Quarantine *quarantine.Tracker
	RateLimits RateLimits
	// Suspects are endpoints that do not answer, on the evidence of all entries.
	Suspects *suspicion.Tracker
	Client   *direct.Client
	Budget   *call.Budget
	Logger   *slog.Logger
}

// Server answers callers. It is an http.Handler.
type Server struct {
	Parts
	config  Config
	private map[string]bool
	metrics *serverMetrics
	// throttle keeps the pace of the pools.
	throttle *throttle
	// usual is how long callers allow when they first ask.
	usual usualWait
	// firsts is how long first parts take once a request has its place.
	firsts firstParts
	// lengths is how many parts streams have.
	lengths streamLengths
	// paths is how late parts come on the way from each zone.
	paths pathDelays
	// placement says which groups calls go to.
	placement atomic.Pointer[placement]
	clock     func() time.Duration
	name      string
	// start tells the ids made by this process from those of others of its name.
	start    uint64
	sequence atomic.Uint64
	table    atomic.Pointer[site.Table]
	// since is when the first site came, in nanoseconds of the clock; zero before.
	since    atomic.Int64
	stopping atomic.Bool
	refusing atomic.Bool
}

// NewServer returns a server without a site. The clock returns the time since an
// arbitrary start, the same as for the parts.
func NewServer(cfg Config, parts Parts, clock func() time.Duration) *Server {
	s := &Server{
		Parts: parts, config: cfg, private: cfg.Headers.private(), metrics: newServerMetrics(), throttle: newThrottle(),
		clock: clock, name: cfg.Name, start: rand.Uint64() >> 16,
	}
	s.table.Store(site.NewTable(nil))
	s.placement.Store(&placement{})
	return s
}

// Publish puts a site in force for the requests that come from now on.
func (s *Server) Publish(table *site.Table) { s.table.Store(table) }

// Published reports whether a site is in force.
func (s *Server) Published() bool { return s.table.Load().Published() }

// Stop makes callers leave: each answer from now on closes its connection.
func (s *Server) Stop() { s.stopping.Store(true) }

// Refuse ends the taking on of requests: those that still come on connections
// kept from before are told that they have not run.
func (s *Server) Refuse() { s.refusing.Store(true) }

// InFlight returns the number of requests that are being answered.
func (s *Server) InFlight() int64 { return s.metrics.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.metrics.inFlight.Add(1)
	defer s.metrics.inFlight.Add(-1)
	ctx, span := telemetry.Span(telemetry.Extract(r.Context(), r.Header), "entry")
	defer span.End()
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	q, verdict := s.parse(w, r.WithContext(ctx))
	if verdict != nil {
		s.refuse(w, r, q, verdict)
		return
	}
	x := &exchange{server: s, request: q, w: w, control: http.NewResponseController(w), caller: ctx}
	if !x.run() {
		// The connection is closed, so that a part is not taken for the whole.
		panic(http.ErrAbortHandler)
	}
}

// refuse answers a request that was not taken on.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, q *request, v *call.Verdict) {
	if verdictCloses(v) {
		w.Header().Set("Connection", "close")
	}
	if q.id != "" {
		w.Header().Set(call.HeaderRequestID, q.id)
	}
	err := answer.Refuse(w, q.id, v, s.config.RetryStyle)
	s.metrics.refused(v)
	s.Logger.LogAttrs(r.Context(), slog.LevelInfo, "refused a request",
		slog.String("request_id", q.id), slog.String("route", q.route.GetName()), slog.Uint64("version", q.version),
		slog.Int("status", v.HTTPStatus()), slog.String("kind", string(v.Fault.Kind)),
		slog.String("reason", v.Fault.Message), slog.Duration("retry_after", v.Fault.RetryAfter),
		slog.Duration("took", s.clock()-q.arrived), slog.Duration("up", s.clock()), slog.Any("write_error", err))
}

// verdictCloses reports whether the connection cannot be read on after a refusal.
func verdictCloses(v *call.Verdict) bool {
	switch v.HTTPStatus() {
	case http.StatusRequestEntityTooLarge, http.StatusRequestTimeout, http.StatusRequestHeaderFieldsTooLarge:
		return true
	}
	return v.Fault == errMixedFraming
}

// errNoSite refuses every request until a site is in force: before that no key,
// host or path can be called wrong.
var errNoSite = fault.New(fault.Unavailable, "this entry has no accepted configuration yet",
	"ask again after the time given; if it lasts, look for a quorum of control replicas").After(time.Second)

// errStopping refuses what comes to a stopping entry after its last moment. Other
// entries take it at once.
var errStopping = fault.New(fault.Leaving, "this entry is stopping", "ask again on a new connection").After(10 * time.Millisecond)

// errMixedFraming refuses a request that could be read as two.
var errMixedFraming = fault.New(fault.Invalid, "the request states both a length and chunks", "send its body in one way")
