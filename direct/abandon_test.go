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

// TestAnAbandonedRequestIsNotDelivered has an endpoint whose host takes nothing for a while, as
// one that is frozen or cut off: what was sent to it lies in this host's own buffers. The
// request is given up meanwhile.
//
// Seen once on a played day: eight requests that were sent to an engine beside a frozen host
// reached it four seconds later, their callers gone for two.
func TestAnAbandonedRequestIsNotDelivered(t *testing.T) {
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
	// Longer than what the endpoint's host takes by itself, and no longer than what this one
	// keeps to send later.
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
	is.True(err != nil) // the connection was reset, not ended
}
