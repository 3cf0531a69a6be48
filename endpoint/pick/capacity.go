package pick

// Capacity drops endpoints that are full: a call would only queue there.
type Capacity struct {
	// Queue is the number of calls that may wait at an endpoint, as a share of
	// its slots.
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
