package fanout

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

const (
	figuresFile = "fanout.json"
	dirMode     = 0o750
	fileMode    = 0o640
)

// Plan lists the sizes to measure.
type Plan struct {
	// FleetSizes are the numbers of daemons; lease renewals are measured with the
	// same numbers of agents.
	FleetSizes []int
	// WorkspaceCounts and MissedChanges are the numbers of workspaces and of missed
	// changes for which the catch-up of a daemon is measured, in all combinations.
	WorkspaceCounts, MissedChanges []int
}

// FullPlan is the plan that the package-level Run measures.
var FullPlan = Plan{
	FleetSizes:      []int{4, 16, 64, 256},
	WorkspaceCounts: []int{1000, 37_000},
	MissedChanges:   []int{100, 1000, 10_000},
}

// figures is the result of all measurements.
type figures struct {
	FleetCosts  []fleetCost   `json:"slopes"`
	Propagation []propagation `json:"in_force"`
	CatchUp     []catchUp     `json:"catch_up"`
	State       stateSize     `json:"state"`
	// Announcements is the cost of lease renewals.
	Announcements []announcementCost `json:"announcing"`
}

// Run measures FullPlan, writes the tables to w as Markdown and stores the figures
// in outDir. It makes no random choices; the seed is only printed.
func Run(w io.Writer, seed uint64, outDir string) error {
	return FullPlan.Run(w, seed, outDir)
}

// Run measures the plan, writes the tables to w as Markdown and stores the figures
// in outDir. It makes no random choices; the seed is only printed.
func (p Plan) Run(w io.Writer, seed uint64, outDir string) error {
	if err := os.MkdirAll(outDir, dirMode); err != nil {
		return trace.ConvertSystemError(err)
	}
	var results figures
	fmt.Fprintf(w, "Fan-out of the configuration: seed %d, GOMAXPROCS %d, %s\n", seed, runtime.GOMAXPROCS(0), runtime.Version())
	for _, measure := range []func(io.Writer, *figures) error{p.reportFleetCosts, p.reportPropagation, p.reportCatchUps, p.reportStateSizes, p.reportAnnouncements} {
		if err := measure(w, &results); err != nil {
			return trace.Wrap(err)
		}
	}
	text, err := encodeFigures(results)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(filepath.Join(outDir, figuresFile), text, fileMode))
}

func (p Plan) reportFleetCosts(w io.Writer, results *figures) error {
	fmt.Fprintf(w, "\nCost with %d workspaces and %d endpoints per daemon; each change modifies one workspace.\n\n", fleetCostWorkspaces, endpointsPerAgent)
	fmt.Fprintln(w, "| daemons | relays | rest: publisher B/s | rest: B/s per daemon | rest: CPU µs/s per daemon | change: publisher B | change: B per daemon | change: CPU µs per daemon | in force p50 ms | max ms |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, relayed := range []bool{false, true} {
		for _, daemons := range p.FleetSizes {
			cost, err := measureFleetCost(daemons, relayed)
			if err != nil {
				return err
			}
			results.FleetCosts = append(results.FleetCosts, cost)
			n := float64(daemons)
			fmt.Fprintf(w, "| %d | %s | %.0f | %.1f | %.0f | %.0f | %.1f | %.1f | %.2f | %.2f |\n", daemons, relayCount(relayed),
				cost.IdleBytes, cost.IdleBytes/n, cost.IdleCPU, cost.ChangeBytes, cost.ChangeBytes/n, cost.ChangeCPU, cost.P50, cost.Max)
		}
	}
	return nil
}

func (p Plan) reportPropagation(w io.Writer, results *figures) error {
	fmt.Fprintf(w, "\nTime from sending Confirm to %d replicas on this machine until a daemon applies the revision, %d intents.\n\n", replicas, measuredIntents)
	fmt.Fprintln(w, "| daemons | relays | confirm answered p50 ms | in force p50 ms | in force max ms |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- |")
	for _, relayed := range []bool{false, true} {
		for _, daemons := range p.FleetSizes {
			result, err := measurePropagation(daemons, relayed)
			if err != nil {
				return err
			}
			results.Propagation = append(results.Propagation, result)
			fmt.Fprintf(w, "| %d | %s | %.2f | %.2f | %.2f |\n", daemons, relayCount(relayed), result.ConfirmP50, result.P50, result.Max)
		}
	}
	return nil
}

func (p Plan) reportCatchUps(w io.Writer, results *figures) error {
	fmt.Fprintf(w, "\nTime from the start of a daemon that has missed changes until it applies the latest revision.\n\n")
	fmt.Fprintln(w, "| workspaces | missed changes | ms | bytes |")
	fmt.Fprintln(w, "| --- | --- | --- | --- |")
	for _, workspaces := range p.WorkspaceCounts {
		for _, missed := range p.MissedChanges {
			result, err := measureCatchUp(workspaces, missed)
			if err != nil {
				return err
			}
			results.CatchUp = append(results.CatchUp, result)
			fmt.Fprintf(w, "| %d | %d | %.1f | %d |\n", workspaces, missed, result.Millis, result.Bytes)
		}
	}
	return nil
}

func (p Plan) reportStateSizes(w io.Writer, results *figures) error {
	size, err := measureStateSize()
	if err != nil {
		return err
	}
	results.State = size
	fmt.Fprintf(w, "\nEncoded size of the state in bytes.\n\n| | on the feed | in a snapshot of the log |\n| --- | --- | --- |\n")
	fmt.Fprintf(w, "| workspace | %.0f | %.0f |\n", size.WorkspaceOnFeed, size.WorkspaceInSnapshot)
	fmt.Fprintf(w, "| endpoint | %.0f | %.0f |\n", size.EndpointOnFeed, size.EndpointInSnapshot)
	return nil
}

func relayCount(relayed bool) string {
	if relayed {
		return fmt.Sprint(len(zones))
	}
	return "none"
}

func median(durations []time.Duration) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Clone(durations)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
