package balancing

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"

	"github.com/gravitational/trace"

	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/balance"
)

// Names of the policies. Nawras and Haneul are the two deployments whose evenness
// weights are measured.
const (
	policyNever         = "never"
	policyGreedy        = "greedy every minute"
	policyThreshold     = "threshold"
	policyNawras        = "net gain, Nawras"
	policyHaneul        = "net gain, Haneul"
	policyNoMargin      = "Nawras without margin"
	policyNoBackoff     = "Nawras without backoff"
	policyLastValue     = "Nawras on the last value"
	policyOfflineNawras = "offline, Nawras"
	policyOfflineHaneul = "offline, Haneul"
)

// workers is the number of jobs that run concurrently.
const workers = 4

// stallLeads are the values of mapswitch.Options.LeadSteps that are measured; zero
// selects the computed lead.
var stallLeads = []uint64{2, 4, 8, 16, 0}

// Run measures all policies on all workloads and sizes, and the stall of a switch.
// It writes the report to w, and report.md and skew.svg to outDir. It takes a few
// minutes; the same seed gives the same results.
func Run(w io.Writer, seed uint64, outDir string) error {
	results, err := measureAll(seed)
	if err != nil {
		return trace.Wrap(err)
	}
	stalls := measureStalls(seed)
	if err := os.MkdirAll(outDir, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	file, err := os.Create(filepath.Join(outDir, "report.md"))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	writeReport(io.MultiWriter(w, file), seed, results, stalls)
	if err := file.Close(); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.Wrap(writePlot(filepath.Join(outDir, "skew.svg"), results))
}

// job is the measurement of one workload at one size.
type job struct {
	size     Size
	workload Workload
	results  []Result
	err      error
}

func measureAll(seed uint64) ([]Result, error) {
	workloads, err := Workloads()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var jobs []*job
	for _, size := range Sizes() {
		for _, w := range workloads {
			jobs = append(jobs, &job{size: size, workload: w})
		}
	}
	pending := make(chan *job)
	var wait sync.WaitGroup
	for range workers {
		wait.Go(func() {
			for j := range pending {
				j.results, j.err = measureWorkload(j.workload, j.size, seed)
			}
		})
	}
	for _, j := range jobs {
		pending <- j
	}
	close(pending)
	wait.Wait()
	var results []Result
	for _, j := range jobs {
		if j.err != nil {
			return nil, trace.Wrap(j.err)
		}
		results = append(results, j.results...)
	}
	return results, nil
}

// measureWorkload measures all policies on one workload.
func measureWorkload(w Workload, size Size, seed uint64) ([]Result, error) {
	shape := size.Shape
	var results []Result
	add := func(name string, p policy) { results = append(results, simulate(w, size, name, p, seed)) }
	add(policyNever, keepInitial{})
	add(policyGreedy, newGreedy(shape, 0))
	add(policyThreshold, newGreedy(shape, thresholdSkew))
	for _, variant := range variants(shape) {
		p, err := newNetGain(variant.config)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		add(variant.name, p)
	}
	add(policyOfflineNawras, planOffline(w, shape, nawrasEvenness))
	add(policyOfflineHaneul, planOffline(w, shape, haneulEvenness))
	return results, nil
}

type variant struct {
	name   string
	config balance.Config
}

// variants returns the balancer with the evenness weight of each deployment, and
// with one safeguard disabled at a time.
func variants(shape group.Shape) []variant {
	nawras := BalancerConfig(shape, nawrasEvenness)
	noMargin, noBackoff, lastValue := nawras, nawras, nawras
	noMargin.Ablation.NoMargin = true
	noBackoff.Ablation.NoBackoff = true
	lastValue.Ablation.LastValue = true
	return []variant{
		{policyNawras, nawras},
		{policyHaneul, BalancerConfig(shape, haneulEvenness)},
		{policyNoMargin, noMargin},
		{policyNoBackoff, noBackoff},
		{policyLastValue, lastValue},
	}
}

func measureStalls(seed uint64) []StallResult {
	var out []StallResult
	for _, ranks := range []int{4, 16, 64} {
		for _, lead := range stallLeads {
			out = append(out, MeasureStall(ranks, lead, false, seed))
		}
		out = append(out, MeasureStall(ranks, 0, true, seed))
	}
	return out
}

func writeReport(w io.Writer, seed uint64, results []Result, stalls []StallResult) {
	_, _ = fmt.Fprintf(w, "# Rebalancing expert maps: figures\n\nWritten by balancing.Run with seed %d. Skew is the load of the busiest rank over the\n"+
		"mean, per step. Time lost is to skew, loading and stalls, as a share of balanced steps.\n\n", seed)
	writeAims(w, results)
	lastSection := ""
	for _, r := range results {
		if section := r.Workload + ", " + r.Size; section != lastSection {
			lastSection = section
			_, _ = fmt.Fprintf(w, "\n## %s\n\n| policy | skew p50 | skew p99 | time lost | GB loaded | switches |\n|---|---|---|---|---|---|\n", section)
		}
		_, _ = fmt.Fprintf(w, "| %s | %.3f | %.3f | %.2f%% | %.1f | %d |\n", r.Policy, r.SkewP50, r.SkewP99, r.LostPercent, r.Gigabytes, r.Switches)
	}
	_, _ = fmt.Fprintf(w, "\n## Stall of a switch, in steps\n\n| ranks | lead | a rank unreachable in every third | p50 | p99 | max | committed |\n|---|---|---|---|---|---|---|\n")
	for _, s := range stalls {
		_, _ = fmt.Fprintf(w, "| %d | %d | %t | %.2f | %.2f | %.2f | %d of %d |\n", s.Ranks, s.Lead, s.UnreachableRank, s.P50, s.P99, s.Max, s.Committed, s.Proposed)
	}
}
