package routed

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

var (
	contentLengthName    = []byte("content-length")
	transferEncodingName = []byte("transfer-encoding")
)

// FramingGuard inspects the heads of requests on the connections of a listener. A request with
// both Content-Length and Transfer-Encoding can be interpreted as two requests by another hop
// (request smuggling). net/http drops the length and does not show it to its handler; the guard does,
// so that such a request is refused. It misses a head that comes in one read with the end of the request
// before; answer.CloseAfterChunks keeps the rest of that connection from being run.
type FramingGuard struct{ net.Listener }

// guardKey is the context key of a guarded connection.
type guardKey struct{}

// Accept implements net.Listener.
func (g FramingGuard) Accept() (net.Conn, error) {
	accepted, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: accepted, inHead: true}, nil
}

// ConnContext must be set as the http.Server's ConnContext; it gives handlers access to the
// guard.
func (g FramingGuard) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, guardKey{}, c)
}

// ConnState must be set as the http.Server's ConnState; it tells the guard when the next head
// begins.
func (g FramingGuard) ConnState(c net.Conn, state http.ConnState) {
	if guarded, ok := c.(*guardedConn); ok && state == http.StateIdle {
		guarded.nextHead()
	}
}

// mixedFraming reports whether the request has both Content-Length and Transfer-Encoding.
func mixedFraming(r *http.Request) bool {
	guarded, ok := r.Context().Value(guardKey{}).(*guardedConn)
	return ok && guarded.mixed.Load()
}

// guardedConn inspects the head of each request while it is read. Reads and the transition to
// idle never overlap; only mixed is accessed concurrently.
type guardedConn struct {
	net.Conn
	inHead bool
	// begun is set after the first line of the head.
	begun bool
	// line is the beginning of the current line, up to slightly more than the longest name of
	// interest; nameRead is set after the colon.
	line     []byte
	nameRead bool
	// hasLength and hasTransferEncoding record which framing headers have been seen.
	hasLength, hasTransferEncoding bool
	mixed                          atomic.Bool
}

// NetConn returns the connection that is guarded.
func (c *guardedConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for i := 0; i < n && c.inHead; i++ {
		c.scan(p[i])
	}
	return n, err
}

// nextHead resets the state for the head of the next request.
func (c *guardedConn) nextHead() {
	c.inHead, c.begun = true, false
	c.nextLine()
	c.hasLength, c.hasTransferEncoding = false, false
	c.mixed.Store(false)
}

func (c *guardedConn) nextLine() {
	c.line = c.line[:0]
	c.nameRead = false
}

// scan processes the next byte of a head.
func (c *guardedConn) scan(char byte) {
	switch {
	case char == '\n' && (len(c.line) > 0 || c.nameRead):
		c.begun = true
		c.nextLine()
	case char == '\n':
		c.inHead = !c.begun // net/http skips empty lines before a request
	case char == '\r' || c.nameRead:
	case char == ':':
		c.nameRead = true
		c.recordName()
	case len(c.line) <= len(transferEncodingName):
		c.line = append(c.line, char)
	}
}

// recordName checks the header name in line.
func (c *guardedConn) recordName() {
	name := bytes.TrimSpace(c.line)
	c.hasLength = c.hasLength || bytes.EqualFold(name, contentLengthName)
	c.hasTransferEncoding = c.hasTransferEncoding || bytes.EqualFold(name, transferEncodingName)
	if c.hasLength && c.hasTransferEncoding {
		c.mixed.Store(true)
	}
}
