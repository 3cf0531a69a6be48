// Package agent implements the daemon that runs beside the endpoints of one host and controls access
// to them: every call and every order reaches an endpoint through its agent.
//
// Package gate decides what is admitted. This package does the I/O around it: it serves the gRPC
// service Agent, sends HTTP requests to the endpoints, announces them to the control replicas, follows
// the accepted configuration and reports load and cache events.
//
// # Concurrency
//
// Each dispatch and each order runs in the goroutine of its gRPC call; one goroutine per endpoint polls
// its load. They share a few tables, each guarded by one mutex. Mutexes are locked in this order:
//
//  1. orderTarget: one per endpoint, held while an order is carried out;
//  2. lockedGate: the gate, held for one decision;
//  3. announcer: whether the next announcement is a full one;
//  4. reportBuffer, loadedState, health, streamIDs, processRuns, controls: held while they are read or
//     changed; no other mutex is locked while one of these is held.
//
// No mutex is held while a message is sent to a caller, and only that of the orderTarget is held
// during a request to an endpoint.
//
// # Guarantees to callers
//
// Refused is sent only if the call has not run at the endpoint. End is sent only if the endpoint's
// answer is complete: it reached its Content-Length or its last chunk and, for an event stream of a
// model call, its terminal event. In all other cases Broken is sent.
package agent
