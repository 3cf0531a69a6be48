package fanout

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestSmallRun runs all measurements on a small plan and checks that the tables
// are printed and the results are stored.
func TestSmallRun(t *testing.T) {
	is := is.New(t)
	var output strings.Builder
	dir := t.TempDir()
	plan := Plan{FleetSizes: []int{4}, WorkspaceCounts: []int{100}, MissedChanges: []int{20}}
	is.NoErr(plan.Run(&output, 1, dir))
	is.True(strings.Contains(output.String(), "| 100 | 20 |"))
	stored, err := os.ReadFile(filepath.Join(dir, figuresFile))
	is.NoErr(err)
	is.True(strings.Contains(string(stored), `"bytes_per_change"`))
}
