package routed

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilackeel/lilackeel/answer"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/inbound"
	"github.com/lilackeel/lilackeel/memory"
	"github.com/lilackeel/lilackeel/quarantine"
	"github.com/lilackeel/lilackeel/site"
	"github.com/lilackeel/lilackeel/wait"
)

// request is a parsed request.
type request struct {
	id          string
	siteVersion uint64
	arrived     time.Duration
	// deadline is when the caller must have the complete response.
	deadline  time.Duration
	route     *fleetv1.Route
	workspace *fleetv1.Workspace
	pool      string
	priority  int
	// level is the priority over the requests of all workspaces, 0 first.
	level int
	// engineRank is the value of the header for the engine's priority; empty if the requests of the
	// pool are not ordered by level.
	engineRank string
	// target is the path and query as they stood in the request line.
	method, target, host string
	header               http.Header
	body                 []byte
	// bodyCharge is what the body occupies of the memory for all bodies; nil if there is none.
	// finishRefusal is called after a response that was sent before the body was read, if not nil.
	bodyCharge    *memory.Charge
	finishRefusal func()
	work          load.Work
	// late is true if the caller is retrying and has already waited beyond the objective.
	late bool
	// parts are the parts of the prompt.
	parts quarantine.Parts
	// fingerprint is equal for requests that are sent again under another id.
	fingerprint call.Fingerprint
}

// parse reads a request. With a verdict, it returns the request as far as it was parsed.
func (s *Server) parse(w http.ResponseWriter, r *http.Request) (*request, *call.Verdict) {
	table := s.table.Load()
	q := &request{
		id: s.requestID(r), arrived: s.clock(), siteVersion: table.Version(),
		method: r.Method, host: r.Host, header: r.Header, target: target(r),
	}
	if inbound.HeadOf(r.Context()).MixedFraming() {
		return q, call.Refuse(errMixedFraming)
	}
	if s.rejecting.Load() {
		return q, call.Refuse(errStopping)
	}
	if !table.Published() {
		if table = s.awaitSite(r); !table.Published() {
			return q, call.Refuse(errNoSite)
		}
		q.siteVersion = table.Version()
	}
	if v := s.checkHeadSize(r, table); v != nil {
		return q, v
	}
	if v := q.resolve(r, table); v != nil {
		return q, v
	}
	if err := inbound.HeadOf(r.Context()).Assign(q.callerName()); err != nil {
		return q, call.RefuseWithStatus(http.StatusServiceUnavailable, fault.From(err))
	}
	q.deadline = q.arrived + time.Duration(q.route.GetTimeoutMs())*time.Millisecond
	if wait := readMillis(r.Header, s.config.Headers.Deadline); wait > 0 {
		q.deadline = min(q.deadline, q.arrived+wait)
	}
	s.recordWait(q)
	q.pool = site.PickPool(q.route, xxhash.Sum64String(q.id))
	q.priority = site.Priority(q.route, q.workspace)
	q.level = site.Level(q.route, q.workspace)
	if rank, ok := table.LevelRank(q.pool, q.level); ok {
		q.engineRank = strconv.Itoa(rank)
	}
	if s.config.Headers.Size != nil {
		q.work.PromptTokens, q.work.MaxTokens = s.config.Headers.Size(r.Header)
	}
	if s.config.Headers.PromptParts != nil {
		q.parts = quarantine.NewParts(q.pool, q.callerName(), s.config.Headers.PromptParts(r.Header))
	}
	if v := s.readBody(w, r, q, table); v != nil {
		return q, v
	}
	q.fingerprint = call.FingerprintOf(q.callerName(), q.method, q.target, q.body)
	return q, nil
}

// callerName returns the name of the request's workspace.
func (q *request) callerName() string { return q.workspace.GetName() }

const (
	// maxSiteWait limits how long a request waits for the first site of an entry that has just
	// started. The site arrives within some tenths of a second of the replicas' election, and
	// a caller that is refused may not retry.
	maxSiteWait = time.Second
	// siteWaitDivisor limits the wait to this fraction of the time that the caller allows.
	siteWaitDivisor = 4
	// sitePollInterval is the interval between two checks.
	sitePollInterval = 10 * time.Millisecond
)

// awaitSite waits briefly for the first site, and returns the effective site.
func (s *Server) awaitSite(r *http.Request) *site.Table {
	maxWait := maxSiteWait
	if allowed := readMillis(r.Header, s.config.Headers.Deadline); allowed > 0 {
		maxWait = min(maxWait, allowed/siteWaitDivisor)
	}
	until := s.clock() + maxWait
	table := s.table.Load()
	for !table.Published() && s.clock() < until && r.Context().Err() == nil {
		wait.For(r.Context(), sitePollInterval)
		table = s.table.Load()
	}
	return table
}

// recordWait compares the time that the caller allows with that of other callers.
func (s *Server) recordWait(q *request) {
	timeout := time.Duration(q.route.GetTimeoutMs()) * time.Millisecond
	objective := time.Duration(q.route.GetObjectiveMs()) * time.Millisecond
	allowed := q.deadline - q.arrived
	q.late = s.firstAttemptWait.late(allowed, timeout, objective)
	if timeout > 0 {
		s.firstAttemptWait.observe(float64(allowed) / float64(timeout))
	}
}

// onTime reports whether the request can still be served within its route's objective, that
// is, whether its caller has not already waited longer than that.
func (q *request) onTime() bool { return !q.late }

