package routed

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/standin"
)

// unreadBody exceeds what the socket buffers take, so that the request is still being written when
// its endpoint, which reads only the head, ends the response.
const unreadBody = 8 << 20

// addEarlyEndpoint adds an endpoint that sends the response that respond returns before it has read
// the body. The connection is then reset, or closed in order.
func (b *testEntry) addEarlyEndpoint(id string, respond func(r *http.Request) (response string, reset bool)) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		standin.RespondEarly(respond(r))(w, r)
	}))
	b.t.Cleanup(backend.Close)
	b.table.Apply([]endpoint.Endpoint{{ID: id, Pool: "pool", Addr: strings.TrimPrefix(backend.URL, "http://"), Slots: 8, Revision: 1}}, nil)
}

// TestResetWhileRequestIsWritten guards against a response without a length that is delivered as a
// whole one although its connection was reset while the request was being written, for each way in
// which a response is delivered, and against one that ended in order and is not delivered.
func TestResetWhileRequestIsWritten(t *testing.T) {
	const (
		plain  = "HTTP/1.1 200 OK\r\nTest-Signature: s\r\nConnection: close\r\n\r\n"
		failed = "HTTP/1.1 500 Internal Server Error\r\nTest-Signature: s\r\nConnection: close\r\n\r\n"
		stream = "HTTP/1.1 200 OK\r\nTest-Signature: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	)
	const short, events = 600, 3
	long := strings.Repeat("x", 20<<10)
	for _, c := range []struct {
		name, target, head, body string
		// resumed is set if the first endpoint is reset after the first events, so that the second one
		// sends the rest.
		resumed bool
	}{
		{"buffered", "/once/x", plain, long[:short], false},
		{"buffered error", "/once/x", failed, long[:short], false},
		{"empty", "/once/x", plain, "", false},
		{"larger than the buffer", "/once/x", plain, long, false},
		{"event stream", "/stream/x", stream, formatEvents(1, events), false},
		{"resumed event stream", "/resumable/x", stream, formatEvents(1, 2*events), true},
	} {
		for _, reset := range []bool{true, false} {
			t.Run(c.name+", reset="+strconv.FormatBool(reset), func(t *testing.T) {
				is := is.New(t)
				b := newTestEntry(t)
				b.server.config.MaxBodyBytes = 2 * unreadBody
				b.server.config.BodyTimeout = time.Minute // a busy machine takes long for a body of this size
				var requests atomic.Int32
				respond := func(r *http.Request) (string, bool) {
					requests.Add(1)
					switch {
					case !c.resumed:
						return c.head + c.body, reset
					case r.Header.Get("Last-Event-Id") == "":
						return c.head + formatEvents(1, events), true
					}
					return c.head + formatEvents(events+1, 2*events), reset
				}
				b.addEarlyEndpoint("e1", respond)
				b.addEarlyEndpoint("e2", respond)
				response, text, err := b.do(http.MethodPost, c.target, strings.Repeat("b", unreadBody), nil)
				is.True(requests.Load() > 0)
				if response != nil {
					t.Logf("status %d, %d bytes, error %v", response.StatusCode, len(text), err)
				}
				whole := err == nil && response.Header.Get(signature) != ""
				is.Equal(whole, !reset)
				is.True(!whole || text == c.body)
			})
		}
	}
}
