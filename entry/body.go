package entry

import (
	"errors"
	"net/http"
	"time"

	"github.com/lilackeel/lilackeel/answer"
	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/inbound"
	"github.com/lilackeel/lilackeel/memory"
)

// readBody reads the whole body before the request is dispatched, so that a request whose body
// is truncated is never run.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, q *request) *call.Verdict {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	if r.ContentLength > s.config.MaxBodyBytes {
		return s.errBodyTooLarge()
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(s.config.BodyTimeout))
	q.bodyCharge = s.Bodies.Begin(q.workspace.GetName())
	body, err := inbound.HeadOf(r.Context()).ReadBody(func() ([]byte, error) {
		return memory.ReadBody(http.MaxBytesReader(w, r.Body, s.config.MaxBodyBytes), r.ContentLength, q.bodyCharge)
	})
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		q.body, r.Trailer = body, nil // trailers are not forwarded
		return nil
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return s.errBodyTooLarge()
	case fault.Is(err, fault.Overloaded):
		q.finishRefusal = answer.BeforeBody(w, r)
		return call.Refuse(fault.From(err))
	}
	return call.Refuse(fault.New(fault.Invalid, "not run: the request body is incomplete",
		"send the whole body, with its Content-Length or in chunks, within the body timeout").WithCause(err))
}

// releaseBody ends the request's use of the memory for bodies. It is called after the response.
func (q *request) releaseBody() {
	q.bodyCharge.Release()
	if q.finishRefusal != nil {
		q.finishRefusal()
	}
}

func (s *Server) errBodyTooLarge() *call.Verdict {
	return call.RefuseWithStatus(http.StatusRequestEntityTooLarge, fault.Newf(fault.Invalid, "send a smaller body",
		"the body exceeds the limit of %d bytes", s.config.MaxBodyBytes))
}
