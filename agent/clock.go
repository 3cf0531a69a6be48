package agent

import (
	"math/rand/v2"
	"time"
)

// clockRange bounds the random start of a clock, in nanoseconds: 73 years.
const clockRange = int64(1) << 61

// clock is the agent's own monotonic clock, in which tickets are issued. It
// starts at a random time, so that a ticket of an earlier incarnation almost
// never falls among the recent times of this one.
type clock struct {
	started time.Time
	start   time.Duration
}

func newClock() *clock {
	return &clock{started: time.Now(), start: time.Duration(1 + rand.Int64N(clockRange))}
}

// now returns the present time of the clock.
func (c *clock) now() time.Duration { return c.at(time.Now()) }

// at returns the time of the clock at t, which must have a monotonic reading.
func (c *clock) at(t time.Time) time.Duration { return c.start + t.Sub(c.started) }

// incarnation names one start of the agent's process.
type incarnation uint64

// newIncarnation returns a number that no other start of an agent has.
func newIncarnation() incarnation { return incarnation(rand.Uint64() | 1) }
