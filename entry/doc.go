// Package entry implements the daemon that terminates callers' HTTP connections. It admits a
// request, picks an endpoint, dispatches the call to the agent in front of that endpoint, retries
// it where that is allowed, and delivers the answer. A call that must not run twice is a claimed
// call: before its dispatch, the entry claims its idempotency key at the control replicas. Any
// other call is repeatable.
//
// Package call decides on the steps of a request; this package executes them. Every response of an
// entry is either the complete answer of one endpoint, or a typed error with one of the outcomes
// of package call.
//
// Locks: the directory, the tickets and the tables of package endpoint are read independently of
// one another. No lock is held while another one is acquired or during network calls.
package entry
