// Package rankhost runs beside the engine of one rank of a group and ensures that the rank runs
// each step with the group's one expert map. Its engine can be ordered to hold a step and to switch
// maps as a step begins.
//
// The engine does not ask for permission before each step, unlike those that package agent/ranks
// serves. Instead, before a mapswitch.Rank promises not to run a step, the engine is ordered to
// hold that step. The hold ends only after the decision is known and, if the switch was committed,
// the engine is armed with the new map. A group runs a step only when all of its ranks do, so the
// step at which maps are switched begins only after every rank is armed, even if messages or orders
// are lost, delayed or duplicated.
//
// The outcome of an order is taken only from the engine's status: an order without an answer may
// have been carried out, or may still be carried out later. The Controller compares the status with
// the decided record and repeatedly names one order that brings the engine closer to it. A late
// order does no harm: one for a step that has begun is refused by the engine, a hold that is no
// longer needed is seen in the status and released, and a release that is carried out seconds late
// cannot lift the hold of another promise, since each step is requested of an engine for one switch
// only.
//
// A decision is acknowledged only once the engine is armed. From the acknowledgements the
// coordinator learns how many steps ahead a switch has to be for the group not to wait at it. It
// begins no other switch before all of them have arrived.
//
// A group that fails forms again, with its first map and nothing prepared, armed or held. Each
// formation counts as a group with a name of its own.
//
// Lock order: Host.mu is a leaf lock; no call to an engine or a control replica is made while it is
// held.
package rankhost
