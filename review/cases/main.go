// Command review-cases runs the script cases of the review: it starts the project's own programs as
// separate processes on loopback addresses, plays the users' platform, consumers, engines and
// operator against them, and judges what these stand-ins see.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"errors"
	"flag"
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

// caseLimit is the time after which a case is given up.
const caseLimit = 110 * time.Second

// a testCase plays one case. It returns whether the rule was broken; an error means that the case
// could not run.
type testCase func(d *deployment, trouble bool) (broken bool, err error)

var testCases = map[string]testCase{
	"logsize":   playLogSize,
	"truncated": playTruncated,
	"smuggled":  playSmuggled,
	"bodies":    playBodies,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	recordFile := flag.String("record", "", "the file for the record of what was sent, answered and run")
	root := flag.String("root", ".", "the repository, with the built programs in target/")
	flag.Parse()
	play, known := testCases[*name]
	if !known || *recordFile == "" {
		fmt.Fprintln(os.Stderr, "give -case and -record; cases: logsize, truncated, smuggled, bodies")
		return exitNotRun
	}
	record, err := newRecord(*recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot write the record:", err)
		return exitNotRun
	}
	defer record.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.note("case %s, disruption %v", *name, trouble)
	d, err := startDeployment(*root, record)
	if err != nil {
		record.note("could not run: %v", err)
		return exitNotRun
	}
	defer d.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		record.note("could not run: %v", <-interrupted)
		d.stop()
		os.Exit(exitNotRun)
	}()
	timedOut := time.AfterFunc(caseLimit, func() {
		record.note("could not run: the case took longer than %v", caseLimit)
		d.stop()
		os.Exit(exitNotRun)
	})
	defer timedOut.Stop()
	broken, err := play(d, trouble)
	if err == nil && !d.allRunning() {
		err = errors.New("a process of the deployment ended by itself")
	}
	switch {
	case err != nil:
		record.note("could not run: %v", err)
		return exitNotRun
	case broken:
		record.note("result: the rule was broken")
		return exitBroken
	}
	record.note("result: the rule held")
	return exitHeld
}
