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
	"github.com/lilackeel/lilackeel/endpoint/speed"
	"github.com/lilackeel/lilackeel/endpoint/suspicion"
	"github.com/lilackeel/lilackeel/eventstream"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/memory"
	"github.com/lilackeel/lilackeel/quarantine"
	"github.com/lilackeel/lilackeel/ratelimit"
	"github.com/lilackeel/lilackeel/site"
	"github.com/lilackeel/lilackeel/telemetry"
	"github.com/lilackeel/lilackeel/workspace"
)

// Admitter controls admission. An error is a fault and means that the request has not run.
// After success, release must be called once.
type Admitter interface {
	// AdmitOnTime waits for capacity in a pool until ctx is done. It is for requests that can
	// still be served within the objective of their route.
	AdmitOnTime(ctx context.Context, pool string, r workspace.Request) (release func(), err error)
	// AdmitLate waits up to maxWait for capacity that no on-time request needs, or for capacity
	// in a group that responds late. It is for requests that are already late or that
	// AdmitOnTime has refused.
	AdmitLate(ctx context.Context, pool string, r workspace.Request, maxWait time.Duration) (release func(), err error)
}

// Picker chooses the endpoint of a call. It is implemented by pick.Picker.
type Picker interface {
	// Pick returns the endpoint and how it was chosen. An error is a fault.
	Pick(now time.Duration, rng *rand.Rand, r *pick.Request) (endpoint.Endpoint, pick.Explain, error)
}

// RateLimits tracks the rate limits that endpoints advertise and the pauses that they ask for.
type RateLimits interface {
	// RecordFeedback records what a response says about the requests that its endpoint accepts.
	RecordFeedback(e *endpoint.Endpoint, f ratelimit.Feedback)
	// Admit reports whether another request may be sent to an endpoint now, and counts it;
	// retry is true for any attempt after the first. It may request a permit from a host.
	Admit(ctx context.Context, e *endpoint.Endpoint, retry bool) bool
	// LimitedEndpoints returns the endpoints that advertise a rate limit; Blocked returns those
	// to which nothing may be sent now.
	LimitedEndpoints() []string
	Blocked() []string
	// InPause reports whether an endpoint has asked for a pause that has not ended yet.
	InPause(id string) bool
	// Restrictions returns the endpoints that are leaving or have asked for a pause, with
	// times of the server's clock.
	Restrictions() map[string]ratelimit.Restriction
	// Refusal returns the fault of a request for which a pool has no endpoint left, if some
	// accept requests again later; nil otherwise.
	Refusal(pool string) *fault.Error
}

// Config is the configuration of a Server.
type Config struct {
	// Name is the name of the entry and Zone its availability zone.
	Name, Zone string
	// Headers are the names of the headers that the server interprets.
	Headers Headers
	// RetryAfterFormat is the format of the Retry-After header.
	RetryAfterFormat answer.RetryAfterFormat
	// MaxHeaderBytes and MaxBodyBytes limit requests if the site sets no limits.
	MaxHeaderBytes, MaxBodyBytes int64
	// BodyTimeout limits the time in which a caller must send the body, and WriteTimeout the
	// time of one write of the response.
	BodyTimeout, WriteTimeout time.Duration
	// MaxBufferedBytes is how much of a response that is not a stream is buffered until it is
	// complete.
	MaxBufferedBytes int
	// Backoff is the delay before a retry, and RetryAfter the delay that callers are told if
	// no better value is known.
	Backoff    call.Backoff
	RetryAfter time.Duration
	// AccessLog also logs requests that were answered.
	AccessLog bool
	// MaxKeptConnections is the number of open connections of callers above which responses close
	// their connections; zero means no limit.
	MaxKeptConnections int
	// MeasureSpeed judges the endpoints of all pools that report no slowdown by their response
	// times; otherwise only those of pools with a cold start are.
	MeasureSpeed bool
}

// Dependencies are the dependencies of a Server.
type Dependencies struct {
	Admitter  Admitter
	Picker    Picker
	Endpoints *endpoint.Table
	Loads     *load.Tracker
	Outliers  *outlier.Detector
	Reach     *reach.Tracker
	Groups    *lockstep.Tracker
	// Quarantine tracks the requests during which endpoints crashed.
	Quarantine *quarantine.Tracker
	RateLimits RateLimits
	// Suspects tracks endpoints that do not respond, based on the reports of all entries.
	Suspects *suspicion.Tracker
	// Speeds provides the slowdowns of endpoints; nil if none are known.
	Speeds *speed.Tracker
	Client *direct.Client
	Budget *call.Budget
	// Bodies limits the memory for the bodies of requests; nil is no limit.
	Bodies *memory.Budget
	Logger *slog.Logger
}

