// Package control implements the daemon of a control replica. It assembles the replicated log
// (package replica/server), the replicated state (package contract), the feed of the accepted
// configuration (package feed) and the Control service for operators, entries and agents.
//
// What only one replica may do at a time belongs to the leadership of a term, which the leader
// starts when it is elected and ends as soon as it learns that it no longer leads. The
// leadership holds the agents' leases, the log time and the drivers that carry out intents. A
// decision of the leader takes effect only once the log has committed it or, for an order to an
// agent, once the log has issued the fencing token of the order; so a leader that does not yet
// know that its term is over cannot change anything.
//
// Lock order: Daemon.mu, then leadership.mu, then the locks of the packages below. No lock is
// held during a proposal or a call to another process.
package control
