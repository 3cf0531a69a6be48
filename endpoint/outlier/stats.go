package outlier

import "math"

// source is the origin of a sample.
type source int

const (
	fromCalls source = iota
	fromReports
	// sources is the number of source values.
	sources
)

func sourceOf(s Sample) source {
	if s.FromReport {
		return fromReports
	}
	return fromCalls
}

// sampleStats aggregates the samples of one member from one source.
type sampleStats struct {
	// The open window.
	samples, failed, measured int
	logSum                    float64

	// The last closed window: the mean logarithm of the latency in nanoseconds,
	// whether the latency was measured, the share of failures, and whether any
	// window has been closed.
	latency      float64
	hasLatency   bool
	failureShare float64
	hasWindow    bool
	// pending is true from the close of a window until its evaluation.
	pending bool
	// consecutiveBad is the number of consecutive bad verdicts.
	consecutiveBad int
}

// add adds a sample to the open window.
func (s *sampleStats) add(sample Sample) {
	s.samples++
	if sample.Failed {
		s.failed++
	}
	if sample.Latency > 0 {
		s.measured++
		s.logSum += math.Log(float64(sample.Latency))
	}
}

// closeWindow closes the open window if it has enough samples. The mean is over
// logarithms, so that a few very long calls do not make an endpoint appear slow.
func (s *sampleStats) closeWindow(minSamples int) {
	if s.samples < minSamples {
		return
	}
	s.failureShare = float64(s.failed) / float64(s.samples)
	s.hasLatency = s.measured*2 >= minSamples
	if s.hasLatency {
		s.latency = s.logSum / float64(s.measured)
	}
	s.samples, s.failed, s.measured, s.logSum = 0, 0, 0, 0
	s.hasWindow, s.pending = true, true
}
