// Command cmd runs the measurements of package balancing. It writes the report
// to standard output, and report.md and skew.svg to a directory.
package main

import (
	"flag"
	"log/slog"
	"os"

	"github.com/lilackeel/lilackeel/measure/balancing"
)

func main() {
	seed := flag.Uint64("seed", 1, "random seed of the noise")
	out := flag.String("out", "docs/balancing", "output directory")
	flag.Parse()
	if err := balancing.Run(os.Stdout, *seed, *out); err != nil {
		slog.New(slog.NewJSONHandler(os.Stderr, nil)).Error("failed to write the balancing report", "error", err)
		os.Exit(1)
	}
}
