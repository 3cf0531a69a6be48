package pick

import "time"

// Zone scores the network delay between the entry and the endpoint.
type Zone struct {
	// CrossZoneRTT is the additional round-trip time to another availability zone.
	CrossZoneRTT time.Duration
}

// Phase implements Scorer.
func (Zone) Phase() Phase { return BeforeFirstToken }

// Cost implements Scorer.
func (s Zone) Cost(q *Query, c *Candidate) time.Duration {
	delay := q.PathDelays[c.Endpoint.Zone]
	if q.Zone == "" || q.Zone == c.Endpoint.Zone {
		return delay
	}
	return s.CrossZoneRTT + delay
}