// Server serves requests. It implements http.Handler.
type Server struct {
	Dependencies
	config          Config
	consumedHeaders map[string]bool
	metrics         *serverMetrics
	// groupLimits limits the calls in flight in each group.
	groupLimits *groupLimits
	// slowEndpoints is used by UpdateCapacity only.
	slowEndpoints slowEndpoints
	// firstAttemptWait estimates how long callers wait in their first attempt.
	firstAttemptWait waitEstimator
	// firstChunkTimes estimates the time to the first chunk.
	firstChunkTimes firstChunkTimes
	// streamLengths estimates the number of chunks of streams.
	streamLengths streamLengths
	// numberings learns how the endpoints of each pool number the events of streams.
	numberings eventstream.Numberings
	// pathDelays estimates the delay of chunks on the path from each zone.
	pathDelays pathDelays
	// placement is the latest capacity of the groups.
	placement atomic.Pointer[placement]
	clock     func() time.Duration
	name      string
	// startNonce distinguishes the ids generated by this process from those of other processes
	// with the same name.
	startNonce uint64
	sequence   atomic.Uint64
	table      atomic.Pointer[site.Table]
	// firstSiteAt is when the first site was received, in nanoseconds of the clock; zero
	// before.
	firstSiteAt        atomic.Int64
	keepAlivesDisabled atomic.Bool
	rejecting          atomic.Bool
}

// NewServer returns a server without a site. The clock returns the time since an arbitrary
// start and must be the clock of the dependencies.
func NewServer(cfg Config, deps Dependencies, clock func() time.Duration) *Server {
	s := &Server{
		Dependencies: deps, config: cfg, consumedHeaders: cfg.Headers.consumed(), metrics: newServerMetrics(), groupLimits: newGroupLimits(),
		clock: clock, name: cfg.Name, startNonce: rand.Uint64() >> 16,
	}
	s.table.Store(site.NewTable(nil))
	s.placement.Store(&placement{})
	return s
}

// Publish makes a site effective for subsequent requests.
func (s *Server) Publish(table *site.Table) { s.table.Store(table) }

// Published reports whether a site is effective.
func (s *Server) Published() bool { return s.table.Load().Published() }

// DisableKeepAlives makes each subsequent response close its connection, so that callers move
// to other entries.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

// RejectRequests rejects all subsequent requests. Requests that still arrive on open
// connections are told that they have not run.
func (s *Server) RejectRequests() { s.rejecting.Store(true) }

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int64 { return s.metrics.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.metrics.inFlight.Add(1)
	defer s.metrics.inFlight.Add(-1)
	ctx, span := telemetry.StartSpan(telemetry.Extract(r.Context(), r.Header), "entry")
	defer span.End()
	if s.closesConnections() {
		w.Header().Set("Connection", "close")
	}
	q, verdict := s.parse(w, r.WithContext(ctx))
	defer q.releaseBody()
	if verdict != nil {
		s.refuse(w, r, q, verdict)
		return
	}
	x := &exchange{server: s, request: q, w: w, control: http.NewResponseController(w), callerCtx: ctx}
	if !x.run() {
		answer.Abort(w, r)
	}
}

// refuse answers a request that was rejected before processing.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, q *request, v *call.Verdict) {
	if closesConnection(v) {
		w.Header().Set("Connection", "close")
	}
	if q.id != "" {
		w.Header().Set(call.HeaderRequestID, q.id)
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.config.WriteTimeout))
	err := answer.WriteVerdict(w, q.id, v, s.config.RetryAfterFormat)
	s.metrics.recordRefused(v)
	s.Logger.LogAttrs(r.Context(), slog.LevelInfo, "refused a request",
		slog.String("request_id", q.id), slog.String("route", q.route.GetName()), slog.Uint64("version", q.siteVersion),
		slog.Int("status", v.HTTPStatus()), slog.String("kind", string(v.Fault.Kind)),
		slog.String("reason", v.Fault.Message), slog.Duration("retry_after", v.Fault.RetryAfter),
		slog.Duration("took", s.clock()-q.arrived), slog.Duration("up", s.clock()), slog.Any("write_error", err))
}

// closesConnection reports whether the connection must be closed after a refusal.
func closesConnection(v *call.Verdict) bool {
	switch v.HTTPStatus() {
	case http.StatusRequestEntityTooLarge, http.StatusRequestTimeout, http.StatusRequestHeaderFieldsTooLarge:
		return true
	}
	return v.Fault == errMixedFraming
}

// errNoSite rejects every request until a site is published. Until then a key, host or path
// cannot be judged invalid.
var errNoSite = fault.New(fault.Unavailable, "this entry has no accepted configuration yet",
	"retry after the given time; if the error persists, check that the control replicas have a quorum").RetryIn(time.Second)

// errStopping rejects requests that arrive after a stopping entry has ceased to accept them.
// Other entries accept them at once.
var errStopping = fault.New(fault.Leaving, "this entry is stopping", "retry on a new connection").RetryIn(10 * time.Millisecond)

// errMixedFraming rejects a request that could be interpreted as two.
var errMixedFraming = fault.New(fault.Invalid, "the request has both Content-Length and Transfer-Encoding", "send only one of them")
