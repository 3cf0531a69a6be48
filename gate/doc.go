// Package gate makes the admission decisions of an agent: which dispatches may
// reach an endpoint, what the outcome of a claimed call is, and which orders
// may reach an endpoint.
//
// The package does no I/O and reads no clock. Time is a time.Duration on the
// agent's own monotonic clock, whose zero is arbitrary but fixed for one
// incarnation of the agent. A Gate is not safe for concurrent use: the agent
// guards it by one mutex and holds that mutex for one decision at a time.
//
// # Guarantees of a refusal
//
// A refused dispatch never reaches an endpoint. A refused claim is closed as
// well: the same claim id is never admitted later, so that a delayed duplicate
// of a refused dispatch cannot run after its sender has reported "not run".
//
// # Bounded memory
//
// The gate remembers a bounded number of claims. A claim may be evicted only
// once it has ended and its ticket has left the admission window, so that an
// evicted claim cannot be admitted again. The latest ticket of an evicted claim
// that had been started is kept as the horizon: the state of a claim at or
// before the horizon is reported as unknown, never as not run. When every
// remembered claim is still needed, the gate raises its floor instead: unknown
// claims with tickets at or before the floor are refused.
package gate
