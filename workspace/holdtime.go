package workspace

import "time"

// holdTimeGain is the weight of a new sample in the moving averages.
const holdTimeGain = 1.0 / 16

// holdTimeEstimate is a moving average of how long requests hold their slots.
type holdTimeEstimate struct {
	mean      float64 // seconds
	deviation float64 // mean absolute deviation, seconds
	samples   int
}

func (h *holdTimeEstimate) addSample(sample time.Duration) {
	value := sample.Seconds()
	h.samples++
	if h.samples == 1 {
		h.mean = value
		h.deviation = value / 2
		return
	}
	distance := value - h.mean
	h.mean += holdTimeGain * distance
	if distance < 0 {
		distance = -distance
	}
	h.deviation += holdTimeGain * (distance - h.deviation)
}

// optimistic returns the hold time of a fast but not unusual request: the mean less the
// deviation, and at least a quarter of the mean. Requests that start at once are judged
// by it, so that only those with no realistic chance to meet their deadline are refused.
func (h *holdTimeEstimate) optimistic() float64 { return max(h.mean-h.deviation, h.mean/4) }
