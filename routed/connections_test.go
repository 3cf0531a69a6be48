package routed

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against running out of descriptors when most new connections go to one entry and callers
// keep them open: above the limit, each is closed after its response, and every request is answered.
func TestIdleConnectionsAreLimited(t *testing.T) {
	is := is.New(t)
	const limit = 10
	b := newTestEntry(t, answerOK)
	b.server.config.MaxKeptConnections = limit
	kept := 0
	for range 6 * limit {
		c, err := net.Dial("tcp", strings.TrimPrefix(b.frontend.URL, "http://"))
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = io.WriteString(c, "GET /read/x HTTP/1.1\r\nHost: crew.example\r\nAuthorization: Bearer "+testKey+"\r\n\r\n")
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		if !response.Close {
			kept++
		}
	}
	is.Equal(kept, limit)
}