// lateQueueWait returns how long a request that is already late may queue. It loses nothing by
// waiting, as long as enough time is left for its response and its caller does not take the
// silence for a failure.
func (q *request) lateQueueWait() time.Duration {
	maxWait := (q.deadline - q.arrived) / lateWaitDivisor
	if q.route.GetKind() == fleetv1.CallKind_CALL_KIND_STREAM {
		maxSilence := time.Duration(lateWaitObjectives * float64(q.route.GetObjectiveMs()) * float64(time.Millisecond))
		maxWait = min(maxWait, maxSilence)
	}
	return max(maxWait, 1)
}

const (
	// lateWaitDivisor limits the queueing time of a late request to this fraction of the time
	// left.
	lateWaitDivisor = 2
	// lateWaitObjectives is how many objectives of its route a late stream may queue. Callers
	// abandon a stream after a silence of about four objectives, and its first event takes up
	// to one.
	lateWaitObjectives = 3.0
)

// target returns the path and query unchanged.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// deliveryAllowance is added to the published time limit on heads: a caller that sends a head within the limit may
// be heard later, as packets are lost and sent again.
const deliveryAllowance = time.Second

// Limits returns the limits on callers by the published site. What it does not limit is limited by the defaults.
func (s *Server) Limits(defaults inbound.Limits) inbound.Limits {
	published := s.table.Load().Limits()
	limits := defaults
	limits.HeadBytes = orDefault(published.GetHeaderBytes(), s.config.MaxHeaderBytes)
	if ms := published.GetHeaderTimeoutMs(); ms > 0 {
		limits.HeadTimeout = time.Duration(ms)*time.Millisecond + deliveryAllowance
	}
	if ms := published.GetIdleTimeoutMs(); ms > 0 {
		limits.IdleTimeout = time.Duration(ms) * time.Millisecond
	}
	return limits
}

// checkHeadSize enforces the limit on the request head.
func (s *Server) checkHeadSize(r *http.Request, table *site.Table) *call.Verdict {
	limit := orDefault(table.Limits().GetHeaderBytes(), s.config.MaxHeaderBytes)
	size := inbound.MinSize(r)
	if size <= limit {
		return nil
	}
	return call.RefuseWithStatus(http.StatusRequestHeaderFieldsTooLarge, fault.Newf(fault.Invalid, "send fewer or shorter headers",
		"the headers have %d bytes, the limit is %d", size, limit))
}

func orDefault(value, fallback int64) int64 {
	if value > 0 {
		return value
	}
	return fallback
}

// resolve looks up the route and the workspace.
func (q *request) resolve(r *http.Request, table *site.Table) *call.Verdict {
	path, _, _ := strings.Cut(q.target, "?")
	q.route = table.Route(q.host, path)
	if q.route == nil {
		return call.Refuse(fault.Newf(fault.NotFound, "use the host and path of a route", "no route matches %s%s", q.host, path))
	}
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, "Bearer") {
		key = ""
	}
	known := false
	if key != "" {
		q.workspace, known = table.Workspace(key)
	}
	if known || q.route.GetPublic() || !table.HasWorkspaces() {
		return nil
	}
	return call.Refuse(fault.New(fault.Unauthenticated, "the workspace key is missing or unknown",
		"send Authorization: Bearer with a key of your workspace"))
}

// readBody reads the whole body, so that an incomplete body is never forwarded and a retry is
// possible.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, q *request, table *site.Table) *call.Verdict {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	limit := orDefault(table.Limits().GetBodyBytes(), s.config.MaxBodyBytes)
	if r.ContentLength > limit {
		return errBodyTooLarge(limit)
	}
	q.bodyCharge = s.Bodies.Begin(q.callerName())
	control := http.NewResponseController(w)
	bodyTimeout := min(s.config.BodyTimeout, max(q.deadline-s.clock(), time.Millisecond))
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := inbound.HeadOf(r.Context()).ReadBody(func() ([]byte, error) {
		return memory.ReadBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, q.bodyCharge)
	})
	if err == nil {
		// On an error the deadline is kept, or the server would wait for the rest of the body.
		_ = control.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case err == nil:
		q.body, r.Trailer = body, nil // trailers are not forwarded
		return nil
	case errors.As(err, &tooLarge):
		return errBodyTooLarge(limit)
	case fault.Is(err, fault.Overloaded):
		q.finishRefusal = answer.BeforeBody(w, r)
		return call.RefuseWithStatus(http.StatusServiceUnavailable, fault.From(err))
	case errors.As(err, &timeout) && timeout.Timeout():
		return call.RefuseWithStatus(http.StatusRequestTimeout, fault.New(fault.Invalid, "timed out reading the request body", "retry the request").WithCause(err))
	}
	return call.RefuseWithStatus(http.StatusBadRequest, fault.New(fault.Invalid, "the request body is incomplete", "retry the request").WithCause(err))
}

// releaseBody ends the request's use of the memory for bodies. It is called after the response.
func (q *request) releaseBody() {
	q.bodyCharge.Release()
	if q.finishRefusal != nil {
		q.finishRefusal()
	}
}

func errBodyTooLarge(limit int64) *call.Verdict {
	return call.RefuseWithStatus(http.StatusRequestEntityTooLarge, fault.Newf(fault.Invalid, "send a smaller body", "the body exceeds the limit of %d bytes", limit))
}
