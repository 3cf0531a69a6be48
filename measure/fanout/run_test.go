package fanout

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A small run measures something in each table and stores it.
func TestSmallRun(t *testing.T) {
	is := is.New(t)
	var page strings.Builder
	dir := t.TempDir()
	plan := Plan{FleetSizes: []int{4}, WorkspaceCounts: []int{100}, MissedChanges: []int{20}}
	is.NoErr(plan.Run(&page, 1, dir))
	is.True(strings.Contains(page.String(), "| 100 | 20 |"))
	stored, err := os.ReadFile(filepath.Join(dir, figuresFile))
	is.NoErr(err)
	is.True(strings.Contains(string(stored), `"bytes_per_change"`))
}
