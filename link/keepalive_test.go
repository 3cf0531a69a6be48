package link

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	health "google.golang.org/grpc/health/grpc_health_v1"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/proof"
)

// pipeListener is a listener whose connections are ends of in-memory pipes.
type pipeListener struct {
	ends   chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case end := <-l.ends:
		return end, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// blackholeConn is an end of a connection that, once cut is closed, discards all
// writes and does not report that the other end is closed.
type blackholeConn struct {
	net.Conn
	cut    chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newBlackholeConn(end net.Conn, cut chan struct{}) *blackholeConn {
	return &blackholeConn{Conn: end, cut: cut, closed: make(chan struct{})}
}

func (c *blackholeConn) isCut() bool {
	select {
	case <-c.cut:
		return true
	default:
		return false
	}
}

func (c *blackholeConn) Write(data []byte) (int, error) {
	if c.isCut() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

func (c *blackholeConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if err != nil && c.isCut() {
		<-c.closed
	}
	return n, err
}

func (c *blackholeConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func TestSilentPartitionIsDetectedOnBothSides(t *testing.T) {
	proof.Cell{Promise: proof.NotRun, Faults: []proof.Fault{proof.FullPartition}, Step: "silent network partition while a call runs",
		Guard: "the flag that a call was sent"}.Log(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		listener := &pipeListener{ends: make(chan net.Conn), closed: make(chan struct{})}
		cut := make(chan struct{})
		serverDone := make(chan time.Time, 1)
		serverOptions, err := ServerOptions(Config{})
		is.NoErr(err)
		server := grpc.NewServer(serverOptions...)
		health.RegisterHealthServer(server, &peer{check: func(ctx context.Context) error {
			close(cut) // the network fails while the call runs
			<-ctx.Done()
			serverDone <- time.Now()
			return ctx.Err()
		}})
		go func() { _ = server.Serve(listener) }()
		dialOptions, err := DialOptions(Config{})
		is.NoErr(err)
		conn, err := grpc.NewClient("passthrough:///peer", append(dialOptions, grpc.WithContextDialer(
			func(context.Context, string) (net.Conn, error) {
				near, far := net.Pipe()
				listener.ends <- newBlackholeConn(far, cut)
				return newBlackholeConn(near, cut), nil
			}))...)
		is.NoErr(err)

		started := time.Now()
		_, err = health.NewHealthClient(conn).Check(t.Context(), &health.HealthCheckRequest{})
		is.Equal(fault.KindOf(err), fault.Unknown) // it may have run
		is.True(time.Since(started) <= clientPingInterval+keepaliveTimeout+time.Second)
		is.True((<-serverDone).Sub(started) <= serverPingInterval+keepaliveTimeout+time.Second)
		_ = conn.Close()
		server.Stop()
	})
}
