package link

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/keepalive"

	"github.com/lilackeel/lilackeel/telemetry"
)

// The times that find a silent cut. A peer that stops answering on the network
// is found by TCP within probeIdle + probeCount*probeInterval on an idle
// connection, and within silentTimeout after unacknowledged data. A peer whose
// process is frozen still acknowledges on TCP: a server finds it after
// serverPing + silentTimeout, a client after clientPing + silentTimeout.
const (
	// silentTimeout is how long sent data or a ping may stay unacknowledged.
	silentTimeout = 3 * time.Second
	// serverPing is how long a connection is quiet before the server pings.
	serverPing = 2 * time.Second
	// clientPing is the same for the client; gRPC allows no less.
	clientPing = 10 * time.Second
	// leastClientPing is the shortest ping interval that a server tolerates.
	leastClientPing = time.Second
	// probeIdle is how long a connection is quiet before TCP probes it.
	probeIdle = time.Second
	// probeInterval is the time between two TCP probes.
	probeInterval = time.Second
	// probeCount is how many lost probes end a connection.
	probeCount = 3
)

// Reconnecting after a lost connection.
const (
	reconnectBase   = 100 * time.Millisecond
	reconnectMax    = 2 * time.Second
	reconnectFactor = 1.6
	reconnectJitter = 0.2
	connectTimeout  = 2 * time.Second
)

var probes = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}

// Listen opens a TCP listener whose connections are probed when quiet.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: probes}
	return config.Listen(ctx, "tcp", address)
}

// ServerOptions returns the options of a gRPC server for our processes.
func ServerOptions(cfg Config) ([]grpc.ServerOption, error) {
	creds, err := newCredentials(cfg)
	if err != nil {
		return nil, err
	}
	return []grpc.ServerOption{
		grpc.Creds(creds),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverPing, Timeout: silentTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: leastClientPing, PermitWithoutStream: true}),
		grpc.ChainUnaryInterceptor(telemetry.UnaryServerInterceptor, unaryServer),
		grpc.ChainStreamInterceptor(telemetry.StreamServerInterceptor, streamServer),
	}, nil
}

// DialOptions returns the options of a gRPC client for our processes. Calls are
// never retried by gRPC, proxies of the environment are not used, and errors of
// calls are faults.
func DialOptions(cfg Config) ([]grpc.DialOption, error) {
	creds, err := newCredentials(cfg)
	if err != nil {
		return nil, err
	}
	dialer := net.Dialer{KeepAliveConfig: probes}
	return []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return dialAgain(ctx, address, dialer.DialContext)
		}),
		grpc.WithNoProxy(),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(0),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: clientPing, Timeout: silentTimeout, PermitWithoutStream: true}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  reconnectBase,
				Multiplier: reconnectFactor,
				Jitter:     reconnectJitter,
				MaxDelay:   reconnectMax,
			},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithStatsHandler(sentRecorder{}),
		grpc.WithChainUnaryInterceptor(unaryClient, telemetry.UnaryClientInterceptor),
		grpc.WithChainStreamInterceptor(streamClient, telemetry.StreamClientInterceptor),
	}, nil
}
