package feed

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lilackeel/lilackeel/proof"
)

// TestWatchFailsFastOnUnresponsiveSource connects to a host that accepts connections but sends
// nothing, as a frozen one does, and to one that refuses connections. Without connectTimeout
// the client would wait for DefaultFirstPongTimeout.
func TestWatchFailsFastOnUnresponsiveSource(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Freeze, proof.Kill}, Step: "switching to a source that is unresponsive as well", Combined: true,
		Guard: "waitReady: a source has half a second to accept a connection"}.Log(t)
	is := is.New(t)
	frozen, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = frozen.Close() }()
	down, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(down.Close())
	for _, addr := range []string{frozen.Addr().String(), down.Addr().String()} {
		connections := newConnections([]grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())})
		client := NewClient(Config{Sources: []string{addr}, Daemon: "d", Role: "entry"})
		started := time.Now()
		wasFresh, err := client.watch(t.Context(), connections, addr, 0)
		is.True(err != nil && !wasFresh)
		is.True(time.Since(started) < 2*connectTimeout) // DefaultFirstPongTimeout is three seconds
		connections.close()
	}
}
