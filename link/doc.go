// Package link provides the connections between the processes of lilackeel:
// mutual TLS whose keys are reloaded when their files change, keepalives that
// detect silent network partitions, faults that keep their kind, message, remedy
// and retry-after across gRPC, a pool of client connections, and calls that are
// repeated on a second connection while lost packets delay the first.
//
// Without TLS a connection is allowed between loopback addresses only, unless
// -insecure is set. With TLS both sides must present a certificate issued by a
// common authority.
//
// If a client call fails and its peer has not returned a fault, the kind of the
// fault depends on whether the request was ever written to a connection: if not,
// it is usually Unavailable (the peer has not run the call); otherwise it is
// Unknown.
//
// Lock order: Hedger.mu before Pool.mu.
package link
