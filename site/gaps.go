package site

import (
	"time"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
)

// MaxGaps returns, by pool name, the maximum gap between events of the pool's streams: the shortest
// one promised by the routes that send requests to the pool.
func MaxGaps(routes []*fleetv1.Route) map[string]time.Duration {
	gaps := map[string]time.Duration{}
	for _, route := range routes {
		gap := time.Duration(route.GetGapMs()) * time.Millisecond
		if gap <= 0 {
			continue
		}
		for _, split := range route.GetSplits() {
			if current := gaps[split.GetPool()]; split.GetWeight() > 0 && (current == 0 || gap < current) {
				gaps[split.GetPool()] = gap
			}
		}
	}
	return gaps
}
