package link

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	health "google.golang.org/grpc/health/grpc_health_v1"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/proof"
)

// peer is a gRPC service whose responses are chosen by a test.
type peer struct {
	health.UnimplementedHealthServer
	check func(context.Context) error
	watch func(health.Health_WatchServer) error
}

func (p *peer) Check(ctx context.Context, _ *health.HealthCheckRequest) (*health.HealthCheckResponse, error) {
	return &health.HealthCheckResponse{}, p.check(ctx)
}

func (p *peer) Watch(_ *health.HealthCheckRequest, stream health.Health_WatchServer) error {
	return p.watch(stream)
}

// serve starts p on loopback and returns its address and server.
func serve(t *testing.T, cfg Config, p *peer) (string, *grpc.Server) {
	t.Helper()
	options, err := ServerOptions(cfg)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(options...)
	health.RegisterHealthServer(server, p)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String(), server
}

// dial returns a pool and a client for the peer at address.
func dial(t *testing.T, cfg Config, address string) (*Pool, health.HealthClient) {
	t.Helper()
	options, err := DialOptions(cfg)
	if err != nil {
		t.Fatal(err)
	}
	pool := NewPool(options...)
	t.Cleanup(func() { _ = pool.Close() })
	conn, err := pool.Get(address)
	if err != nil {
		t.Fatal(err)
	}
	return pool, health.NewHealthClient(conn)
}

func TestFaultAndTracePropagate(t *testing.T) {
	is := is.New(t)
	sent := fault.New(fault.Overloaded, "no capacity", "ask again later").RetryIn(1500 * time.Millisecond)
	var seen trace.TraceID
	address, _ := serve(t, Config{}, &peer{check: func(ctx context.Context) error {
		seen = trace.SpanContextFromContext(ctx).TraceID()
		return sent
	}})
	_, client := dial(t, Config{}, address)
	span := trace.NewSpanContext(trace.SpanContextConfig{TraceID: trace.TraceID{7}, SpanID: trace.SpanID{9}})
	_, err := client.Check(trace.ContextWithSpanContext(t.Context(), span), &health.HealthCheckRequest{})
	got := fault.As(err)
	is.True(got != nil)
	is.Equal(*got, *sent)
	is.Equal(seen, span.TraceID())
}

func TestUnsentCallIsUnavailableAndSentCallUnknown(t *testing.T) {
	proof.Cell{Promise: proof.NotRun, Faults: []proof.Fault{proof.Kill}, Step: "server lost while a call runs",
		Guard: "the flag that a call was sent"}.Log(t)
	is := is.New(t)
	started := make(chan struct{})
	release := make(chan struct{})
	defer close(release)
	address, server := serve(t, Config{}, &peer{check: func(context.Context) error {
		close(started)
		<-release
		return nil
	}})
	_, client := dial(t, Config{}, address)
	go func() {
		<-started
		go server.Stop() // closes the connection while the call runs
	}()
	_, err := client.Check(t.Context(), &health.HealthCheckRequest{})
	is.Equal(fault.KindOf(err), fault.Unknown)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(listener.Close())
	_, unreachable := dial(t, Config{}, listener.Addr().String())
	_, err = unreachable.Check(t.Context(), &health.HealthCheckRequest{})
	is.Equal(fault.KindOf(err), fault.Unavailable)
}

func TestDropAllowsCallsInFlightToFinish(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	address, _ := serve(t, Config{}, &peer{watch: func(stream health.Health_WatchServer) error {
		if err := stream.Send(&health.HealthCheckResponse{}); err != nil {
			return err
		}
		<-proceed
		return stream.Send(&health.HealthCheckResponse{Status: health.HealthCheckResponse_SERVING})
	}})
	pool, client := dial(t, Config{}, address)
	stream, err := client.Watch(t.Context(), &health.HealthCheckRequest{})
	is.NoErr(err)
	_, err = stream.Recv()
	is.NoErr(err)
	old, err := pool.Get(address)
	is.NoErr(err)
	pool.Drop(address)
	replacement, err := pool.Get(address)
	is.NoErr(err)
	is.True(replacement != old) // a dropped connection is not returned again
	close(proceed)
	answer, err := stream.Recv()
	is.NoErr(err)
	is.Equal(answer.GetStatus(), health.HealthCheckResponse_SERVING)
}

