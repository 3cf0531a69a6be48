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

// Keepalive parameters that detect a silently broken connection. A peer that stops
// answering on the network is detected by TCP within probeIdle +
// probeCount*probeInterval on an idle connection, and within keepaliveTimeout after
// data that stays unacknowledged. The kernel of a peer whose process is frozen
// still acknowledges on TCP: a server detects it after serverPingInterval +
// keepaliveTimeout, a client after clientPingInterval + keepaliveTimeout.
const (
	// keepaliveTimeout is how long sent data or a ping may stay unacknowledged.
	keepaliveTimeout = 3 * time.Second
	// serverPingInterval is how long a connection is idle before the server pings.
	serverPingInterval = 2 * time.Second
	// clientPingInterval is the same for the client; 10 s is the minimum in gRPC.
	clientPingInterval = 10 * time.Second
	// minClientPingInterval is the shortest ping interval that a server tolerates.
	minClientPingInterval = time.Second
	// probeIdle is how long a connection is idle before TCP probes it.
	probeIdle = time.Second
	// probeInterval is the time between two TCP probes.
	probeInterval = time.Second
	// probeCount is the number of lost probes after which a connection is closed.
	probeCount = 3
)

// Parameters of reconnecting after a lost connection.
const (
	reconnectBase   = 100 * time.Millisecond
	reconnectMax    = 2 * time.Second
	reconnectFactor = 1.6
	reconnectJitter = 0.2
	connectTimeout  = 2 * time.Second
)

var probes = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}

// Listen opens a TCP listener whose connections use TCP keepalive.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: probes}
	return config.Listen(ctx, "tcp", address)
}

// ServerOptions returns the options of a gRPC server for lilackeel processes.
func ServerOptions(cfg Config) ([]grpc.ServerOption, error) {
	creds, err := newCredentials(cfg)
	if err != nil {
		return nil, err
	}
	return []grpc.ServerOption{
		grpc.Creds(creds),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverPingInterval, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minClientPingInterval, PermitWithoutStream: true}),
		grpc.ChainUnaryInterceptor(telemetry.UnaryServerInterceptor, unaryServer),
		grpc.ChainStreamInterceptor(telemetry.StreamServerInterceptor, streamServer),
	}, nil
}

// DialOptions returns the options of a gRPC client of lilackeel processes. gRPC
// never retries calls, proxy settings of the environment are ignored, and the
// errors of calls are faults.
func DialOptions(cfg Config) ([]grpc.DialOption, error) {
	creds, err := newCredentials(cfg)
	if err != nil {
		return nil, err
	}
	dialer := net.Dialer{KeepAliveConfig: probes}
	return []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return dialWithRetry(ctx, address, dialer.DialContext)
		}),
		grpc.WithNoProxy(),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(0),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: clientPingInterval, Timeout: keepaliveTimeout, PermitWithoutStream: true}),
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
