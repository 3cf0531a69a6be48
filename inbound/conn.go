package inbound

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/lilackeel/lilackeel/answer"
	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/memory"
)

const (
	// connectionCost is what an open connection occupies: its buffers and stacks.
	connectionCost = 12 << 10
	// refusalTimeout limits the time of writing a refusal, and lingerTimeout and lingerBytes how long and how
	// much of the rest is discarded: a connection that is closed with unread bytes is reset, and the client
	// may lose the refusal with it.
	refusalTimeout = time.Second
	lingerTimeout  = 500 * time.Millisecond
	lingerBytes    = 256 << 10
	// refusalRetryAfter is the delay that a client without room is asked to wait.
	refusalRetryAfter = time.Second
)

// Reasons of refusals in logs and metrics.
const (
	reasonHeadSize    = "head-size"
	reasonHeadTime    = "head-time"
	reasonConnections = "connections"
	reasonFiles       = "files"
	reasonMemory      = "memory"
	reasonIdle        = "idle"
)

var (
	errHeadTooLarge = fault.New(fault.Invalid, "the head of the request exceeds the limit", "send fewer or shorter headers")
	errHeadTooSlow  = fault.New(fault.Invalid, "the head of the request took too long", "retry the request on a new connection")
)

// conn is a connection whose incoming bytes are followed to find the heads of requests. Read is called by one
// goroutine at a time.
type conn struct {
	net.Conn
	listener *listener
	base     *memory.Charge

	// The scanners and what they scan are used by Read only.
	framing   framing
	head      headScanner
	frames    frameScanner
	bodyBytes int64
	// charge is the charge of the head that is being read; nil between heads.
	charge *memory.Charge

	mu sync.Mutex
	// complete are the heads that have been read and whose handlers have not begun; serving is the number of
	// handlers that run.
	complete []*Head
	serving  int
	// awaitingBody is set while the only request in progress waits for its body.
	awaitingBody bool
	// inHead is set while a head is being read. since is when the connection began to wait for a head, for the rest
	// of one or for a body, in nanoseconds of the clock of the resources.
	inHead bool
	since  int64
	// idleHTTP2 is set while an HTTP/2 connection has no streams.
	idleHTTP2 bool
	http2     bool
	// tooSlow is set when the head has exceeded its time; closed when the connection is given up.
	tooSlow, closed bool
}

// NetConn returns the connection that is followed.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. It returns an error where a head exceeds a limit, after a refusal has been sent.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if errors.Is(err, os.ErrDeadlineExceeded) && c.isTooSlow() {
			return 0, c.refuse(reasonHeadTime, call.RefuseWithStatus(http.StatusRequestTimeout, errHeadTooSlow))
		}
		n, refusal := c.follow(p[:n])
		if refusal != nil {
			return 0, refusal
		}
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
	}
}

// follow scans the bytes in p, removes empty lines before requests, and returns the number of bytes that
// remain in p.
func (c *conn) follow(p []byte) (int, error) {
	for at := 0; at < len(p); {
		switch {
		case c.framing == otherFraming:
			return len(p), nil
		case c.framing == http2Framing:
			return len(p), c.followFrames(p[at:])
		case c.bodyBytes > 0:
			n := int(min(c.bodyBytes, int64(len(p)-at)))
			c.bodyBytes -= int64(n)
			at += n
		default:
			n, skip, done := c.head.scan(p[at:])
			copy(p[at:], p[at+skip:])
			p = p[:len(p)-skip]
			at += n - skip
			if err := c.account(done); err != nil {
				return 0, err
			}
		}
	}
	return len(p), nil
}

// account charges for the head that is being read, and begins a body after its end.
func (c *conn) account(done bool) error {
	waits, closed := c.enterHead()
	if closed {
		return errClosed
	}
	if waits && c.head.size > c.listener.config.Limits().HeadBytes {
		return c.refuse(reasonHeadSize, call.RefuseWithStatus(http.StatusRequestHeaderFieldsTooLarge, errHeadTooLarge))
	}
	if c.charge == nil {
		c.charge = c.listener.resources.memory.Begin("")
	}
	if err := c.grow(c.charge, cost(c.head.size, c.head.lines), waits); err != nil {
		return c.refuse(reasonMemory, call.RefuseWithStatus(http.StatusServiceUnavailable, fault.From(err).RetryIn(refusalRetryAfter)))
	}
	if !done {
		return nil
	}
	c.framing, c.bodyBytes = c.head.framing()
	head := &Head{conn: c, charge: c.charge, mixed: c.head.hasLength && c.head.hasTransferEncoding, last: c.framing == otherFraming}
	c.charge = nil
	c.head.reset()
	if c.framing == http2Framing {
		c.frames.payload = clientPrefaceRest
		head.charge.Release()
		head = nil
	}
	return c.leaveHead(head)
}

// grow charges for a head. Connections that are not being served make room for one of ordinary size. One that is
// read ahead while another request is served is never refused; net/http reads no more of it than one buffer.
func (c *conn) grow(charge *memory.Charge, size int64, waits bool) error {
	if !waits {
		charge.Force(size)
		return nil
	}
	err := charge.Resize(size)
	for err != nil && size <= memory.OrdinaryBytes && c.listener.resources.evict(nil, c, reasonMemory) {
		err = charge.Resize(size)
	}
	return err
}

