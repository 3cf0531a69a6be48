// Package ranks keeps the ranks that an agent serves to one expert map per step.
//
// Beside each rank runs one mapswitch.Rank. This package drives them: it takes
// the coordinator's messages from Agent.Group, grants steps to the engines ahead
// of time, reads the decided record from a quorum, gives engines the orders to
// load the weights of a map, and reports what their experts have handled.
//
// # What a grant binds
//
// A granted step counts as the rank's position at once, whether or not the
// engine has run it: a promise is only given for a step beyond all that were
// granted. A granted step therefore never has to be taken back, and an engine
// that outlives its agent can only run what was granted. A new process of the
// agent learns the highest granted step from the engine's first request, before
// which it promises nothing.
//
// # Locks
//
// Ranks has one lock, for its machines and what waits to be reported. Neither an
// engine nor a control replica is asked while it is held.
package ranks
