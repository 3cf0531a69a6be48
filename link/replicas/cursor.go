package replicas

import (
	"slices"
	"sync"

	"github.com/lilackeel/lilackeel/fault"
)

// Cursor knows the addresses of control replicas, host:port, and which of them to ask
// next. It is safe for concurrent use; its lock is a leaf.
type Cursor struct {
	mu      sync.Mutex
	addrs   []string
	current int
}

// NewCursor returns a cursor that begins with the replica of the given number.
func NewCursor(addrs []string, first int) *Cursor {
	return &Cursor{addrs: slices.Clone(addrs), current: first}
}

// Set replaces the addresses, unless there are none.
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

// Known returns how many replicas are known.
func (c *Cursor) Known() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.addrs)
}

// Present returns the number and the address of the replica to ask; the address is
// empty if none is known.
func (c *Cursor) Present() (number int, addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addrs) == 0 {
		return 0, ""
	}
	return c.current, c.addrs[c.current]
}

// MoveOn goes on from the replica of a number, which has answered with err: to the leader
// that the fault names, or to the next replica. The leader need not be one that was known:
// the settings name a few replicas, and the others are learned only from one that decides.
func (c *Cursor) MoveOn(from int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != from {
		return
	}
	c.current = (from + 1) % len(c.addrs)
	leader, named := fault.LeaderAddr(err)
	if !named || leader == c.addrs[from] {
		return
	}
	if !slices.Contains(c.addrs, leader) {
		c.addrs = append(c.addrs, leader)
	}
	c.current = slices.Index(c.addrs, leader)
}
