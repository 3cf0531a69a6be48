// Package memory limits what requests may occupy in a process together: their connections, heads and bodies.
package memory

import (
	"sync"
	"time"

	"github.com/lilackeel/lilackeel/fault"
)

const (
	// OrdinaryBytes is the size up to which a charge may use the whole budget: a connection, or the head of an
	// ordinary request. Small ones up to SmallBytes leave a part of it to these, and larger ones another part
	// to small ones.
	OrdinaryBytes = 16 << 10
	SmallBytes    = 64 << 10
	// ordinaryDivisor is the part of the budget that is left to ordinary charges, and smallDivisor the part
	// that is left to them and to small ones, as divisors.
	ordinaryDivisor = 8
	smallDivisor    = 4
	// ownerDivisor is the part of the budget that is closed to the large bodies of one owner, as a
	// divisor.
	ownerDivisor = 4
	// copies is how often a body is charged: the buffers of its connections may hold it again.
	copies = 2
	// minRetryAfter and maxRetryAfter limit the delay that refused callers are asked to wait.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// holdTimeWeight is the weight of the latest body in the average time for which bodies are held.
	holdTimeWeight = 0.1
)

// Budget limits the bytes of all requests in memory. Its zero value and nil have no limit.
type Budget struct {
	limit int64

	mu       sync.Mutex
	held     int64
	byOwner  map[string]int64 // large and assigned charges only
	holdTime time.Duration    // average for large bodies
}

// NewBudget returns a budget of a number of bytes; zero is no limit.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit, byOwner: map[string]int64{}} }

// Held returns the bytes that are charged now.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Charge is what one connection, head or body occupies of a budget.
type Charge struct {
	budget *Budget
	owner  string
	since  time.Time
	size   int64
	// assigned is set if the owner is accountable also for a small charge.
	assigned bool
}

// Begin returns an empty charge for a body of an owner, such as a workspace.
func (b *Budget) Begin(owner string) *Charge {
	return &Charge{budget: b, owner: owner, since: time.Now()}
}

// Resize charges for a body of the given size. A fault of kind Overloaded means that there is no
// room for it, and the charge stays as it is.
func (c *Charge) Resize(size int64) error {
	b := c.budget
	if b == nil || b.limit == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if size > c.size && !b.hasRoom(c, size) {
		return b.errNoRoom()
	}
	b.account(c, size)
	return nil
}

// Force charges for the given size whether or not there is room for it. It is for what is in memory already.
func (c *Charge) Force(size int64) {
	b := c.budget
	if b == nil || b.limit == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(c, size)
}

// Assign makes an owner accountable for the charge, whatever its size. A fault of kind Overloaded means that
// the charges of this owner leave no room for others, and the charge stays as it is.
func (c *Charge) Assign(owner string) error {
	b := c.budget
	if b == nil || b.limit == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byOwner[owner]+copies*c.size > b.limit-b.limit/ownerDivisor {
		return b.errNoRoom()
	}
	size := c.size
	b.account(c, 0)
	c.owner, c.assigned = owner, true
	b.account(c, size)
	return nil
}

// Unassign ends the accountability of the owner.
func (c *Charge) Unassign() {
	b := c.budget
	if b == nil || b.limit == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	size := c.size
	b.account(c, 0)
	c.owner, c.assigned = "", false
	b.account(c, size)
}

// errNoRoom returns the fault of a charge for which there is no room. The caller holds mu.
func (b *Budget) errNoRoom() error {
	return fault.New(fault.Overloaded, "not run: other requests leave no room for this one", "retry after the given time").
		RetryIn(min(max(b.holdTime, minRetryAfter), maxRetryAfter))
}

// Release gives back what is charged, if there is a charge.
func (c *Charge) Release() {
	if c == nil || c.budget == nil {
		return
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.size == 0 {
		return
	}
	if c.size > SmallBytes {
		b.holdTime += time.Duration(holdTimeWeight * float64(time.Since(c.since)-b.holdTime))
	}
	b.account(c, 0)
}

// hasRoom reports whether a charge may grow to size. The caller holds mu.
func (b *Budget) hasRoom(c *Charge, size int64) bool {
	held := b.held + copies*(size-c.size)
	switch {
	case size <= OrdinaryBytes:
		return held <= b.limit
	case size <= SmallBytes:
		return held <= b.limit-b.limit/ordinaryDivisor
	}
	owned := b.byOwner[c.owner] + copies*(size-c.ownedSize(c.size))
	return held <= b.limit-b.limit/smallDivisor && owned <= b.limit-b.limit/ownerDivisor
}

// account changes the size of a charge. The caller holds mu.
func (b *Budget) account(c *Charge, size int64) {
	b.held += copies * (size - c.size)
	b.byOwner[c.owner] += copies * (c.ownedSize(size) - c.ownedSize(c.size))
	if b.byOwner[c.owner] == 0 {
		delete(b.byOwner, c.owner)
	}
	c.size = size
}

// ownedSize returns what the owner of a charge is accountable for at a size.
func (c *Charge) ownedSize(size int64) int64 {
	if c.assigned {
		return size
	}
	return largeSize(size)
}

// largeSize returns the size of a body if it is not small, and zero otherwise.
func largeSize(size int64) int64 {
	if size <= SmallBytes {
		return 0
	}
	return size
}
