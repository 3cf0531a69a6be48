package routed

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/memory"
)

// TestBodiesShareMemory guards against bodies that are read although those of other requests fill the
// memory of the entry, against a refusal that its caller cannot read because it is still sending, and against
// small requests that large ones lock out.
func TestBodiesShareMemory(t *testing.T) {
	is := is.New(t)
	b := newTestEntry(t, answerOK)
	const size = 16 << 20
	b.server.Bodies = memory.NewBudget(64 << 20)
	b.server.config.MaxBodyBytes, b.server.config.BodyTimeout = size, time.Minute
	body := strings.Repeat("b", size)

	begin := func(text string) net.Conn {
		c, err := net.Dial("tcp", strings.TrimPrefix(b.frontend.URL, "http://"))
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: crew.example\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, size, text)
		is.NoErr(err)
		return c
	}
	slow := begin("b")
	b.waitUntil("the slow caller's body is charged before it arrives", func() bool { return b.server.Bodies.Held() > 0 })
	for _, chunked := range []bool{false, true} {
		r, err := http.NewRequest(http.MethodPost, b.frontend.URL+"/once/large", io.MultiReader(strings.NewReader(body)))
		is.NoErr(err)
		if !chunked {
			r.ContentLength = size
		}
		r.Host, r.Header = "crew.example", http.Header{"Authorization": {"Bearer " + testKey}, "X-Request-Id": {"r1"}}
		response, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		is.Equal(response.Header.Get(call.HeaderOutcome), "not-run")
		is.True(response.Header.Get("Retry-After") != "")
	}
	status := make([]byte, 12) // of a caller that reads only after it has sent the whole body
	_, err := io.ReadFull(begin(body), status)
	is.NoErr(err)
	is.Equal(string(status), "HTTP/1.1 503")
	response, _, err := b.do(http.MethodPost, "/once/small", strings.Repeat("b", 10<<10), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.NoErr(slow.Close())
	b.waitUntil("the charge of a caller that has left ends", func() bool { return b.server.Bodies.Held() == 0 })
	response, _, err = b.do(http.MethodPost, "/once/large", body, nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(len(b.requests()), 2)
	b.waitUntil("a response ends the charge", func() bool { return b.server.Bodies.Held() == 0 })
}

// TestHeldResponsesShareMemory guards against responses that fill the memory of the entry together:
// events that do not end at many endpoints at once, and long responses. Long responses are passed on
// unbuffered when there is no room, and small ones are served all the while.
func TestHeldResponsesShareMemory(t *testing.T) {
	is := is.New(t)
	b := newTestEntry(t)
	const limit, streams = 8 << 20, 24
	b.server.Bodies = memory.NewBudget(limit)
	b.server.config.MaxBufferedBytes = 1 << 20
	long := strings.Repeat("x", 700<<10)
	b.addRawEndpoint("e1", func(e *rawEndpoint, c *net.TCPConn, r *http.Request) {
		switch {
		case strings.HasPrefix(r.URL.Path, "/stream/"):
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTest-Signature: s\r\nContent-Type: text/event-stream\r\n\r\ndata: "+long)
			e.repeat(c, "x", 10*time.Millisecond)
		case r.URL.Path == "/read/long":
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Signature: s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(long), long)
		default:
			respondOK(e, c, r)
		}
	})
	var ended sync.WaitGroup
	for range streams {
		ended.Go(func() { _, _, _ = b.do(http.MethodPost, "/stream/x", "body", nil) })
	}
	b.waitUntil("the streams hold what they may", func() bool { return b.server.Bodies.Held() > limit/2 })
	is.True(b.server.Bodies.Held() <= limit)
	for path, want := range map[string]string{"/read/long": long, "/read/x": "done"} {
		b.waitUntil(path+" is answered", func() bool {
			response, text, err := b.do(http.MethodPost, path, "body", nil)
			is.NoErr(err)
			// The streams that were cut may have the endpoint rest for a moment.
			is.True(response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusOK && text == want)
			return response.StatusCode == http.StatusOK
		})
	}
	is.True(b.server.Bodies.Held() <= limit)
	ended.Wait()
	b.waitUntil("the charges end", func() bool { return b.server.Bodies.Held() == 0 })
}
