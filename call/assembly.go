package call

import (
	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
)

// assembly assembles one answer from the responses of its attempts. Only responses of the
// current attempt count, and only in order.
type assembly struct {
	requestID   string
	attempt     uint32
	incarnation uint64
	// headReceived is true once the current attempt has sent its head.
	headReceived bool
	// head is the head of the answer; that of a resumed attempt must match it.
	head *agentv1.Head
	// received is the number of body bytes received so far without a gap.
	received uint64
	counts   Counts
}

// beginAttempt starts the next attempt. The bytes received so far are kept.
func (a *assembly) beginAttempt(incarnation uint64) {
	a.attempt++
	a.incarnation = incarnation
	a.headReceived = false
	a.counts.Attempts++
}

// reset drops the head and the bytes of earlier attempts.
func (a *assembly) reset() {
	a.head = nil
	a.received = 0
}

// isCurrent reports whether a response belongs to the current attempt. Responses that do
// not are counted and must be dropped. A refusal may come from another incarnation,
// because an agent refuses requests that were intended for its predecessor.
func (a *assembly) isCurrent(r *agentv1.DispatchResponse) bool {
	current := r.GetRequestId() == a.requestID && r.GetAttempt() == a.attempt && a.attempt > 0
	if current && r.GetIncarnation() != a.incarnation {
		current = r.GetRefused() != nil
	}
	if !current {
		a.counts.Foreign++
	}
	return current
}

// open handles the head of the current attempt. It returns false if the head does not
// match that of the answer received so far.
func (a *assembly) open(head *agentv1.Head) bool {
	if a.headReceived {
		a.counts.Duplicates++
		return true
	}
	a.headReceived = true
	if a.head == nil {
		a.head = head
		return true
	}
	return a.head.GetStatus() == head.GetStatus() && a.head.GetStreamId() == head.GetStreamId()
}

// take returns the part of a chunk that continues the answer. It returns false if the
// head or bytes before the chunk are missing.
func (a *assembly) take(c *agentv1.Chunk) ([]byte, bool) {
	if !a.headReceived || c.GetOffset() > a.received {
		return nil, false
	}
	overlap := a.received - c.GetOffset()
	if overlap >= uint64(len(c.GetData())) {
		a.counts.Duplicates++
		return nil, true
	}
	fresh := c.GetData()[overlap:]
	a.received += uint64(len(fresh))
	return fresh, true
}

// isComplete reports whether the answer is complete at this end.
func (a *assembly) isComplete(end *agentv1.End) bool {
	return a.headReceived && end.GetLength() == a.received
}

// buffer holds the parts of an answer that have not been written to the caller.
type buffer struct {
	parts [][]byte
	bytes int
}

func (b *buffer) add(part []byte) {
	if len(part) == 0 {
		return
	}
	b.parts = append(b.parts, part)
	b.bytes += len(part)
}

// drain returns the parts and empties the buffer.
func (b *buffer) drain() [][]byte {
	parts := b.parts
	b.parts, b.bytes = nil, 0
	return parts
}
