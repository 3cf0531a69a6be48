package balancing

import (
	"fmt"
	"io"
)

// Aims: the largest acceptable ratios of a policy's result to a baseline's.
const (
	aimNawrasSkew  = 1.05 // net gain, Nawras: p99 skew to that of greedy every minute
	aimNawrasBytes = 0.2  // net gain, Nawras: bytes loaded to those of greedy every minute
	aimHaneulBytes = 2.0  // net gain, Haneul: bytes loaded to those of the offline plan
	aimHaneulSkew  = 1.0  // net gain, Haneul: p99 skew to that of threshold
)

// writeAims writes a table that compares the results with the aims, one row for
// each size and workload.
func writeAims(w io.Writer, results []Result) {
	_, _ = fmt.Fprintf(w, "## Aims\n\nRatios, with the aim in the heading; what misses its aim is marked.\n\n"+
		"| size | workload | Nawras p99 over greedy's ≤ %.2f | Nawras bytes over greedy's ≤ %.2f | Haneul bytes over offline's ≤ %.1f | Haneul p99 over threshold's ≤ %.2f | switches on noise = 0 |\n|---|---|---|---|---|---|---|\n",
		aimNawrasSkew, aimNawrasBytes, aimHaneulBytes, aimHaneulSkew)
	for i := 0; i < len(results); {
		by := map[string]Result{}
		first := results[i]
		for ; i < len(results) && results[i].Workload == first.Workload && results[i].Size == first.Size; i++ {
			by[results[i].Policy] = results[i]
		}
		writeAimsRow(w, first, by)
	}
}

// writeAimsRow writes the row of one size and workload; results are keyed by
// policy. Switches on noise are reported only for workloads that need no
// rebalancing: the offline plan never switches and the skew of the initial map
// stays below thresholdSkew.
func writeAimsRow(w io.Writer, first Result, by map[string]Result) {
	greedy, nawras := by[policyGreedy], by[policyNawras]
	haneul, offline := by[policyHaneul], by[policyOfflineHaneul]
	noise := "–"
	if by[policyOfflineNawras].Switches == 0 && by[policyNever].SkewP99 < thresholdSkew {
		noise = fmt.Sprint(nawras.Switches + haneul.Switches)
		if nawras.Switches+haneul.Switches > 0 {
			noise += " **missed**"
		}
	}
	_, _ = fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s | %s |\n", first.Size, first.Workload,
		ratio(nawras.SkewP99, greedy.SkewP99, aimNawrasSkew),
		ratio(nawras.Gigabytes, greedy.Gigabytes, aimNawrasBytes),
		ratio(haneul.Gigabytes, offline.Gigabytes, aimHaneulBytes),
		ratio(haneul.SkewP99, by[policyThreshold].SkewP99, aimHaneulSkew), noise)
}

// ratio formats value divided by base and marks it if it exceeds the aim.
func ratio(value, base, aim float64) string {
	if base == 0 && value == 0 {
		return "0 of 0"
	}
	if base == 0 {
		return fmt.Sprintf("%.1f of 0 **missed**", value)
	}
	text := fmt.Sprintf("%.3f", value/base)
	if value > base*aim*(1+1e-9) {
		text += " **missed**"
	}
	return text
}
