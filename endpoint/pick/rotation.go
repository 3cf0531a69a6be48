package pick

import "github.com/lilackeel/lilackeel/endpoint/outlier"

// Rotation drops ejected endpoints. It drops endpoints in slow start at random,
// according to their current share of traffic.
type Rotation struct {
	// Outliers provides the share of traffic of each endpoint.
	Outliers *outlier.Detector
}

// Keep implements Filter.
func (f Rotation) Keep(q *Query, c *Candidate) bool {
	share := f.Outliers.Share(q.Now, c.Endpoint.ID)
	if share >= 1 {
		return true
	}
	return share > 0 && q.Rand.Float64() < share
}
