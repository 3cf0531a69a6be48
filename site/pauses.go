package site

import (
	"time"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
)

// Pauses returns the pause that the streams of each pool are held to, by its name: the
// shortest that one of the routes promises.
func MaxGaps(routes []*fleetv1.Route) map[string]time.Duration {
	pauses := map[string]time.Duration{}
	for _, route := range routes {
		gap := time.Duration(route.GetGapMs()) * time.Millisecond
		if gap <= 0 {
			continue
		}
		for _, split := range route.GetSplits() {
			if held := pauses[split.GetPool()]; split.GetWeight() > 0 && (held == 0 || gap < held) {
				pauses[split.GetPool()] = gap
			}
		}
	}
	return pauses
}
