// Package feed distributes the accepted configuration from the control replicas
// to every daemon of the fleet, directly or through one relay per availability
// zone.
//
// A [Server] publishes a [Source]; a [Client] keeps a daemon's copy of it; a
// [Relay] republishes the copy of its client. Control replicas and relays
// therefore run the same server.
//
// Two invariants hold for every client. First, the configuration that a daemon
// applies never goes back to a lower revision, whichever sources it switches
// between, and also across restarts of the daemon: a client delivers no
// configuration until a quorum has confirmed, after the client's start, that no
// revision newer than the one it holds had been accepted. Second, the freshness
// of its configuration is never overstated: it is measured from the moment at
// which the client sent a ping, on the client's own monotonic clock, minus the
// age stated in the pong. No two clocks are compared, so a delayed, duplicated or
// reordered pong can only make the configuration look older than it is.
//
// The decisions (which messages to accept, when to leave a source, how fresh the
// configuration is) are made by [Follower], which takes the time as an argument
// and owns neither a socket nor a goroutine.
package feed
