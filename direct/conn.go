package direct

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBuffer is the buffer of one connection, in bytes.
	readBuffer = 4 << 10
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 256 << 10
)

// errHeadTooLarge ends an answer whose head does not end.
var errHeadTooLarge = errors.New("the head of the answer is too large")

// conn is one connection to an endpoint. One request uses it at a time.
type conn struct {
	addr   string
	raw    net.Conn
	reader *bufio.Reader
	// head is how many bytes may still be read while a head is awaited; negative
	// for any number.
	head int
	// reused is true for a connection that has served before.
	reused bool
	// expires is when it is no longer kept.
	expires time.Time
}

func newConn(addr string, raw net.Conn) *conn {
	c := &conn{addr: addr, raw: raw, head: -1}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c
}

// Read implements io.Reader and bounds the head of an answer.
func (c *conn) Read(p []byte) (int, error) {
	if c.head == 0 {
		return 0, errHeadTooLarge
	}
	if c.head > 0 && len(p) > c.head {
		p = p[:c.head]
	}
	n, err := c.raw.Read(p)
	if c.head > 0 {
		c.head -= n
	}
	return n, err
}

// silent reports whether nothing has come on an unused connection, neither bytes
// nor its end.
func (c *conn) silent() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	holder, ok := c.raw.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

func (c *conn) close() { _ = c.raw.Close() }

// abandon closes the connection of a request that nobody waits for any more. What the
// endpoint's host has not taken yet is dropped: a plain close would deliver it whenever that
// host is back, long after the caller has left.
func (c *conn) abandon() {
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.close()
}
