package entry

import (
	"net/http"
	"time"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/fault"
)

// serviceMethods are the methods that a plain service may be called with.
// CONNECT and TRACE concern the connection, not the service.
var serviceMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodPost: true, http.MethodPut: true,
	http.MethodPatch: true, http.MethodDelete: true, http.MethodOptions: true,
}

// serveService passes a call to a plain service by method and path.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	q, v := s.parseHeaders(r, requestID(r))
	if v == nil {
		v = s.parseService(q, w, r)
	}
	if v != nil {
		s.refuse(w, r, v)
		return
	}
	s.run(w, r, q)
}

func (s *Server) parseService(q *request, w http.ResponseWriter, r *http.Request) *call.Verdict {
	service := q.directory.service(r.URL.Path)
	if service == nil || !mayCall(q.workspace, service.GetName(), service.GetPool()) {
		return call.Refuse(fault.Newf(fault.NotFound, "use a path below /v1 or below the prefix of a service",
			"nothing answers the path %s", r.URL.Path))
	}
	if !serviceMethods[r.Method] || r.Header.Get("Upgrade") != "" {
		return call.RefuseWithStatus(http.StatusMethodNotAllowed, fault.Newf(fault.Invalid, "use GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS, without Upgrade",
			"the method %s or its upgrade is not passed on", r.Method))
	}
	matched := route(service, r.Method, r.URL.Path)
	q.kind = "service"
	q.repeatable = idempotent(matched, r.Method)
	q.boundDeadline(s.now(), matched)
	var v *call.Verdict
	if q.body, v = s.readBody(w, r); v != nil {
		return v
	}
	q.pick.Pool = service.GetPool()
	if !q.repeatable && q.key == "" {
		q.key = q.unique
	}
	return nil
}

// boundDeadline keeps to the bound that a route states for its calls.
func (q *request) boundDeadline(now time.Duration, matched *fleetv1.ServiceRoute) {
	if bound := matched.GetTimeoutMs(); bound > 0 {
		q.deadline = min(q.deadline, now+time.Duration(bound)*time.Millisecond)
	}
}
