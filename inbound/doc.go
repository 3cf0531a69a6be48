// Package inbound bounds what the clients of a listener may hold of the process: connections, the memory of
// request heads, and time. All HTTP listeners are served through it.
//
// A head is charged to the memory of the process line by line as it is read, before net/http parses it, and
// until its response has ended. What exceeds a limit is refused as not run, or its connection is closed.
// Connections on which no request is being served make room for others, the oldest first; a request is being served
// once its body has arrived.
//
// Lock order: Resources.mu before conn.mu. No lock is held while a connection is read or written.
package inbound
