// Package direct sends requests to endpoints over HTTP/1.1 without an agent in between. It
// changes nothing in a request except the headers that frame the body, never retries, and
// never delivers bytes that belong to the response to another request.
//
// A Client keeps idle connections to each endpoint and uses each for one request at a time. A
// connection is kept only after a complete response that was framed by a length or by chunked
// encoding and was followed by no further bytes. Before reuse, the connection is checked: if
// it has received unexpected data or has been closed, it is discarded.
//
// A response that states neither a length nor chunks is complete only if the endpoint closed the
// connection in order. A connection that failed, even if the failure was reported to the write of
// the request's body, ends it with an error.
//
// Errors are faults. Kind Unavailable means that the endpoint did not receive the request;
// kind Unknown means that it may have received and run it.
//
// Lock order: no other lock is acquired while Client.mu is held.
package direct
