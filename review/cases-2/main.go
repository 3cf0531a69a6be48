package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun ends a case that could not run.
var errNotRun = errors.New("the case could not run")

// caseLimit is the longest run of a case.
const caseLimit = 110 * time.Second

// aCase runs one case. It reports whether the rule was broken.
type aCase func(ctx context.Context, d *deployment, trouble bool) (broken bool, err error)

var cases = map[string]aCase{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-cases-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// run runs a case and returns the exit code.
func run(c aCase, recordPath string, trouble bool) int {
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), caseLimit)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	d, err := newDeployment(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close()
	broken, err := c(ctx, d, trouble)
	verdict, code := "the rule held", exitHeld
	switch {
	case err != nil:
		verdict, code = err.Error(), exitNotRun
	case broken:
		verdict, code = "the rule was broken", exitBroken
	}
	r.add("%s", verdict)
	fmt.Printf("trouble %t: %s\n", trouble, verdict)
	return code
}
