package fairness

import (
	"math"
	"slices"
	"time"
)

// quantile returns the q-quantile by the nearest-rank method, or NaN if there are
// no values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	rank := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[max(rank, 0)]
}

// latencies returns the latencies of the selected requests.
func latencies(records []*record, include func(*record) bool) []float64 {
	var values []float64
	for _, r := range records {
		if include(r) {
			values = append(values, r.latency())
		}
	}
	return values
}

// fraction returns the fraction of the requests in population that are also in
// subset.
func fraction(records []*record, population, subset func(*record) bool) float64 {
	all, matching := 0, 0
	for _, r := range records {
		if !population(r) {
			continue
		}
		all++
		if subset(r) {
			matching++
		}
	}
	return float64(matching) / float64(all)
}

// slotSeconds returns the total time that the selected requests held slots between
// from and to, in seconds.
func slotSeconds(records []*record, from, to time.Duration, include func(*record) bool) float64 {
	total := 0.0
	for _, r := range records {
		if r.ran && include(r) {
			total += max(min(r.ended, to)-max(r.started, from), 0).Seconds()
		}
	}
	return total
}

func allRequests(*record) bool { return true }

// inWorkspace returns a filter for the requests of one workspace.
func inWorkspace(name string) func(*record) bool {
	return func(r *record) bool { return r.workspace == name }
}
