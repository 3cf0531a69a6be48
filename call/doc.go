// Package call implements the attempt, retry and claim logic of one request: which
// attempt may run, when to retry, when to stop, and what the caller is finally told.
//
// Every request ends in exactly one Outcome: Answered, NotRun or Unknown. A Repeatable
// drives a call that may run more than once (model drafts, reads and calls that a service
// contract marks as idempotent). An AtMostOnce drives a call that must run at most once:
// it is claimed at a quorum of control replicas before it is dispatched, and its result
// is recorded there. A Direct drives a call to endpoints that have no agent.
//
// An answer is the complete HTTP response of a call; a response is one message of a
// dispatch, of which an answer is assembled.
//
// All three are state machines without goroutines, sockets or clocks. For a Repeatable
// and an AtMostOnce, the driver performs the Action that the machine returned and reports
// the result by the method documented for its ActionKind, which returns the next Action.
// Only one Action is performed at a time, so the machines need no lock.
//
// Times are durations since an arbitrary start of a monotonic clock; the start must be
// the same for all calls of a process.
package call
