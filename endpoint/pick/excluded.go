package pick

import "slices"

// Excluded drops endpoints that have already been tried for the call or that the
// request does not allow.
type Excluded struct{}

// Keep implements Filter.
func (Excluded) Keep(q *Query, c *Candidate) bool {
	if q.Allow != nil && !q.Allow(c.Endpoint) {
		return false
	}
	return !slices.Contains(q.Exclude, c.Endpoint.ID)
}
