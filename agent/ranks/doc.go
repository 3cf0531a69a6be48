// Package ranks grants steps to the ranks that an agent serves, so that all ranks of a group use the
// same expert map in the same step.
//
// Each rank has one mapswitch.Rank, the state machine of the protocol that switches maps. This package
// does the I/O around it: it receives the coordinator's messages from Agent.Group, grants steps to the
// engines in advance, reads the decided record from a quorum, orders engines to load the weights of a
// map, and reports the token counts of their experts.
//
// # Grants and promises
//
// A granted step counts as the rank's position at once, whether or not the engine has run it: a promise
// is only given for a step beyond all granted steps. A grant therefore never has to be revoked, and an
// engine whose agent has died can only run the steps that were granted. After a restart, the agent
// learns the highest granted step from the engine's first request, and promises nothing before it.
//
// # Locking
//
// The mutex of Ranks guards its drivers, its record readers and the messages to be reported. It is not
// held during requests to engines or control replicas.
package ranks
