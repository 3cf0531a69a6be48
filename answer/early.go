package answer

import (
	"io"
	"net/http"
	"time"
)

// lingerTimeout limits how long the rest of a body is discarded after an early response.
const lingerTimeout = 2 * time.Second

// BeforeBody prepares a response that is sent before the body of its request has been read. The
// returned function must be called when the response has been written. It sends the response and
// discards the body for a while: a connection that is closed with unread bytes is reset, and the
// caller may lose the response with it.
func BeforeBody(w http.ResponseWriter, r *http.Request) (finish func()) {
	control := http.NewResponseController(w)
	if r.ProtoMajor == 1 {
		// Otherwise the server reads some of the body before it sends the response.
		_ = control.EnableFullDuplex()
		w.Header().Set("Connection", "close")
	}
	return func() {
		if control.Flush() != nil || r.Header.Get("Expect") != "" {
			return // the caller has left, or waits with its body
		}
		_ = control.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, r.Body)
	}
}
