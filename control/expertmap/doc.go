// Package expertmap drives expert map switches on the leader. It runs one mapswitch.Coordinator
// per group of ranks; the records of the coordinators are committed in the replicated log, and
// agents pass their messages on to the ranks. Package mapwire defines the encoding of records
// and messages.
//
// [Driver] needs no lock: only the goroutine of Run accesses the coordinators.
package expertmap
