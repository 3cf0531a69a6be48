package routed

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestTruncatedResponseToHTTP10Caller guards against a truncated response that looks whole to a caller
// to whom the end of the connection ends a response: it must be reset.
func TestTruncatedResponseToHTTP10Caller(t *testing.T) {
	for target, response := range map[string]string{
		"/once/x":   "HTTP/1.1 200 OK\r\nTest-Signature: s\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("x", 5000),
		"/stream/x": "HTTP/1.1 200 OK\r\nTest-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n23\r\nid: 1\ndata: part of the stream 1\n\n\r\n",
	} {
		is := is.New(t)
		b := newTestEntry(t)
		b.addRawEndpoint("e1", func(_ *rawEndpoint, c *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(c, response)
			time.Sleep(20 * time.Millisecond)
		})
		c, err := net.Dial("tcp", strings.TrimPrefix(b.frontend.URL, "http://"))
		is.NoErr(err)
		_, err = io.WriteString(c, "POST "+target+" HTTP/1.0\r\nHost: crew.example\r\nAuthorization: Bearer "+testKey+"\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n")
		is.NoErr(err)
		text, err := io.ReadAll(c)
		t.Logf("%d bytes, %v", len(text), err)
		is.True(strings.Contains(string(text), "200 OK"))
		is.True(err != nil)
		is.NoErr(c.Close())
	}
}
