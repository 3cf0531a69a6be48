package pick

// Capacity drops endpoints that are full, where another call would only queue.
type Capacity struct {
	// QueueRatio is the number of calls that may wait at an endpoint, as a
	// fraction of its slots.
	QueueRatio float64
}

// Keep implements Filter.
func (f Capacity) Keep(_ *Query, c *Candidate) bool {
	slots := float64(c.Endpoint.Slots)
	if slots <= 0 {
		return true
	}
	return c.Load.Running < slots*(1+f.QueueRatio)
}
