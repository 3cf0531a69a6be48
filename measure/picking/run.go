package picking

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
)

// The files that Run writes.
const (
	// figuresFile holds the results that depend only on the seed.
	figuresFile = "figures.md"
	// timesFile holds the times measured on the machine.
	timesFile = "times.md"
	plotFile  = "first-token.svg"
)

// Run measures all policies. It writes the tables to w, and the tables and a plot to
// outDir. The same seed gives the same results, except for the times of the decision
// code.
func Run(w io.Writer, seed uint64, outDir string) error {
	if err := os.MkdirAll(outDir, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	comparison := compareJobs()
	var figures bytes.Buffer
	writeFigures(&figures, seed, comparison)
	if err := writePage(w, filepath.Join(outDir, figuresFile), figures.Bytes()); err != nil {
		return trace.Wrap(err)
	}
	if err := drawComparison(comparison, filepath.Join(outDir, plotFile)); err != nil {
		return trace.Wrap(err)
	}
	var times bytes.Buffer
	writeTimes(&times, seed)
	return trace.Wrap(writePage(w, filepath.Join(outDir, timesFile), times.Bytes()))
}

// writePage writes the page to w and to the file at path.
func writePage(w io.Writer, path string, page []byte) error {
	if _, err := w.Write(page); err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(path, page, 0o644))
}

// writeFigures runs all jobs and writes the results that depend only on the seed.
func writeFigures(w io.Writer, seed uint64, comparison []*job) {
	variants := variantJobs()
	target := targetJobs()
	all := append(append(append([]*job(nil), comparison...), variants...), target...)
	runJobs(seed, all)
	base := baseScenario()
	fmt.Fprintf(w, "# Picking: figures\n\nSeed %d; each figure is the mean of %d runs. "+
		"%d endpoints, %d entries, %.0f calls a second; %v counted after %v of warm-up. "+
		"Burst is the busiest endpoint's arrivals in a second over the mean (p95 over seconds); "+
		"rank skew the fullest rank over the mean rank; "+
		"struck the share of calls that went to the first endpoint (the one with the fault, where there is one) over its fair share. "+
		"Calls without a first token at the end of a run count as having waited until then.\n\n## Policies\n",
		seed, seedsPerResult, base.groups*base.ranks, base.entries, base.workload.callsPerSecond, base.workload.duration-base.warmUp, base.warmUp)
	writeComparison(w, comparison)
	fmt.Fprint(w, "\n## One decision changed at a time\n")
	writeComparison(w, variants)
	fmt.Fprintf(w, "\n## At the target\n\n%d endpoints in %d groups, %d workspaces, %.0f calls a second, one run.\n",
		target[0].scenario.groups*target[0].scenario.ranks, target[0].scenario.groups, target[0].scenario.workload.workspaces, target[0].scenario.workload.callsPerSecond)
	writeComparison(w, target)
	fmt.Fprint(w, "\n## Ejection\n\nAn hour without a fault, four samples a second; then one endpoint 3 times slower for two minutes.\n\n")
	writeEjection(w, seed)
	fmt.Fprint(w, "\n## Moving a prefix or computing it\n\nFrom how many tokens on a move is faster, at 70 kB a token and 5 ms for the orders.\n\n")
	writeBreakEven(w)
}

// writeTimes measures and writes the cost of the decision code on this machine.
func writeTimes(w io.Writer, seed uint64) {
	fmt.Fprintf(w, "# Picking: cost to one entry\n\nMeasured on the machine that ran the command; differs from run to run. "+
		"The index holds %d blocks for each endpoint. The share of a core is for the entry's part of the calls, "+
		"and for the reports and cache events of all endpoints.\n\n", indexEntriesPerEndpoint)
	var all []entryCost
	for _, size := range fleetSizes() {
		all = append(all, measureEntryCost(size, seed))
	}
	writeEntryCosts(w, all)
}