// followFrames charges for the header block that is being read on an HTTP/2 connection. Once decoded, a
// header list is charged by the handler.
func (c *conn) followFrames(p []byte) error {
	ended := c.frames.scan(p)
	if c.charge == nil {
		c.charge = c.listener.resources.memory.Begin("")
	}
	c.mu.Lock()
	inHead := c.frames.block > 0
	if inHead && (!c.inHead || ended > 0) {
		c.since = c.listener.now()
	}
	c.inHead = inHead
	waits := c.serving == 0
	c.mu.Unlock()
	limit := http2ListLimit(c.listener.config.Limits().HeadBytes)
	if err := c.grow(c.charge, fieldByteCost*min(c.frames.block, limit), waits); err != nil {
		c.listener.count(reasonMemory, c)
		return errClosed
	}
	return nil
}

// enterHead marks that a head is being read, and reports whether the connection waits for it, that is, no
// other request is being served, and whether it has been closed meanwhile.
func (c *conn) enterHead() (waits, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHead {
		c.inHead, c.since = true, c.listener.now()
	}
	return len(c.complete) == 0 && c.serving == 0, c.closed
}

// leaveHead ends a head. A request whose connection has been closed meanwhile must not run.
func (c *conn) leaveHead(head *Head) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = false
	c.http2 = c.framing == http2Framing
	c.since = c.listener.now()
	if c.tooSlow {
		c.tooSlow = false
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	if head != nil {
		c.complete = append(c.complete, head)
	}
	if c.closed {
		return errClosed
	}
	return nil
}

// begin returns the head of the request whose handler begins. For HTTP/2 it is charged here, and an error
// means that there is no room for it.
func (c *conn) begin(r *http.Request) (*Head, error) {
	c.mu.Lock()
	c.serving++
	var head *Head
	if len(c.complete) > 0 {
		head = c.complete[0]
		c.complete = c.complete[1:]
	}
	c.mu.Unlock()
	if head != nil {
		return head, nil
	}
	head = &Head{conn: c, charge: c.listener.resources.memory.Begin("")}
	return head, c.grow(head.charge, parsedCost(r), true)
}

// awaitBody sets whether the request in progress waits for its body, and reports whether the connection has been
// closed meanwhile.
func (c *conn) awaitBody(awaiting bool) (closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingBody = awaiting && !c.http2
	c.since = c.listener.now()
	return c.closed
}

// end ends the use of a head.
func (c *conn) end(head *Head) {
	head.release()
	c.base.Unassign()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving--
	c.since = c.listener.now()
}

func (h *Head) release() {
	if h != nil {
		h.charge.Release()
	}
}

// waitingSince returns since when the connection waits for its client; ok is false if the client waits for a
// response.
func (c *conn) waitingSince() (since int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, c.waits()
}

// waits reports whether no request is in progress, except for one whose body has not arrived. The caller holds mu.
func (c *conn) waits() bool {
	if c.closed || c.http2 && !c.idleHTTP2 && !c.inHead {
		return false
	}
	return len(c.complete) == 0 && (c.serving == 0 || c.awaitingBody)
}

// evict closes the connection for a reason, if no request is in progress. What its head is charged is released
// once net/http has given the connection up.
func (c *conn) evict(reason string) {
	c.mu.Lock()
	waits := c.waits()
	c.closed = c.closed || waits
	c.mu.Unlock()
	if waits {
		c.listener.count(reason, c)
		_ = c.Conn.Close()
		c.listener.remove(c)
	}
}

// checkTime closes the connection if it has been idle for too long, and makes Read refuse a head that has
// taken too long.
func (c *conn) checkTime(now int64, limits Limits) {
	c.mu.Lock()
	waited := time.Duration(now - c.since)
	idle := c.waits() && !c.inHead && !c.awaitingBody && limits.IdleTimeout > 0 && waited > limits.IdleTimeout
	tooSlow := c.waits() && c.inHead && limits.HeadTimeout > 0 && waited > limits.HeadTimeout
	if tooSlow && !c.http2 {
		c.tooSlow = true
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	http2 := c.http2
	c.mu.Unlock()
	switch {
	case idle:
		c.evict(reasonIdle)
	case tooSlow && http2:
		c.evict(reasonHeadTime)
	}
}

func (c *conn) isTooSlow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tooSlow && c.inHead && c.waits()
}

// errClosed makes net/http close the connection without a response.
var errClosed = &net.OpError{Op: "read", Err: errors.New("the request was refused")}

// refuse sends a refusal and returns the error for net/http.
func (c *conn) refuse(reason string, v *call.Verdict) error {
	c.listener.count(reason, c)
	// The memory of the head is still in use by net/http until the connection closes.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	var response rawResponse
	if answer.WriteVerdict(&response, "", v, c.listener.config.RetryAfterFormat) == nil && response.send(c.Conn) == nil {
		c.linger()
	}
	return errClosed
}

// linger ends the sending side and discards what the client still sends, for a while.
func (c *conn) linger() {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// giveUp ends all use of the process's resources. It is called once net/http no longer uses the connection.
// Heads whose handlers run are released by these.
func (c *conn) giveUp() {
	c.mu.Lock()
	evicted := c.closed
	c.closed = true
	complete := c.complete
	c.complete = nil
	c.mu.Unlock()
	c.charge.Release()
	for _, head := range complete {
		head.release()
	}
	if !evicted {
		c.listener.remove(c)
	}
}
