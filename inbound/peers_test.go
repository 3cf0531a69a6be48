package inbound

import (
	"context"
	"log/slog"
	"net"
	"runtime"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/tap"

	"github.com/lilackeel/lilackeel/memory"
)

// TestPeersMakeRoom guards against a crowd on a gRPC listener that closes the connections of other daemons: those
// without a handshake go first, then the one that has been silent for longest.
func TestPeersMakeRoom(t *testing.T) {
	is := is.New(t)
	l := NewResources(nil, 64).PeerListener(nil, "test", 3.0/64, slog.New(slog.DiscardHandler)).(*peerListener)
	l.counter.config.MaxConnections = 3
	open := func(handshake bool) *peerConn {
		client, accepted := net.Pipe()
		t.Cleanup(func() { _ = client.Close() })
		c := l.admit(accepted)
		if handshake {
			c.read.Store(peerPrefaceBytes)
		}
		return c
	}
	silent, active, stranger := open(true), open(true), open(false)
	silent.lastRead.Store(-1)
	isOpen := func(c *peerConn) bool {
		_, ok := l.conns[c]
		return ok
	}
	daemon := open(true)
	is.True(!isOpen(stranger) && isOpen(silent) && isOpen(active) && isOpen(daemon))
	open(true)
	is.True(!isOpen(silent) && isOpen(active) && isOpen(daemon))
	is.Equal(len(l.conns), 3)
}

// TestSilentPeersAreNoticed guards against a connection to a host that is cut off or frozen, which gRPC takes for
// alive since it cannot limit how long its data stays unacknowledged.
func TestSilentPeersAreNoticed(t *testing.T) {
	is := is.New(t)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := NewResources(nil, 0).PeerListener(tcp, "test", 1, slog.New(slog.DiscardHandler))
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", tcp.Addr().String())
	is.NoErr(err)
	defer func() { _ = client.Close() }()
	accepted, err := l.Accept()
	is.NoErr(err)
	raw, err := accepted.(*peerConn).Conn.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	timeout := 0
	is.NoErr(raw.Control(func(fd uintptr) {
		timeout, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	is.NoErr(err)
	is.Equal(timeout, 3000)
}

// TestCallsAreCharged guards against header lists of gRPC calls that are not charged, stay charged after their
// call, or exceed the budget.
func TestCallsAreCharged(t *testing.T) {
	is := is.New(t)
	budget := memory.NewBudget(256 << 10)
	resources := NewResources(budget, 0)
	info := &tap.Info{Header: metadata.MD{"a": make([]string, 20)}}
	ctx, end := context.WithCancel(t.Context())
	calls := 0
	for {
		if _, err := resources.admitCall(ctx, info); err != nil {
			break
		}
		calls++
	}
	is.True(calls > 0 && calls < 100)
	end()
	for budget.Held() > 0 {
		runtime.Gosched() // the charges are released in the background
	}
}
