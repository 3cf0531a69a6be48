// Package overload decides which requests of a pool are shed when all entries together get more
// than the pool can serve. The decision is by level (site.Level), lower levels first, and is the
// same at all entries.
//
// The decision is enforced by the number of slots that each entry uses: its share of the capacity is
// its share of the demand that is admitted, so that an entry with only lower-priority requests
// leaves its slots to the others. Which requests get these slots, the queue of the entry decides
// (workspace.Config.Levels). Shedding each request by a draw would serve as many requests, but fewer
// on time: those that are shed come back late and take the slots that others leave.
//
// Each entry counts its own demand (Counter) and publishes it to one host of the pool, which adds up
// what all entries have published lately (Sums). From the same sums each entry derives the same
// fraction of each level to admit (Decide); Controller readmits levels only after they have fitted
// for a while, and estimates when a shed request may be sent again.
//
// Times are durations since an arbitrary start. The package performs no I/O and reads no clock.
package overload
