package replicas

import (
	"slices"
	"sync"

	"github.com/lilackeel/lilackeel/fault"
)

// Cursor holds the addresses of control replicas, host:port, and selects the one to
// call next. It is safe for concurrent use; no other lock is acquired while its lock
// is held.
type Cursor struct {
	mu      sync.Mutex
	addrs   []string
	current int
}

// NewCursor returns a cursor that starts with the replica at the given index.
func NewCursor(addrs []string, first int) *Cursor {
	return &Cursor{addrs: slices.Clone(addrs), current: first}
}

// Set replaces the addresses. An empty list is ignored.
func (c *Cursor) Set(addrs []string) {
	if len(addrs) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Equal(c.addrs, addrs) {
		return
	}
	c.addrs = slices.Clone(addrs)
	c.current %= len(addrs)
}

// Len returns the number of known replicas.
func (c *Cursor) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.addrs)
}

// Current returns the index and the address of the replica to call; the address is
// empty if none is known.
func (c *Cursor) Current() (index int, addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addrs) == 0 {
		return 0, ""
	}
	return c.current, c.addrs[c.current]
}

// Advance moves on from the replica at index from, whose call has failed with err, to the
// leader that the fault names or else to the next replica. It does nothing if the cursor
// has moved on already. The leader need not be a known replica: the settings may name only
// some of the replicas, and the others are learnt only from the leader.
func (c *Cursor) Advance(from int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != from {
		return
	}
	c.current = (from + 1) % len(c.addrs)
	leader, known := fault.LeaderAddr(err)
	if !known || leader == c.addrs[from] {
		return
	}
	if !slices.Contains(c.addrs, leader) {
		c.addrs = append(c.addrs, leader)
	}
	c.current = slices.Index(c.addrs, leader)
}
