// Package workspace implements admission control for the requests of several workspaces.
//
// An Admission shares a number of slots (requests in flight) among workspaces. Each
// workspace has a guaranteed share of the slots and a share of the rest that is weighted
// by its importance. Slots that a workspace does not use are lent to others, as long as
// they can be reclaimed within Config.ReclaimWithin. Requests that cannot start wait in a
// bounded queue per workspace, ordered by the priorities of that workspace. A request
// that cannot meet its deadline, or for which no queue has room, is refused immediately:
// it has not run, and its Retry-After is derived from the measured drain rate.
//
// Times are durations since an arbitrary start and must not go backwards. An Admission
// performs no I/O, reads no clock and is not safe for concurrent use; Gate adds the lock
// and the timer. Memory and the cost of a decision grow with the number of active
// workspaces, not with the number of configured ones.
package workspace
