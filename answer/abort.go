package answer

import (
	"net"
	"net/http"
)

// Abort ends a response that is truncated by closing its connection, and does not return. To a caller
// that speaks HTTP/1.0 an orderly end of the connection would end the response, so its connection is
// reset.
func Abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			resetOnClose(conn)
			_ = conn.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

// resetOnClose makes closing a connection reset it.
func resetOnClose(conn net.Conn) {
	for {
		switch c := conn.(type) {
		case *net.TCPConn:
			_ = c.SetLinger(0)
			return
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return
		}
	}
}
