package fairness

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/lilackeel/lilackeel/workspace"
)

// Configuration of the simulated system: one entry's share of a pool.
const (
	slots = 128
	// smallPoolSlots is one entry's share of a small pool.
	smallPoolSlots = 32
	maxQueue       = 1024
	maxWait        = 10 * time.Second
	// seeds is the number of runs with different seeds that each result of the
	// flood and reclaim scenarios is computed from.
	seeds = 10
)

// dirMode is the permission of the output directory.
const dirMode = 0o755

// namedPolicy is a constructor of a policy and the name it is reported under.
type namedPolicy struct {
	name      string
	newPolicy func(slots int, limits map[string]workspace.Limits) policy
}

// policies are compared in every scenario.
var policies = []namedPolicy{
	{"lilackeel", func(slots int, limits map[string]workspace.Limits) policy {
		return newAdmissionPolicy(workspace.Config{MaxQueued: maxQueue, MaxWait: maxWait}, slots, limits)
	}},
	{"first come, first served", func(slots int, _ map[string]workspace.Limits) policy {
		return newFIFOPolicy(slots, maxQueue, maxWait)
	}},
}

// Run simulates all scenarios, writes the results to w as Markdown and stores
// each table as a CSV file in outDir. The results depend only on the seed.
func Run(w io.Writer, seed uint64, outDir string) error {
	if err := os.MkdirAll(outDir, dirMode); err != nil {
		return trace.Wrap(err)
	}
	if _, err := fmt.Fprintf(w, "Fairness: %d slots, %d runs from seed %d\n", slots, seeds, seed); err != nil {
		return trace.Wrap(err)
	}
	for _, scenario := range []func(uint64) *table{measureFlood, measureReclaim, measureOverload, measureDeadlines, measureRetries} {
		result := scenario(seed)
		if err := result.writeMarkdown(w); err != nil {
			return err
		}
		if err := result.writeCSV(outDir); err != nil {
			return err
		}
	}
	return nil
}
