package picking

import (
	"fmt"
	"io"
	"time"
)

// table writes a Markdown table.
type table struct {
	w       io.Writer
	columns []string
}

func newTable(w io.Writer, columns ...string) *table {
	t := &table{w: w, columns: columns}
	t.row(columns...)
	separator := make([]string, len(columns))
	for i := range separator {
		separator[i] = "---:"
	}
	separator[0] = "---"
	t.row(separator...)
	return t
}

func (t *table) row(cells ...string) {
	for _, cell := range cells {
		fmt.Fprintf(t.w, "| %s ", cell)
	}
	fmt.Fprintln(t.w, "|")
}

// writeComparison writes a table for each scenario. The jobs must be grouped by
// scenario.
func writeComparison(w io.Writer, jobs []*job) {
	lastScenario := ""
	var t *table
	for _, j := range jobs {
		if j.scenario.name != lastScenario {
			lastScenario = j.scenario.name
			fmt.Fprintf(w, "\n### %s\n\n", lastScenario)
			t = newTable(w, "policy", "first token p50 ms", "p95 ms", "p95 by seed", "p99 ms",
				"between tokens p50 ms", "p95 ms", "cache hits", "burst", "rank skew", "struck", "refused", "unserved")
		}
		mean := j.mean
		t.row(j.policy.name, noDecimals(mean.firstTokenP50), noDecimals(mean.firstTokenP95), seedRange(j), noDecimals(mean.firstTokenP99),
			oneDecimal(mean.interTokenP50), oneDecimal(mean.interTokenP95), percent(mean.cacheHitRate), twoDecimals(mean.burst), twoDecimals(mean.skew),
			twoDecimals(mean.firstEndpointShare), percent(mean.refusalRate), percent(mean.unservedRate))
	}
}

// seedRange returns the lowest and the highest p95 time to first token among the
// seeds.
func seedRange(j *job) string {
	low, high := j.runs[0].firstTokenP95, j.runs[0].firstTokenP95
	for _, run := range j.runs {
		low, high = min(low, run.firstTokenP95), max(high, run.firstTokenP95)
	}
	return fmt.Sprintf("%.0f to %.0f", low, high)
}

// writeEjection measures each ejection rule under each noise, for two pool sizes, and
// writes the results.
func writeEjection(w io.Writer, seed uint64) {
	t := newTable(w, "endpoints", "noise", "rule", "false ejections per endpoint and hour",
		"most out at a time", "3 times slower: out after", "recovered: full share after")
	for _, size := range []int{16, 64} {
		for _, noise := range latencyNoises() {
			for _, rule := range ejectionRules() {
				result := runEjection(noise, rule, size, seed)
				t.row(fmt.Sprint(size), noise.name, rule.name, fmt.Sprintf("%.3f", result.falseEjectionsPerHour),
					percent(result.maxEjectedShare), secondsOrNever(result.timeToEject), secondsOrNever(result.timeToFullShare))
			}
		}
	}
}

// writeBreakEven writes the number of tokens from which on moving a cached prefix is
// faster than computing it.
func writeBreakEven(w io.Writer) {
	t := newTable(w, "engine computes tokens/s", "0.5 GB/s", "1 GB/s", "2 GB/s", "10 GB/s", "25 GB/s")
	for _, rate := range []float64{5000, 10000, 20000} {
		cells := []string{noDecimals(rate)}
		for _, gigabytes := range []float64{0.5, 1, 2, 10, 25} {
			link := kvLink()
			link.Bandwidth = gigabytes * 1e9
			tokens, ok := link.BreakEven(rate)
			cell := "never"
			if ok {
				cell = noDecimals(tokens) + " tokens"
			}
			cells = append(cells, cell)
		}
		t.row(cells...)
	}
}

// writeEntryCosts writes the cost of the decision code at one entry by fleet size.
func writeEntryCosts(w io.Writer, all []entryCost) {
	t := newTable(w, "endpoints", "calls/s in the fleet", "entries", "pick µs", "noting a call µs", "report µs", "events of a call µs",
		"table change µs", "tables MB", "index MB", "share of a core")
	for _, cost := range all {
		t.row(fmt.Sprint(cost.size.endpoints), noDecimals(cost.size.callsPerSecond), fmt.Sprint(cost.size.entries),
			microseconds(cost.pick), microseconds(cost.trackCall), microseconds(cost.report), microseconds(cost.event), microseconds(cost.update),
			megabytes(cost.tableBytes), megabytes(cost.indexBytes), percent(cost.coreShare))
	}
}

func noDecimals(v float64) string  { return fmt.Sprintf("%.0f", v) }
func oneDecimal(v float64) string  { return fmt.Sprintf("%.1f", v) }
func twoDecimals(v float64) string { return fmt.Sprintf("%.2f", v) }
func percent(v float64) string     { return fmt.Sprintf("%.1f%%", 100*v) }

func microseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Microsecond))
}

func megabytes(bytes int64) string { return fmt.Sprintf("%.1f", float64(bytes)/1e6) }

func secondsOrNever(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return fmt.Sprintf("%.0f s", d.Seconds())
}
