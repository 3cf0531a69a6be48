// Package direct sends requests to endpoints over HTTP/1.1, without an agent in
// between, and without doing anything that was not asked for: it repeats no
// request, adds no header but the ones that frame the body, and never takes
// bytes that belong to another request for an answer.
//
// A Client keeps connections to each endpoint and uses one for one request at a
// time. A connection is kept only after an answer that was whole, framed by a
// length or in chunks, and followed by nothing. Before it is used again it must
// be silent: what an endpoint sends unasked, or its end of the connection, is
// noticed there and not taken for the next answer.
//
// Errors are faults. Of kind Unavailable: the endpoint has not got the request.
// Of kind Unknown: it may have got it, and may have run it.
//
// Lock order: Client.mu is a leaf.
package direct
