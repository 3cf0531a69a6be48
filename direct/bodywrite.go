package direct

import (
	"net"
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
