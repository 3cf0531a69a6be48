// Package contract implements the replicated state of lilackeel: the configuration that
// operators have accepted (intents, plans, workspaces, models, services, endpoints,
// policies), the leases of agents, the claims of calls that are not idempotent, and the
// decided expert maps.
//
// State is a deterministic state machine driven by the control log: Apply takes a
// committed command, and replicas that apply equal logs hold equal states. Times and ids
// are part of the commands; the package reads no clock, random source, file or socket.
//
// # Revisions
//
// Every accepted change of the configuration creates exactly one new revision. Revisions
// only increase; undoing a confirmed change takes a new intent. DeltaSince returns the
// changes from an older configuration to the current one.
//
// # Log time
//
// Each command carries the time that its leader proposes, in nanoseconds (the argument
// logTime of the Encode functions). Log time is the highest such time applied so far. A
// leader advances it from the state's log time with its own monotonic clock (LogClock),
// so that a step of the wall clock cannot expire a claim early. Log time does not advance
// while there is no leader.
//
// # Locking
//
// State has one RWMutex. Apply and Restore take the write lock, every other method the
// read lock; none calls outside the package while holding it. Returned messages are
// shared and immutable: a change replaces a message and never modifies it. Callers must
// not modify them either.
package contract
