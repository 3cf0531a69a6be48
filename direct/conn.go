package direct

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBuffer is the size of a connection's read buffer in bytes.
	readBuffer = 4 << 10
	// maxHeadBytes is the maximum size of a response head.
	maxHeadBytes = 256 << 10
)

// errHeadTooLarge is returned for a response whose head exceeds maxHeadBytes.
var errHeadTooLarge = errors.New("the response head is too large")

// conn is a connection to an endpoint. It is used by one request at a time.
type conn struct {
	addr   string
	raw    net.Conn
	reader *bufio.Reader
	// headRemaining is how many bytes may still be read while a response head is being read;
	// negative means unlimited.
	headRemaining int
	// bodyWrite is the write of the current request's body; nil if it was written with the head.
	bodyWrite *bodyWrite
	// reused is true if the connection has already served a request.
	reused bool
	// expires is when the idle connection is closed.
	expires time.Time
}

func newConn(addr string, raw net.Conn) *conn {
	c := &conn{addr: addr, raw: raw, headRemaining: -1}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c
}

// Read implements io.Reader and enforces the limit on the response head. It returns io.EOF only if
// the endpoint has closed the connection, and not if the connection has failed.
func (c *conn) Read(p []byte) (int, error) {
	if c.headRemaining == 0 {
		return 0, errHeadTooLarge
	}
	if c.headRemaining > 0 && len(p) > c.headRemaining {
		p = p[:c.headRemaining]
	}
	n, err := c.raw.Read(p)
	if c.headRemaining > 0 {
		c.headRemaining -= n
	}
	if errors.Is(err, io.EOF) {
		err = c.endOfConnection()
	}
	return n, err
}

// endOfConnection returns the error for a read that found no more data: the failure of the
// connection if the write of the request's body got it, io.EOF otherwise.
func (c *conn) endOfConnection() error {
	if c.bodyWrite == nil {
		return io.EOF
	}
	c.bodyWrite.interrupt()
	if failure := c.bodyWrite.connectionFailure(); failure != nil {
		return failure
	}
	return io.EOF
}

// stillIdle reports whether an idle connection has received neither data nor the end of the
// stream.
func (c *conn) stillIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := c.raw.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && idle
}

func (c *conn) close() { _ = c.raw.Close() }

// reset closes the connection of a cancelled request and discards unacknowledged data. A plain
// close would deliver that data once the endpoint's host is reachable again, long after the
// caller has disconnected.
func (c *conn) reset() {
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.close()
}
