package routed

import (
	"net"
	"net/http"
)

// ConnState must be called by the http.Server's ConnState hook. It counts the open connections of
// callers.
func (s *Server) ConnState(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.metrics.connections.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.metrics.connections.Add(-1)
	}
}

// closesConnections reports whether responses close their connections: while the entry stops, so that
// callers move to other entries, and while so many connections are open that idle ones could use up
// the descriptors that requests need.
func (s *Server) closesConnections() bool {
	limit := int64(s.config.MaxKeptConnections)
	return s.keepAlivesDisabled.Load() || limit > 0 && s.metrics.connections.Load() > limit
}
