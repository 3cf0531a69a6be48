package outlier

import "math"

// source is where samples come from.
type source int

const (
	fromCalls source = iota
	fromReports
	// sources is the number of sources.
	sources
)

func sourceOf(s Sample) source {
	if s.FromReport {
		return fromReports
	}
	return fromCalls
}

// track holds the samples of one member from one source.
type track struct {
	// The open window.
	samples, failed, measured int
	logSum                    float64

	// The last closed window: the mean of the logarithm of the latency (of
	// nanoseconds), whether one was measured, and the share of failures.
	latency  float64
	timed    bool
	failures float64
	judged   bool
	// pending is true between the close of a window and its verdict.
	pending bool
	// strikes is the number of bad verdicts in a row.
	strikes int
}

// add takes a sample into the open window.
func (t *track) add(s Sample) {
	t.samples++
	if s.Failed {
		t.failed++
	}
	if s.Latency > 0 {
		t.measured++
		t.logSum += math.Log(float64(s.Latency))
	}
}

// closeWindow ends the window if it has enough samples. The mean is taken of
// logarithms, so that a few very long calls do not make an endpoint slow.
func (t *track) closeWindow(minSamples int) {
	if t.samples < minSamples {
		return
	}
	t.failures = float64(t.failed) / float64(t.samples)
	t.timed = t.measured*2 >= minSamples
	if t.timed {
		t.latency = t.logSum / float64(t.measured)
	}
	t.samples, t.failed, t.measured, t.logSum = 0, 0, 0, 0
	t.judged, t.pending = true, true
}
