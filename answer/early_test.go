package answer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestEarlyResponseClosesConnection guards against a connection that is kept after a response that was
// sent before the body of its request was read: the rest of the body would be taken for a request.
func TestEarlyResponseClosesConnection(t *testing.T) {
	is := is.New(t)
	requests := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests++
		finish := BeforeBody(w, r)
		w.WriteHeader(http.StatusTooManyRequests)
		finish()
	}))
	defer server.Close()
	c, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	const smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60\r\n\r\n"+strings.Repeat("x", 60-len(smuggled))+smuggled)
	is.NoErr(err)
	reader := bufio.NewReader(c)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusTooManyRequests)
	is.True(response.Close) // the caller must not send another request
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	rest, _ := io.ReadAll(reader)
	is.Equal(string(rest), "")
	is.Equal(requests, 1)
}
