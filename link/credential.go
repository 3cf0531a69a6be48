package link

import (
	"context"
	"net"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lilackeel/lilackeel/fault"
)

// newCredentials returns the transport credentials configured by cfg.
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
	return &mutualTLSCredentials{credentials.NewTLS(store.clientConfig()), store}, nil
}

// mutualTLSCredentials performs each handshake with the current keys.
type mutualTLSCredentials struct {
	credentials.TransportCredentials
	store *keyStore
}

// ClientHandshake implements credentials.TransportCredentials.
func (c *mutualTLSCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.store.clientConfig()).ClientHandshake(ctx, authority, conn)
}

// ServerHandshake implements credentials.TransportCredentials.
func (c *mutualTLSCredentials) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.store.serverConfig()).ServerHandshake(conn)
}

// Clone implements credentials.TransportCredentials.
func (c *mutualTLSCredentials) Clone() credentials.TransportCredentials {
	return &mutualTLSCredentials{c.TransportCredentials.Clone(), c.store}
}

// plainCredentials connects without TLS, between loopback addresses only unless
// allowRemote is set.
type plainCredentials struct {
	credentials.TransportCredentials
	allowRemote bool
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
	return &plainCredentials{c.TransportCredentials.Clone(), c.allowRemote}
}

func (c *plainCredentials) allow(conn net.Conn) error {
	if c.allowRemote || isLoopback(conn.RemoteAddr()) {
		return nil
	}
	return fault.Newf(fault.Unauthenticated, "set -tls-cert, -tls-key and -tls-ca on both sides, or -insecure",
		"a connection without TLS to or from %s is not allowed", conn.RemoteAddr())
}

// isLoopback reports whether an address is on this host. Addresses other than TCP,
// such as those of Unix sockets and pipes, are.
func isLoopback(addr net.Addr) bool {
	tcp, ok := addr.(*net.TCPAddr)
	return !ok || tcp.IP.IsLoopback()
}
