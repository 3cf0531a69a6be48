package inbound

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"
)

const (
	// peerHeaderBytes limits the header list of a gRPC call, and peerStreams the calls in progress on one
	// connection.
	peerHeaderBytes = 16 << 10
	peerStreams     = 1024
	// peerHandshakeTimeout limits the time from the begin of a connection to the end of its handshake.
	peerHandshakeTimeout = 5 * time.Second
	// peerPrefaceBytes is what a client has sent at least once its handshake is complete: the connection
	// preface and empty settings.
	peerPrefaceBytes = 24 + frameHeaderSize
	// peerAckTimeout is how long data to a client may stay unacknowledged. gRPC sets its keepalive timeout, which
	// has the same length, on connections of type *net.TCPConn alone.
	peerAckTimeout = 3 * time.Second
	// streamCost is what a call occupies beside its header list.
	streamCost = 4 << 10
)

// PeerOptions returns the options that bound what the clients of a gRPC server may hold: the size of header
// lists, calls, and the time of handshakes.
func (r *Resources) PeerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxHeaderListSize(peerHeaderBytes),
		grpc.MaxConcurrentStreams(peerStreams),
		grpc.ConnectionTimeout(peerHandshakeTimeout),
		grpc.InTapHandle(r.admitCall),
	}
}

// admitCall charges for a call until it ends. Without room it is refused before it is run.
func (r *Resources) admitCall(ctx context.Context, info *tap.Info) (context.Context, error) {
	charge := r.memory.Begin("")
	if charge.Resize(callCost(info.Header)) != nil {
		return ctx, status.Error(codes.ResourceExhausted, "not run: other calls leave no room for this one; retry later")
	}
	context.AfterFunc(ctx, charge.Release)
	return ctx, nil
}

func callCost(header metadata.MD) int64 {
	size := int64(streamCost)
	for name, values := range header {
		for _, value := range values {
			size += lineCost + byteCost*int64(len(name)+len(value))
		}
	}
	return size
}

// PeerListener returns a listener for a gRPC server, whose clients may use a share of the descriptors. If these
// run short, connections without a complete handshake are closed to accept others, then the one that has sent
// nothing for longest.
func (r *Resources) PeerListener(l net.Listener, name string, share float64, logger *slog.Logger) net.Listener {
	counter := newListener(Config{Name: name, MaxConnections: r.Share(share), Logger: logger}, r)
	return &peerListener{Listener: l, counter: counter, conns: map[*peerConn]struct{}{}}
}

// peerListener bounds the connections of a gRPC listener.
type peerListener struct {
	net.Listener
	counter *listener

	mu    sync.Mutex
	conns map[*peerConn]struct{}
}

// Accept implements net.Listener.
func (l *peerListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if outOfFiles(err) && (l.evict(nil, reasonFiles) || l.counter.resources.evict(nil, nil, reasonFiles)) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return l.admit(accepted), nil
	}
}

func (l *peerListener) admit(accepted net.Conn) *peerConn {
	setAckTimeout(accepted)
	c := &peerConn{Conn: accepted, listener: l}
	c.lastRead.Store(l.counter.now())
	l.mu.Lock()
	l.conns[c] = struct{}{}
	full := len(l.conns) > l.counter.config.MaxConnections
	l.mu.Unlock()
	if full {
		l.evict(c, reasonConnections)
	}
	l.counter.logRefusals()
	return c
}

// setAckTimeout limits how long data may stay unacknowledged on a TCP connection. A connection on which that fails
// is broken already.
func setAckTimeout(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(peerAckTimeout.Milliseconds()))
	})
}

// evict closes a connection other than keep, and reports whether there was one.
func (l *peerListener) evict(keep *peerConn, reason string) bool {
	l.mu.Lock()
	var worst *peerConn
	for c := range l.conns {
		if c != keep && (worst == nil || c.precedes(worst)) {
			worst = c
		}
	}
	l.mu.Unlock()
	if worst == nil {
		return false
	}
	l.counter.count(reason, worst)
	_ = worst.Close()
	return true
}

// peerConn is a connection of a gRPC listener.
type peerConn struct {
	net.Conn
	listener *peerListener
	read     atomic.Int64
	// lastRead is when bytes were last received, in nanoseconds of the clock of the resources.
	lastRead atomic.Int64
}

// precedes reports whether the connection is closed before another one.
func (c *peerConn) precedes(other *peerConn) bool {
	if established := c.established(); established != other.established() {
		return !established
	}
	return c.lastRead.Load() < other.lastRead.Load()
}

func (c *peerConn) established() bool { return c.read.Load() >= peerPrefaceBytes }

// Read implements net.Conn.
func (c *peerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.read.Add(int64(n))
		c.lastRead.Store(c.listener.counter.now())
	}
	return n, err
}

// Close implements net.Conn.
func (c *peerConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
