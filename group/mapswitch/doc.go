// Package mapswitch replaces the expert map of a group of ranks such that every
// step runs with the same map on all ranks.
//
// It is a two-phase commit whose outcome is committed in the replicated log: a
// rank's promise is its vote, and a rank that has voted waits for the outcome,
// which it can read from any control replica. The prepare phase precedes the
// vote and only loads the weights.
//
// Two state machines take part. The Coordinator runs on the leader of the
// replicated log. A Rank runs in the agent of each rank; the engine asks it
// before each step whether it may run the step, and with which map. The log
// holds one Record per group, which only Record.Apply changes.
//
//  1. Begin is committed in the log: a new epoch is pending.
//  2. Prepare is sent to all ranks. Each loads the weights and answers Prepared
//     with the step it is at.
//  3. Promise{S} is sent to all ranks, S being far enough ahead. A rank that is
//     not yet at S promises not to run S or any later step until the pending
//     epoch is decided.
//  4. Once all have promised, Decide{commit, S} is committed in the log; if not
//     all promise within the window, Decide{abort} is.
//  5. Decided carries the record to all ranks. A rank that reaches S before the
//     decision holds and asks any control replica for the record.
//
// The distance to S does not affect safety. With Options.MaxLead it is learned, so
// that ranks that run on until S, and acknowledge the decision only once they are ready
// to apply it, do not have to wait there.
//
// The safety of a step depends on the following points, each of which is a check
// in the code:
//
//   - a rank runs no step at or beyond its promise while the epoch is pending;
//   - the coordinator sends only what the log has committed;
//   - a coordinator that takes over commits Adopt first, which makes the log
//     refuse every later entry of its predecessor, and asks for new promises;
//   - a rank refuses messages whose fencing token is lower than the highest it
//     has seen, whether or not its engine checks tokens itself;
//   - a restarted rank runs nothing before it has read the record from a
//     quorum, from which it also learns the highest token;
//   - if that record shows a pending epoch, the previous process may have
//     promised a step, so nothing runs until the epoch is decided or a new
//     promise is made;
//   - a rank promises only steps beyond the one its engine is at, because a
//     previous process may have allowed that one.
//
// All times are durations since an arbitrary start of a monotonic clock. The
// state machines hold no clock, goroutine, socket or file. Two processes must
// never serve the same rank at once; the agent's listening address ensures that,
// since only one process can bind it.
package mapswitch
