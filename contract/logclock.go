package contract

import "time"

// LogClock computes the log time of a leader's commands. It advances from the state's log
// time at the leader's election with the leader's monotonic clock. It is immutable and safe
// for concurrent use.
type LogClock struct {
	// base is the log time at started, in nanoseconds.
	base    int64
	started time.Time
}

// NewLogClock returns a leader's clock. logTime, in nanoseconds, is State.LogTime after the
// first command of its term was applied; now must have a monotonic clock reading.
func NewLogClock(logTime int64, now time.Time) LogClock {
	return LogClock{base: logTime, started: now}
}

// At returns the log time, in nanoseconds, of a command proposed at now. It is never lower
// than the log time at the leader's election.
func (c LogClock) At(now time.Time) int64 {
	elapsed := now.Sub(c.started)
	if elapsed < 0 {
		return c.base
	}
	return c.base + int64(elapsed)
}
