// Command lilackeel-measure generates the measurement results and generated pages in docs/. The
// same seed gives the same decisions; CPU and wall-clock times differ between machines, and the
// pages say so.
//
// Usage: lilackeel-measure [-seed N] [-out DIR] MEASUREMENT
package main

import (
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/lilackeel/lilackeel/measure/balancing"
	"github.com/lilackeel/lilackeel/measure/fairness"
	"github.com/lilackeel/lilackeel/measure/fanout"
	"github.com/lilackeel/lilackeel/measure/logsize"
	"github.com/lilackeel/lilackeel/measure/overhead"
	"github.com/lilackeel/lilackeel/measure/picking"
	"github.com/lilackeel/lilackeel/measure/settings"
)

// defaultSeed is the seed used for the results in docs/.
const defaultSeed = 20261202

// measurement writes its results to w and its files to outDir.
type measurement func(w io.Writer, seed uint64, outDir string) error

var measurements = map[string]measurement{
	"balancing": balancing.Run,
	"fairness":  fairness.Run,
	"fanout":    fanout.Run,
	"logsize":   logsize.Run,
	"overhead":  overhead.Run,
	"picking":   picking.Run,
	"settings":  func(w io.Writer, _ uint64, _ string) error { return settings.Write(w) },
}

func main() {
	seed := flag.Uint64("seed", defaultSeed, "seed of all random choices")
	out := flag.String("out", "docs", "directory for tables and plots; each measurement writes to a subdirectory of its own")
	flag.Usage = usage
	flag.Parse()
	if err := run(flag.Arg(0), *seed, *out); err != nil {
		fmt.Fprintln(os.Stderr, "lilackeel-measure:", err)
		os.Exit(1)
	}
}

func run(name string, seed uint64, out string) error {
	measure, known := measurements[name]
	if !known {
		return fmt.Errorf("unknown measurement %q; choose one of %s", name, names())
	}
	return measure(os.Stdout, seed, filepath.Join(out, name))
}

func usage() {
	fmt.Fprintf(os.Stderr, "usage: lilackeel-measure [-seed N] [-out DIR] MEASUREMENT, one of %s\n", names())
	flag.PrintDefaults()
}

func names() string { return strings.Join(slices.Sorted(maps.Keys(measurements)), ", ") }
