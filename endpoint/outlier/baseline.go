package outlier

import (
	"math"
	"slices"
)

const (
	// minPeers is the minimum number of members with a measured latency that is
	// required for a verdict on latency.
	minPeers = 3
	// deviationScale converts a median absolute deviation (MAD) to the standard
	// deviation of a normal distribution.
	deviationScale = 1.4826
)

// baseline describes the typical member of a peer set, for samples of one source.
type baseline struct {
	// latency is the median of the members' log latencies, stdDev their standard
	// deviation, timedMembers the number of members with a measured latency.
	latency, stdDev float64
	timedMembers    int
	// failureShare is the median share of failures.
	failureShare float64
}

// baseline computes the baseline from the last windows of all members.
func (s *peerSet) baseline(from source) baseline {
	var latencies, failures []float64
	for _, m := range s.members {
		t := &m.stats[from]
		if !t.hasWindow {
			continue
		}
		failures = append(failures, t.failureShare)
		if t.hasLatency {
			latencies = append(latencies, t.latency)
		}
	}
	base := baseline{timedMembers: len(latencies), latency: median(latencies), failureShare: median(failures)}
	for i, v := range latencies {
		latencies[i] = math.Abs(v - base.latency)
	}
	base.stdDev = deviationScale * median(latencies)
	return base
}

// median sorts the values and returns their median; 0 if there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}
