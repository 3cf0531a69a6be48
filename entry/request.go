package entry

import (
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/endpoint/pick"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/inbound"
	"github.com/lilackeel/lilackeel/memory"
	"github.com/lilackeel/lilackeel/quarantine"
)

// Headers that callers may send in addition to the standard ones.
const (
	// HeaderWorkspace names the workspace of a request without credentials.
	HeaderWorkspace = "Lilackeel-Workspace"
	// HeaderPriority is the priority inside the workspace; higher goes first.
	HeaderPriority = "Lilackeel-Priority"
	// HeaderDeadline is the time that the caller is willing to wait, in milliseconds.
	HeaderDeadline = "Lilackeel-Deadline-Ms"

	headerAuthorization   = "Authorization"
	headerStdPriority     = "Priority"
	headerPrefer          = "Prefer"
	headerContentLength   = "Content-Length"
	headerContentType     = "Content-Type"
	headerContentEncoding = "Content-Encoding"
)

// Limits of the values in request headers.
const (
	minPriority = -100
	maxPriority = 100
	// standardUrgency is the default urgency of RFC 9218.
	standardUrgency = 3
	maxUrgency      = 7
	maxRequestID    = 128
)

// request is a parsed request.
type request struct {
	// id is the request id of the caller, localID that of the entry, and dispatchID is composed of
	// both.
	id, localID, dispatchID string
	// bodyCharge is what the body occupies of the memory for all bodies; nil if there is none.
	// finishRefusal is called after a response that was sent before the body was read, if not nil.
	bodyCharge    *memory.Charge
	finishRefusal func()
	workspace     *fleetv1.Workspace
	directory     *snapshot
	// idempotencyKey identifies a call that must not run twice; keyFromCaller is true if the caller
	// chose it.
	idempotencyKey string
	keyFromCaller  bool
	priority       int
	// deadline is the time by which the caller must have the final answer.
	deadline time.Duration
	method   string
	// requestURI is the path and query that are sent to the endpoint.
	requestURI string
	header     http.Header
	body       []byte
	// stream is true if the caller requested a streamed answer.
	stream bool
	// repeatable is true if the call may run more than once.
	repeatable bool
	// kind is the kind of the request in metrics.
	kind string
	pick pick.Request
	work load.Work
	// parts are the messages of a chat prompt.
	parts quarantine.Parts
	// fingerprint identifies equal requests; it does not depend on the request id.
	fingerprint call.Fingerprint
}

// noConfigurationRetryAfter is the Retry-After of an entry that has just started.
const noConfigurationRetryAfter = time.Second

// errNoConfiguration refuses every request until a configuration has been applied. Before that, the
// entry cannot tell whether a key, model or path is invalid.
var errNoConfiguration = fault.New(fault.Unavailable, "this entry has no accepted configuration yet",
	"retry after the given time; if the error persists, check that the control replicas have a quorum").RetryIn(noConfigurationRetryAfter)

// parseHeaders parses and validates the headers of a request.
func (s *Server) parseHeaders(r *http.Request, id string) (*request, *call.Verdict) {
	localID := s.ids.next()
	q := &request{
		id:         id,
		localID:    localID,
		dispatchID: id + "/" + localID,
		directory:  s.directory.current.Load(),
		method:     r.Method,
		header:     r.Header,
	}
	if q.directory.Revision == 0 {
		return nil, call.Refuse(errNoConfiguration)
	}
	if v := s.checkHeaders(r); v != nil {
		return nil, v
	}
	steps := []func(*http.Request) *call.Verdict{
		func(r *http.Request) *call.Verdict { return s.authenticate(q, r) },
		q.assignHead,
		func(r *http.Request) *call.Verdict { return s.readDeadline(q, r) },
		q.readPriority,
		q.readKey,
		q.readTarget,
	}
	for _, step := range steps {
		if v := step(r); v != nil {
			return nil, v
		}
	}
	return q, nil
}

// checkHeaders limits the size of the headers and refuses contradictory values.
func (s *Server) checkHeaders(r *http.Request) *call.Verdict {
	if size := inbound.MinSize(r); size > s.config.MaxHeaderBytes {
		return call.RefuseWithStatus(http.StatusRequestHeaderFieldsTooLarge, fault.Newf(fault.Invalid, "send fewer or shorter headers",
			"the headers have %d bytes, the limit is %d", size, s.config.MaxHeaderBytes))
	}
	for _, name := range singleHeaders {
		if values := r.Header.Values(name); len(values) > 1 && !allEqual(values) {
			return call.Refuse(fault.Newf(fault.Invalid, "send the header once", "the header %s is given twice with different values", name))
		}
	}
	return nil
}

// singleHeaders are the headers that must not occur twice with different values.
var singleHeaders = []string{
	headerAuthorization, call.HeaderIdempotencyKey, HeaderWorkspace, HeaderPriority,
	HeaderDeadline, call.HeaderRequestID, headerContentType,
}

func allEqual(values []string) bool {
	for _, value := range values[1:] {
		if value != values[0] {
			return false
		}
	}
	return true
}

// authenticate determines the workspace of the request.
func (s *Server) authenticate(q *request, r *http.Request) *call.Verdict {
	workspaceName := r.Header.Get(HeaderWorkspace)
	credentials := r.Header.Get(headerAuthorization)
	if credentials == "" {
		return s.authenticateAnonymous(q, workspaceName)
	}
	scheme, key, _ := strings.Cut(credentials, " ")
	workspace, known := q.directory.workspaceOf(strings.TrimSpace(key))
	if !strings.EqualFold(scheme, "Bearer") || !known {
		return call.Refuse(fault.New(fault.Unauthenticated, "the workspace key is unknown",
			"send Authorization: Bearer with a key of your workspace"))
	}
	if workspaceName != "" && workspaceName != workspace.GetName() {
		return call.Refuse(fault.Newf(fault.Invalid, "remove "+HeaderWorkspace+", or send the key of that workspace",
			"%s contradicts the workspace key", HeaderWorkspace))
	}
	q.workspace = workspace
	return nil
}

