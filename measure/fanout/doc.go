// Package fanout measures the cost of distributing the accepted configuration
// from the control replicas to all daemons: bytes and CPU time per daemon, per
// change and per idle second, with and without relays; the time until a change is
// applied; the time a daemon takes to catch up; the size of the state; and the
// cost of lease renewals. All daemons run in this process and use gRPC over
// loopback.
//
// CPU times are those of the whole process, that is of the publisher, the relays
// and all daemons together. Bytes are counted on the connections to the
// publisher, in both directions, below gRPC and above TCP.
package fanout
