package entry

import (
	"net/http"
	"time"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/fault"
)

// serviceMethods are the methods that a plain service may be called with. CONNECT and TRACE are
// excluded since they concern the connection, not the service.
var serviceMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodPost: true, http.MethodPut: true,
	http.MethodPatch: true, http.MethodDelete: true, http.MethodOptions: true,
}

// forwardToService handles a request to a plain service, which is selected by method and path.
func (s *Server) forwardToService(w http.ResponseWriter, r *http.Request) {
	q, v := s.parseHeaders(r, requestID(r))
	if v == nil {
		defer q.releaseBody()
		v = s.parseService(q, w, r)
	}
	if v != nil {
		s.refuse(w, r, v)
		return
	}
	s.run(w, r, q)
}

func (s *Server) parseService(q *request, w http.ResponseWriter, r *http.Request) *call.Verdict {
	service := q.directory.serviceFor(r.URL.Path)
	if service == nil || !mayCall(q.workspace, service.GetName(), service.GetPool()) {
		return call.Refuse(fault.Newf(fault.NotFound, "use a path below /v1 or below the prefix of a service",
			"no service or API serves the path %s", r.URL.Path))
	}
	if !serviceMethods[r.Method] || r.Header.Get("Upgrade") != "" {
		return call.RefuseWithStatus(http.StatusMethodNotAllowed, fault.Newf(fault.Invalid, "use GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS, without Upgrade",
			"the method %s, or the upgrade that it requests, is not forwarded to services", r.Method))
	}
	route := matchRoute(service, r.Method, r.URL.Path)
	q.kind = "service"
	q.repeatable = idempotent(route, r.Method)
	q.limitDeadline(s.now(), route)
	if v := s.readBody(w, r, q); v != nil {
		return v
	}
	q.pick.Pool = service.GetPool()
	if !q.repeatable && q.idempotencyKey == "" {
		q.idempotencyKey = q.localID
	}
	return nil
}

// limitDeadline applies the timeout that a route sets for its calls.
func (q *request) limitDeadline(now time.Duration, route *fleetv1.ServiceRoute) {
	if timeoutMs := route.GetTimeoutMs(); timeoutMs > 0 {
		q.deadline = min(q.deadline, now+time.Duration(timeoutMs)*time.Millisecond)
	}
}
