package direct

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCancelledRequestIsNotDelivered guards against requests that reach an endpoint after
// their callers have disconnected. Data sent to a host that is frozen or cut off stays in
// the local socket buffer; a plain close would still deliver it once the host is reachable
// again. In one simulated day, eight requests to an engine next to a frozen host arrived four
// seconds late, two seconds after their callers had disconnected.
func TestCancelledRequestIsNotDelivered(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	accepted := make(chan *net.TCPConn, 1)
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		accepted <- c.(*net.TCPConn)
	}()
	c := NewClient(Config{})
	defer c.Close()
	ctx, leave := context.WithCancel(t.Context())
	// Larger than the receive buffer of the endpoint's host, and no larger than the local send
	// buffer.
	body := bytes.Repeat([]byte("x"), 192<<10)
	ended := make(chan error, 1)
	go func() {
		_, err := c.Send(ctx, listener.Addr().String(), &Request{Method: http.MethodPost, Target: "/", Host: "h", ID: "r", Body: body})
		ended <- err
	}()
	endpoint := <-accepted
	defer func() { _ = endpoint.Close() }()
	time.Sleep(50 * time.Millisecond)
	leave()
	is.True(<-ended != nil)
	time.Sleep(50 * time.Millisecond)
	got, err := io.ReadAll(endpoint)
	t.Logf("the endpoint got %d bytes: %v", len(got), err)
	is.True(err != nil) // reset, not closed in order
}
