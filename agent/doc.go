// Package agent assembles the daemon that runs beside the endpoints of one host
// and gates them: every call and every order reaches an endpoint through it.
//
// The decisions are those of package gate. This package drives them: it serves
// the gRPC service Agent, speaks HTTP to the endpoints, announces them to the
// control replicas, follows the accepted configuration and reports load and
// cache events.
//
// # Work and locks
//
// Each dispatch and each order runs in the goroutine of its gRPC call; one
// goroutine per endpoint polls its load. They share a few tables, each behind
// one lock. The order in which locks are taken is:
//
//  1. orderTarget: one lock per endpoint, held while an order is carried out;
//  2. lockedGate: the gate, held for one decision;
//  3. announcer: whether the next announcement is a full one;
//  4. reportBuffer, loaded, health, streamIDs, controls: held while they are read or changed,
//     and nothing else is locked meanwhile.
//
// No lock is held while a message is sent to a caller, and only the first is
// held while an endpoint is asked.
//
// # What a caller may rely on
//
// Refused is sent only if the endpoint was never asked. End is sent only if the
// endpoint's answer came to its own end: its Content-Length or its last chunk,
// and, for an event stream of a model call, its terminal event. Anything else
// is Broken.
package agent
