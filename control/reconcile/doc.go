// Package reconcile decides which orders to send to endpoints so that their state converges to
// the configuration that operators have confirmed.
//
// A [Reconciler] belongs to one term of one leader. It performs no I/O and reads no clock: it
// is given the time, the changes that the replicated state still requires and the outcomes of
// earlier actions, and returns the actions to start. Times are monotonic durations since an
// arbitrary start. It is not safe for concurrent use.
//
// # Interrupted orders
//
// An order whose response was lost may have been carried out, or may still be: a frozen agent
// finds it in its socket buffer when it resumes. An endpoint is therefore read back before it
// gets another order, and the result counts only if the agent had by then seen a fencing token
// newer than that of the lost order, which makes it reject that order from then on. A new
// leader does not know its predecessor's orders, so it first treats every endpoint in this way.
//
// # Loads
//
// Models and adapters are loaded through a rate-limited weight store, and an endpoint has
// little serving capacity while it loads. Limits bound the number of concurrent loads, in the
// fleet and in each pool. An interrupted load counts until its endpoint has been read back.
package reconcile
