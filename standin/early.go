package standin

import (
	"io"
	"net"
	"net/http"
	"time"
)

// earlyEndDelay is how long the connection of an early response stays open after it.
const earlyEndDelay = 20 * time.Millisecond

// RespondEarly returns the handler of an endpoint that sends a response, as it stands on the wire,
// before it has read the body of the request. The connection is then reset, or closed in order by an
// endpoint that reads the rest of the request.
func RespondEarly(response string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return
		}
		_, _ = io.WriteString(tcp, response)
		time.Sleep(earlyEndDelay)
		if reset {
			_ = tcp.SetLinger(0)
			return
		}
		_ = tcp.CloseWrite()
		_, _ = io.Copy(io.Discard, tcp)
	}
}
