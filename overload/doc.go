// Package overload decides which requests of a pool are shed when all entries together get more
// than the pool can serve. The decision is by level (site.Level), lower levels first, and is the
// same at all entries.
//
// Each entry counts its own demand (Counter) and publishes it to one host of the pool, which adds up
// what all entries have published lately (Sums). From the same sums each entry derives the same
// fraction of each level to admit (Decide); Controller readmits levels only after they have fitted
// for a while, and estimates when a shed request may be sent again.
//
// Times are durations since an arbitrary start. The package performs no I/O and reads no clock.
package overload
