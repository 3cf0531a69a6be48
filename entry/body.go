package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/fault"
)

// readBody reads the whole body before the request is dispatched, so that a request whose body
// is truncated is never run.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *call.Verdict) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > s.config.MaxBodyBytes {
		return nil, s.errBodyTooLarge()
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(s.config.BodyTimeout))
	body, err := readAll(http.MaxBytesReader(w, r.Body, s.config.MaxBodyBytes), r.ContentLength)
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, s.errBodyTooLarge()
	}
	return nil, call.Refuse(fault.New(fault.Invalid, "not run: the request body is incomplete",
		"send the whole body, with its Content-Length or in chunks, within the body timeout").WithCause(err))
}

func (s *Server) errBodyTooLarge() *call.Verdict {
	return call.RefuseWithStatus(http.StatusRequestEntityTooLarge, fault.Newf(fault.Invalid, "send a smaller body",
		"the body exceeds the limit of %d bytes", s.config.MaxBodyBytes))
}

// readAll reads r to its end. A non-negative length is used to preallocate the buffer.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	var buffer bytes.Buffer
	buffer.Grow(int(length) + bytes.MinRead)
	_, err := buffer.ReadFrom(r)
	return buffer.Bytes(), err
}
