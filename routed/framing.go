package routed

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

var (
	nameLength = []byte("content-length")
	nameCoding = []byte("transfer-encoding")
)

// FramingGuard watches the heads of requests on the connections of a listener. A
// request that states both a length and chunks could be read as two by someone
// else on its way. net/http drops the length, goes on with the connection, and
// cannot tell its handler; the guard can.
type FramingGuard struct{ net.Listener }

// guardKey is the context key of a connection's guard.
type guardKey struct{}

// Accept implements net.Listener.
func (g FramingGuard) Accept() (net.Conn, error) {
	accepted, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: accepted, inHead: true}, nil
}

// ConnContext has to be the http.Server's: it lets handlers ask the guard.
func (g FramingGuard) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, guardKey{}, c)
}

// ConnState has to be the http.Server's: it tells the guard when the next head
// begins.
func (g FramingGuard) ConnState(c net.Conn, state http.ConnState) {
	if guarded, ok := c.(*guardedConn); ok && state == http.StateIdle {
		guarded.nextHead()
	}
}

// mixedFraming reports whether the request states both a length and chunks.
func mixedFraming(r *http.Request) bool {
	guarded, ok := r.Context().Value(guardKey{}).(*guardedConn)
	return ok && guarded.mixed.Load()
}

// guardedConn looks at the head of each request as it is read. Reads and the
// change to idle follow one another; only mixed is asked for beside them.
type guardedConn struct {
	net.Conn
	inHead bool
	// line is the beginning of the present line, a little longer than the longest
	// name looked for; named is set after its colon.
	line  []byte
	named bool
	// length and coded say which framing headers have come.
	length, coded bool
	mixed         atomic.Bool
}

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for i := 0; i < n && c.inHead; i++ {
		c.scan(p[i])
	}
	return n, err
}

// nextHead begins with the head of the next request.
func (c *guardedConn) nextHead() {
	c.inHead = true
	c.nextLine()
	c.length, c.coded = false, false
	c.mixed.Store(false)
}

func (c *guardedConn) nextLine() {
	c.line = c.line[:0]
	c.named = false
}

// scan takes the next byte of a head.
func (c *guardedConn) scan(char byte) {
	switch {
	case char == '\n' && len(c.line) == 0:
		c.inHead = false
	case char == '\n':
		c.nextLine()
	case char == '\r' || c.named:
	case char == ':':
		c.named = true
		c.name()
	case len(c.line) <= len(nameCoding):
		c.line = append(c.line, char)
	}
}

// name notes the name of a header.
func (c *guardedConn) name() {
	name := bytes.TrimSpace(c.line)
	c.length = c.length || bytes.EqualFold(name, nameLength)
	c.coded = c.coded || bytes.EqualFold(name, nameCoding)
	if c.length && c.coded {
		c.mixed.Store(true)
	}
}
