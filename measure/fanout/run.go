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

// Plan says how much is measured.
type Plan struct {
	// Fleets are the numbers of daemons.
	FleetSizes []int
	// Workspaces are the sizes at which a return is timed, Missed the numbers of
	// changes that the daemon was away for.
	WorkspaceCounts, MissedChanges []int
}

// Full is the plan of Run.
var FullPlan = Plan{
	FleetSizes:      []int{4, 16, 64, 256},
	WorkspaceCounts: []int{1000, 37_000},
	MissedChanges:   []int{100, 1000, 10_000},
}

// figures is everything that was measured.
type figures struct {
	Slopes  []slope   `json:"slopes"`
	InForce []inForce `json:"in_force"`
	CatchUp []catchUp `json:"catch_up"`
	State   stateSize `json:"state"`
	// Announcing is the cost of lease renewals.
	Announcing []announcing `json:"announcing"`
}

// Run measures everything, prints the tables as Markdown to w and stores the
// figures in outDir. Nothing in it is random; the seed is only printed.
func Run(w io.Writer, seed uint64, outDir string) error {
	return FullPlan.Run(w, seed, outDir)
}

// Run measures what the plan says.
func (p Plan) Run(w io.Writer, seed uint64, outDir string) error {
	if err := os.MkdirAll(outDir, dirMode); err != nil {
		return trace.ConvertSystemError(err)
	}
	var all figures
	fmt.Fprintf(w, "Fan-out of the configuration: seed %d, GOMAXPROCS %d, %s\n", seed, runtime.GOMAXPROCS(0), runtime.Version())
	for _, measure := range []func(io.Writer, *figures) error{p.slopes, p.inForce, p.catchUps, p.stateSizes, p.announcements} {
		if err := measure(w, &all); err != nil {
			return trace.Wrap(err)
		}
	}
	text, err := encode(all)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(filepath.Join(outDir, figuresFile), text, fileMode))
}

func (p Plan) slopes(w io.Writer, all *figures) error {
	fmt.Fprintf(w, "\nCost with %d workspaces and %d endpoints for each daemon; one change is one workspace.\n\n", slopeWorkspaces, endpointsPerAgent)
	fmt.Fprintln(w, "| daemons | relays | rest: publisher B/s | rest: B/s per daemon | rest: CPU µs/s per daemon | change: publisher B | change: B per daemon | change: CPU µs per daemon | in force p50 ms | max ms |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, relayed := range []bool{false, true} {
		for _, daemons := range p.FleetSizes {
			s, err := measureSlope(daemons, relayed)
			if err != nil {
				return err
			}
			all.Slopes = append(all.Slopes, s)
			n := float64(daemons)
			fmt.Fprintf(w, "| %d | %s | %.0f | %.1f | %.0f | %.0f | %.1f | %.1f | %.2f | %.2f |\n", daemons, relays(relayed),
				s.RestBytes, s.RestBytes/n, s.RestCPU, s.ChangeBytes, s.ChangeBytes/n, s.ChangeCPU, s.P50, s.Max)
		}
	}
	return nil
}

func (p Plan) inForce(w io.Writer, all *figures) error {
	fmt.Fprintf(w, "\nFrom sending confirm to %d replicas on this machine until a daemon acts on it, %d intents.\n\n", replicas, intentsInRow)
	fmt.Fprintln(w, "| daemons | relays | confirm answered p50 ms | in force p50 ms | in force max ms |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- |")
	for _, relayed := range []bool{false, true} {
		for _, daemons := range p.FleetSizes {
			result, err := measureInForce(daemons, relayed)
			if err != nil {
				return err
			}
			all.InForce = append(all.InForce, result)
			fmt.Fprintf(w, "| %d | %s | %.2f | %.2f | %.2f |\n", daemons, relays(relayed), result.ConfirmP50, result.P50, result.Max)
		}
	}
	return nil
}

func (p Plan) catchUps(w io.Writer, all *figures) error {
	fmt.Fprintf(w, "\nA daemon that was away, from its start until it acts on the latest revision.\n\n")
	fmt.Fprintln(w, "| workspaces | missed changes | ms | bytes |")
	fmt.Fprintln(w, "| --- | --- | --- | --- |")
	for _, workspaces := range p.WorkspaceCounts {
		for _, missed := range p.MissedChanges {
			result, err := measureCatchUp(workspaces, missed)
			if err != nil {
				return err
			}
			all.CatchUp = append(all.CatchUp, result)
			fmt.Fprintf(w, "| %d | %d | %.1f | %d |\n", workspaces, missed, result.Millis, result.Bytes)
		}
	}
	return nil
}

func (p Plan) stateSizes(w io.Writer, all *figures) error {
	size, err := measureStateSize()
	if err != nil {
		return err
	}
	all.State = size
	fmt.Fprintf(w, "\nBytes of state, encoded.\n\n| | on the feed | in a snapshot of the log |\n| --- | --- | --- |\n")
	fmt.Fprintf(w, "| workspace | %.0f | %.0f |\n", size.WorkspaceOnFeed, size.WorkspaceInSnapshot)
	fmt.Fprintf(w, "| endpoint | %.0f | %.0f |\n", size.EndpointOnFeed, size.EndpointInSnapshot)
	return nil
}

func relays(relayed bool) string {
	if relayed {
		return fmt.Sprint(len(zones))
	}
	return "none"
}

func median(all []time.Duration) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Clone(all)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
