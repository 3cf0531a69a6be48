package pick

import "time"

// Zone weighs the way from the entry to the endpoint.
type Zone struct {
	// OtherZone is the added round trip to another availability zone.
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
