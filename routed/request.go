package routed

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/site"
	"github.com/lilackeel/lilackeel/wait"
)

// request is one parsed request.
type request struct {
	id      string
	version uint64
	arrived time.Duration
	// deadline is when the caller must have the final answer.
	deadline  time.Duration
	route     *fleetv1.Route
	workspace *fleetv1.Workspace
	pool      string
	priority  int
	// target is path and query as they stood in the request line.
	method, target, host string
	header               http.Header
	body                 []byte
	work                 load.Work
	// late is true for a caller who has asked before and waited beyond the objective.
	late bool
	// fingerprint is the same for a request that comes again under another id.
	fingerprint call.Fingerprint
}

// parse reads a request. What it returns beside a verdict names the request as
// far as it was read.
func (s *Server) parse(w http.ResponseWriter, r *http.Request) (*request, *call.Verdict) {
	table := s.table.Load()
	q := &request{
		id: s.requestID(r), arrived: s.clock(), version: table.Version(),
		method: r.Method, host: r.Host, header: r.Header, target: target(r),
	}
	if mixedFraming(r) {
		return q, call.Refuse(errMixedFraming)
	}
	if s.refusing.Load() {
		return q, call.Refuse(errStopping)
	}
	if !table.Published() {
		if table = s.awaitSite(r); !table.Published() {
			return q, call.Refuse(errNoSite)
		}
		q.version = table.Version()
	}
	if v := s.checkHead(r, table); v != nil {
		return q, v
	}
	if v := q.find(r, table); v != nil {
		return q, v
	}
	q.deadline = q.arrived + time.Duration(q.route.GetTimeoutMs())*time.Millisecond
	if wait := readMillis(r.Header, s.config.Headers.Deadline); wait > 0 {
		q.deadline = min(q.deadline, q.arrived+wait)
	}
	s.noteWait(q)
	q.pool = site.PoolOf(q.route, xxhash.Sum64String(q.id))
	q.priority = site.Priority(q.route, q.workspace)
	if s.config.Headers.Size != nil {
		q.work.PromptTokens, q.work.MaxTokens = s.config.Headers.Size(r.Header)
	}
	if v := s.readBody(w, r, q, table); v != nil {
		return q, v
	}
	q.fingerprint = call.FingerprintOf(q.caller(), q.method, q.target, q.body)
	return q, nil
}

// caller names who sent the request.
func (q *request) caller() string { return q.workspace.GetName() }

const (
	// sitePatience bounds how long a request waits for the first site of an entry that
	// has just started: that comes within some tenths of a second of the replicas'
	// election, and a caller who is refused instead may have no further try.
	sitePatience = time.Second
	// sitePart is the part of the time that the caller allows, as a divisor.
	sitePart = 4
	// sitePoll is the time between two looks.
	sitePoll = 10 * time.Millisecond
)

// awaitSite waits a moment for the first site, and returns what is in force then.
func (s *Server) awaitSite(r *http.Request) *site.Table {
	patience := sitePatience
	if allowed := readMillis(r.Header, s.config.Headers.Deadline); allowed > 0 {
		patience = min(patience, allowed/sitePart)
	}
	until := s.clock() + patience
	table := s.table.Load()
	for !table.Published() && s.clock() < until && r.Context().Err() == nil {
		wait.For(r.Context(), sitePoll)
		table = s.table.Load()
	}
	return table
}

// noteWait compares what the caller allows with what others do.
func (s *Server) noteWait(q *request) {
	timeout := time.Duration(q.route.GetTimeoutMs()) * time.Millisecond
	objective := time.Duration(q.route.GetObjectiveMs()) * time.Millisecond
	allowed := q.deadline - q.arrived
	q.late = s.usual.late(allowed, timeout, objective)
	if timeout > 0 {
		s.usual.observe(float64(allowed) / float64(timeout))
	}
}

// inTime reports whether the request can still be answered within its route's
// objective: its caller has not waited elsewhere for longer than that.
func (q *request) inTime() bool { return !q.late }

// patience is how long a request that is late already may wait for a place: it
// loses nothing by waiting, if there is time enough left for its answer, and if
// its caller does not take the silence for a failure.
func (q *request) patience() time.Duration {
	patience := (q.deadline - q.arrived) / latePatience
	if q.route.GetKind() == fleetv1.CallKind_CALL_KIND_STREAM {
		silence := time.Duration(lateObjectives * float64(q.route.GetObjectiveMs()) * float64(time.Millisecond))
		patience = min(patience, silence)
	}
	return max(patience, 1)
}

const (
	// latePatience is the part of the time left, as a divisor, that a late request
	// may wait for a place.
	latePatience = 2
	// lateObjectives is how many objectives of a route a late stream may wait:
	// callers leave a stream that is silent for some four of them, and its first
	// event takes up to one.
	lateObjectives = 3.0
)

// target returns path and query byte for byte.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// checkHead bounds the head of a request.
func (s *Server) checkHead(r *http.Request, table *site.Table) *call.Verdict {
	limit := orDefault(table.Limits().GetHeaderBytes(), s.config.MaxHeaderBytes)
	size := int64(len(r.Method) + len(r.RequestURI) + len(r.Host))
	for name, values := range r.Header {
		for _, value := range values {
			size += int64(len(name) + len(value) + len(": \r\n"))
		}
	}
	if size <= limit {
		return nil
	}
	return call.RefuseWith(http.StatusRequestHeaderFieldsTooLarge, fault.Newf(fault.Invalid, "send fewer or shorter headers",
		"the headers have %d bytes, the limit is %d", size, limit))
}

func orDefault(value, fallback int64) int64 {
	if value > 0 {
		return value
	}
	return fallback
}

// find looks up the route and the workspace.
func (q *request) find(r *http.Request, table *site.Table) *call.Verdict {
	path, _, _ := strings.Cut(q.target, "?")
	q.route = table.Route(q.host, path)
	if q.route == nil {
		return call.Refuse(fault.Newf(fault.NotFound, "use the host and path of a route", "no route leads to %s%s", q.host, path))
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
	return call.Refuse(fault.New(fault.Unauthenticated, "the workspace key is missing or not known",
		"send Authorization: Bearer with a key of your workspace"))
}

// readBody reads the whole body, so that what is forwarded is whole and can be
// sent again.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, q *request, table *site.Table) *call.Verdict {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	limit := orDefault(table.Limits().GetBodyBytes(), s.config.MaxBodyBytes)
	if r.ContentLength > limit {
		return errBodyTooLarge(limit)
	}
	control := http.NewResponseController(w)
	left := min(s.config.BodyTimeout, max(q.deadline-s.clock(), time.Millisecond))
	_ = control.SetReadDeadline(time.Now().Add(left))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		// After a fault it stays, or the server would wait for the rest of the body.
		_ = control.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case err == nil:
		q.body = body
		return nil
	case errors.As(err, &tooLarge):
		return errBodyTooLarge(limit)
	case errors.As(err, &timeout) && timeout.Timeout():
		return call.RefuseWith(http.StatusRequestTimeout, fault.New(fault.Invalid, "the body did not come in time", "send it again").WithCause(err))
	}
	return call.RefuseWith(http.StatusBadRequest, fault.New(fault.Invalid, "the body is not whole", "send it again").WithCause(err))
}

func errBodyTooLarge(limit int64) *call.Verdict {
	return call.RefuseWith(http.StatusRequestEntityTooLarge, fault.Newf(fault.Invalid, "send a smaller body", "the body is over the limit of %d bytes", limit))
}
