package direct

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// bodyWrite writes the body of a request while its response is read.
type bodyWrite struct {
	conn net.Conn
	body []byte
	// ended is closed when run has returned; sent and err are valid from then on.
	ended chan struct{}
	// sent is the number of bytes written, and err is nil if they are the whole body.
	sent int
	err  error
}

func newBodyWrite(conn net.Conn, body []byte) *bodyWrite {
	return &bodyWrite{conn: conn, body: body, ended: make(chan struct{})}
}

func (w *bodyWrite) run() {
	defer close(w.ended)
	w.sent, w.err = w.conn.Write(w.body)
}

// isComplete reports whether the whole body has been written.
func (w *bodyWrite) isComplete() bool {
	select {
	case <-w.ended:
		return w.err == nil
	default:
		return false
	}
}

// interrupt ends a write that is waiting for the endpoint to read, and returns when run has returned.
func (w *bodyWrite) interrupt() {
	_ = w.conn.SetWriteDeadline(time.Now())
	<-w.ended
}

// connectionFailure returns the error with which the connection failed, if the write got it. The
// operating system reports a failure only once, to the read or the write that comes first; later
// reads end as if the endpoint had closed the connection. A write fails with EPIPE if the endpoint
// closed its side in order before it reset the connection, so that the reads lack nothing. It must
// be called after run has returned.
func (w *bodyWrite) connectionFailure() error {
	if errors.Is(w.err, os.ErrDeadlineExceeded) || errors.Is(w.err, syscall.EPIPE) {
		return nil
	}
	return w.err
}