func TestKeysAreReloadedWithoutRestart(t *testing.T) {
	is := is.New(t)
	serverFiles, clientFiles, oldClient := t.TempDir(), t.TempDir(), t.TempDir()
	first, second := newAuthority(t), newAuthority(t)
	first.write(t, serverFiles)
	first.write(t, clientFiles)
	first.write(t, oldClient)
	address, _ := serve(t, configFor(serverFiles), &peer{check: func(context.Context) error { return nil }})
	call := func(dir string) error {
		_, client := dial(t, configFor(dir), address)
		_, err := client.Check(t.Context(), &health.HealthCheckRequest{})
		return err
	}
	is.NoErr(call(clientFiles))

	is.NoErr(os.WriteFile(filepath.Join(serverFiles, "key.pem"), []byte("half written"), 0o600))
	is.NoErr(call(clientFiles)) // with unusable files the previous keys remain in use

	second.write(t, serverFiles)
	second.write(t, clientFiles)
	is.NoErr(call(clientFiles))
	is.Equal(fault.KindOf(call(oldClient)), fault.Unavailable) // the old authority is no longer trusted

	anonymous := credentials.NewTLS(&tls.Config{InsecureSkipVerify: true})
	insecureConn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(anonymous))
	is.NoErr(err)
	defer insecureConn.Close()
	_, err = health.NewHealthClient(insecureConn).Check(t.Context(), &health.HealthCheckRequest{})
	is.True(err != nil) // a client without a certificate is rejected
}

// remoteConn is a connection whose peer has the given address.
type remoteConn struct {
	net.Conn
	remote net.Addr
}

func (c remoteConn) RemoteAddr() net.Addr { return c.remote }

func TestConnectionsWithoutTLSRequireLoopback(t *testing.T) {
	is := is.New(t)
	remoteEnd := remoteConn{remote: &net.TCPAddr{IP: net.IPv4(10, 0, 0, 7), Port: 7000}}
	creds, err := newCredentials(Config{})
	is.NoErr(err)
	_, _, err = creds.ServerHandshake(remoteEnd)
	is.Equal(fault.KindOf(err), fault.Unauthenticated)
	_, _, err = creds.Clone().ClientHandshake(t.Context(), "10.0.0.7:7000", remoteEnd)
	is.Equal(fault.KindOf(err), fault.Unauthenticated)
	is.True(Config{}.CheckListen(":7000") != nil)
	is.NoErr(Config{}.CheckListen("[::1]:7000"))
	_, err = ServerOptions(Config{Cert: "only.pem"})
	is.True(err != nil && strings.Contains(err.Error(), "set all three, or none"))
}

// authority issues the certificates of a test.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func configFor(dir string) Config {
	return Config{
		Cert: filepath.Join(dir, "cert.pem"),
		Key:  filepath.Join(dir, "key.pem"),
		CA:   filepath.Join(dir, "ca.pem"),
	}
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(time.Now().UnixNano()),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	template.Raw = der
	return authority{template, key}
}

// write stores a new certificate for 127.0.0.1, its key and the certificate of the
// authority in dir.
func (a authority) write(t *testing.T, dir string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: "test peer"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	for name, block := range map[string]*pem.Block{
		"cert.pem": {Type: "CERTIFICATE", Bytes: der},
		"key.pem":  {Type: "EC PRIVATE KEY", Bytes: keyDER},
		"ca.pem":   {Type: "CERTIFICATE", Bytes: a.certificate.Raw},
	} {
		if err := os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a second connection that is reported ready before it is established, or that is
// only established by the first call on it.
func TestOpenedConnectionBecomesReady(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t, Config{}, &peer{})
	options, err := DialOptions(Config{})
	is.NoErr(err)
	pool := NewPool(options...).Sibling()
	defer func() { is.NoErr(pool.Close()) }()
	is.True(!pool.Ready(address))
	pool.Open(address)
	for deadline := time.Now().Add(5 * time.Second); !pool.Ready(address) && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.True(pool.Ready(address))
	pool.Drop(address)
	is.True(!pool.Ready(address))
}
