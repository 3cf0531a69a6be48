package agent

import (
	"math/rand/v2"
	"time"
)

// clockRange is the upper bound of the random start of a clock, in nanoseconds: 73 years.
const clockRange = int64(1) << 61

// clock is the agent's own monotonic clock; a ticket is a reading of it. It starts at a random value,
// so that a ticket of an earlier incarnation is very unlikely to look recent to this one.
type clock struct {
	started time.Time
	start   time.Duration
}

func newClock() *clock {
	return &clock{started: time.Now(), start: time.Duration(1 + rand.Int64N(clockRange))}
}

// now returns the current reading of the clock.
func (c *clock) now() time.Duration { return c.at(time.Now()) }

// at returns the reading of the clock at t, which must have a monotonic clock reading.
func (c *clock) at(t time.Time) time.Duration { return c.start + t.Sub(c.started) }

// incarnation identifies one run of the agent's process.
type incarnation uint64

// newIncarnation returns a random non-zero number, unique to this run of the process.
func newIncarnation() incarnation { return incarnation(rand.Uint64() | 1) }
