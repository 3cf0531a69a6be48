package link

import (
	"context"
	"net"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lilackeel/lilackeel/fault"
)

// newCredentials returns the transport credentials that cfg asks for.
func newCredentials(cfg Config) (credentials.TransportCredentials, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	if !cfg.TLSEnabled() {
		return &plainCredentials{insecure.NewCredentials(), cfg.Insecure}, nil
	}
	store, err := newKeyStore(cfg)
	if err != nil {
		return nil, err
	}
	return &mutualCredentials{credentials.NewTLS(store.client()), store}, nil
}

// mutualCredentials makes each handshake with the keys of that moment.
type mutualCredentials struct {
	credentials.TransportCredentials
	store *keyStore
}

// ClientHandshake implements credentials.TransportCredentials.
func (c *mutualCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.store.client()).ClientHandshake(ctx, authority, conn)
}

// ServerHandshake implements credentials.TransportCredentials.
func (c *mutualCredentials) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.store.server()).ServerHandshake(conn)
}

// Clone implements credentials.TransportCredentials.
func (c *mutualCredentials) Clone() credentials.TransportCredentials {
	return &mutualCredentials{c.TransportCredentials.Clone(), c.store}
}

// plainCredentials connects without TLS, between loopback addresses only unless
// anywhere is set.
type plainCredentials struct {
	credentials.TransportCredentials
	anywhere bool
}

// ClientHandshake implements credentials.TransportCredentials.
func (c *plainCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	if err := c.allow(conn); err != nil {
		return nil, nil, err
	}
	return c.TransportCredentials.ClientHandshake(ctx, authority, conn)
}

// ServerHandshake implements credentials.TransportCredentials.
func (c *plainCredentials) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	if err := c.allow(conn); err != nil {
		return nil, nil, err
	}
	return c.TransportCredentials.ServerHandshake(conn)
}

// Clone implements credentials.TransportCredentials.
func (c *plainCredentials) Clone() credentials.TransportCredentials {
	return &plainCredentials{c.TransportCredentials.Clone(), c.anywhere}
}

func (c *plainCredentials) allow(conn net.Conn) error {
	if c.anywhere || isLoopback(conn.RemoteAddr()) {
		return nil
	}
	return fault.Newf(fault.Unauthenticated, "set -tls-cert, -tls-key and -tls-ca on both sides, or -insecure",
		"a connection without TLS to or from %s is not allowed", conn.RemoteAddr())
}

// isLoopback reports whether the peer is on this host. Sockets and pipes without
// an IP address are.
func isLoopback(addr net.Addr) bool {
	tcp, ok := addr.(*net.TCPAddr)
	return !ok || tcp.IP.IsLoopback()
}