// assignHead makes the workspace accountable for the memory of the request's head.
func (q *request) assignHead(r *http.Request) *call.Verdict {
	if err := inbound.HeadOf(r.Context()).Assign(q.workspace.GetName()); err != nil {
		return call.Refuse(fault.From(err))
	}
	return nil
}

func (s *Server) authenticateAnonymous(q *request, workspaceName string) *call.Verdict {
	if s.config.AnonymousWorkspace == "" {
		return call.Refuse(fault.New(fault.Unauthenticated, "the request carries no workspace key",
			"send Authorization: Bearer with a key of your workspace"))
	}
	if workspaceName == "" {
		workspaceName = s.config.AnonymousWorkspace
	}
	workspace, ok := q.directory.Workspaces.Get(workspaceName)
	if !ok {
		return call.Refuse(fault.Newf(fault.Unauthenticated, "name an existing workspace, or send a workspace key",
			"there is no workspace %q", workspaceName))
	}
	q.workspace = workspace
	return nil
}

// readDeadline reads the time that the caller is willing to wait: HeaderDeadline, or the wait
// preference of RFC 7240, which is in seconds.
func (s *Server) readDeadline(q *request, r *http.Request) *call.Verdict {
	wait := s.config.DefaultDeadline
	preferred, hasPreferred := preferredWait(r.Header.Values(headerPrefer))
	if hasPreferred {
		wait = preferred
	}
	if text := r.Header.Get(HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > int64(s.config.MaxDeadline/time.Millisecond) {
			return call.Refuse(fault.Newf(fault.Invalid, "send a whole number of milliseconds within the limit",
				"%s must be from 1 to %d", HeaderDeadline, s.config.MaxDeadline.Milliseconds()))
		}
		wait = time.Duration(ms) * time.Millisecond
		if hasPreferred && preferred != wait {
			return call.Refuse(fault.Newf(fault.Invalid, "send only one of the two headers", "%s contradicts Prefer: wait", HeaderDeadline))
		}
	}
	q.deadline = s.now() + min(wait, s.config.MaxDeadline)
	return nil
}

// preferredWait returns the wait preference of RFC 7240, if there is one.
func preferredWait(values []string) (time.Duration, bool) {
	for _, value := range values {
		for part := range strings.SplitSeq(value, ",") {
			name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
			seconds, err := strconv.ParseUint(strings.Trim(strings.TrimSpace(text), `"`), 10, 31)
			if strings.EqualFold(strings.TrimSpace(name), "wait") && err == nil && seconds > 0 {
				return time.Duration(seconds) * time.Second, true
			}
		}
	}
	return 0, false
}

// readPriority reads HeaderPriority, or the urgency of RFC 9218, of which 0 is the highest.
func (q *request) readPriority(r *http.Request) *call.Verdict {
	urgency, hasUrgency := urgencyOf(r.Header.Get(headerStdPriority))
	if hasUrgency {
		q.priority = standardUrgency - urgency
	}
	text := r.Header.Get(HeaderPriority)
	if text == "" {
		return nil
	}
	priority, err := strconv.Atoi(text)
	if err != nil || priority < minPriority || priority > maxPriority {
		return call.Refuse(fault.Newf(fault.Invalid, "send a whole number within the limits",
			"%s must be from %d to %d", HeaderPriority, minPriority, maxPriority))
	}
	if hasUrgency && priority != q.priority {
		return call.Refuse(fault.Newf(fault.Invalid, "send only one of the two headers", "%s contradicts the header Priority", HeaderPriority))
	}
	q.priority = priority
	return nil
}

func urgencyOf(header string) (int, bool) {
	for part := range strings.SplitSeq(header, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		urgency, err := strconv.Atoi(text)
		if name == "u" && err == nil && urgency >= 0 && urgency <= maxUrgency {
			return urgency, true
		}
	}
	return 0, false
}

// readKey reads the idempotency key, which may be a quoted string.
func (q *request) readKey(r *http.Request) *call.Verdict {
	values := r.Header.Values(call.HeaderIdempotencyKey)
	if len(values) == 0 {
		return nil
	}
	key := values[0]
	if len(key) > 1 && key[0] == '"' && key[len(key)-1] == '"' {
		key = key[1 : len(key)-1]
	}
	if f := call.CheckKey(key); f != nil {
		return call.Refuse(f)
	}
	q.idempotencyKey = key
	q.keyFromCaller = true
	return nil
}

// readTarget reads the path and query. It refuses paths that an endpoint might interpret differently
// from the route matching of the entry.
func (q *request) readTarget(r *http.Request) *call.Verdict {
	original := r.URL.Path
	cleaned := path.Clean(original)
	if strings.HasSuffix(original, "/") && cleaned != "/" {
		cleaned += "/"
	}
	escaped := strings.ToLower(r.URL.EscapedPath())
	ambiguous := strings.Contains(escaped, "%2f") || strings.Contains(escaped, "%5c") || strings.ContainsAny(original, "\\;")
	if cleaned != original || ambiguous {
		return call.Refuse(fault.New(fault.Invalid, "the path is ambiguous",
			"send a path without empty segments, dot segments, semicolons, backslashes or escaped slashes"))
	}
	q.requestURI = r.URL.RequestURI()
	return nil
}

// validRequestID reports whether a caller's request id is safe to log: short, printable ASCII.
func validRequestID(id string) bool {
	if id == "" || len(id) > maxRequestID {
		return false
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return true
}
