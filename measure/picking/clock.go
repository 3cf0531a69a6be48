package picking

import (
	"time"

	"github.com/lilackeel/lilackeel/measure/eventqueue"
)

// clock is a virtual clock with an event queue. Events at the same time run in the
// order in which they were scheduled.
type clock struct {
	now   time.Duration
	queue eventqueue.Queue[func()]
}

// after schedules f to run after d.
func (c *clock) after(d time.Duration, f func()) { c.queue.Add(c.now+max(d, 0), f) }

// runUntil advances the clock to end and runs all events up to then.
func (c *clock) runUntil(end time.Duration) {
	for at, ok := c.queue.NextTime(); ok && at <= end; at, ok = c.queue.NextTime() {
		var run func()
		c.now, run = c.queue.Take()
		run()
	}
	c.now = end
}
