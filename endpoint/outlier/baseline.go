package outlier

import (
	"math"
	"slices"
)

const (
	// minPeers is the least number of members with a measured latency for a
	// verdict on latency.
	minPeers = 3
	// deviationScale makes a median absolute deviation (MAD) into the standard
	// deviation of a normal distribution.
	deviationScale = 1.4826
)

// norm is what is usual in a peer set for the samples of a source.
type norm struct {
	// latency is the median of the members' log latency, spread its standard
	// deviation, timed the number of members that have one.
	latency, spread float64
	timed           int
	// failures is the median share of failures.
	failures float64
}

// norm computes the norm over the last windows of all members.
func (s *peerSet) norm(from source) norm {
	var latencies, failures []float64
	for _, m := range s.members {
		t := &m.tracks[from]
		if !t.judged {
			continue
		}
		failures = append(failures, t.failures)
		if t.timed {
			latencies = append(latencies, t.latency)
		}
	}
	n := norm{timed: len(latencies), latency: median(latencies), failures: median(failures)}
	for i, v := range latencies {
		latencies[i] = math.Abs(v - n.latency)
	}
	n.spread = deviationScale * median(latencies)
	return n
}

// median sorts the values and returns their median; 0 for none.
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
