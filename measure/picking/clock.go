package picking

import (
	"time"

	"github.com/lilackeel/lilackeel/measure/eventqueue"
)

// clock is virtual time with a queue of events. Events at the same time run in
// the order in which they were set.
type clock struct {
	now   time.Duration
	queue eventqueue.Queue[func()]
}

// after runs f when d has passed.
func (c *clock) after(d time.Duration, f func()) { c.queue.Add(c.now+max(d, 0), f) }

// runUntil runs all events up to the given time.
func (c *clock) runUntil(end time.Duration) {
	for at, ok := c.queue.NextTime(); ok && at <= end; at, ok = c.queue.NextTime() {
		var run func()
		c.now, run = c.queue.Take()
		run()
	}
	c.now = end
}
