// Package proof lets a test declare which cells of the fault matrix it covers.
//
// The rows of the matrix are the guarantees of the product and the columns are faults. A test
// logs its cells while it runs. cmd/lilackeel-proof generates docs/PROOF.md from the log of a
// complete test run, so that the page lists only what tests have logged, together with whether
// they passed.
package proof

import (
	"encoding/json"
	"testing"
)

// Promise is a guarantee of the product, a row of the matrix.
type Promise string

// The guarantees that must hold under every fault.
const (
	OneMapPerStep        Promise = "one expert map per step"
	ResponseIntegrity    Promise = "own whole answer"
	NotRun               Promise = "not run is true"
	AtMostOnce           Promise = "non-idempotent at most once"
	Leaving              Promise = "leaving gets no new work"
	GracefulShutdown     Promise = "planned stop cuts nothing"
	DurableConfiguration Promise = "accepted configuration holds"
)

// Promises lists the rows in the order of the page.
var Promises = []Promise{OneMapPerStep, ResponseIntegrity, NotRun, AtMostOnce, Leaving, GracefulShutdown, DurableConfiguration}

// Fault is a column of the matrix.
type Fault string

// The faults that a test may inject.
const (
	None                    Fault = "none"
	Kill                    Fault = "kill"
	Restart                 Fault = "restart"
	LostDisk                Fault = "lost disk"
	StaleDisk               Fault = "old disk put back"
	FullDisk                Fault = "full disk"
	OneWayPartition         Fault = "cut one way"
	FullPartition           Fault = "cut both ways"
	Freeze                  Fault = "freeze, late wake-up"
	StalledRank             Fault = "stalled rank"
	DelayedMessages         Fault = "late messages"
	DuplicatedMessages      Fault = "doubled messages"
	ReorderedMessages       Fault = "crossed messages"
	LostMessages            Fault = "lost messages"
	ClockStep               Fault = "clock step"
	ConcurrentOperators     Fault = "racing operators"
	ResentIntents           Fault = "resent intents"
	SecondLoss              Fault = "second loss after repair"
	RestartAfterManyChanges Fault = "restart after hundreds of changes"
)

// Faults lists the columns in the order of the page.
var Faults = []Fault{
	Kill, Restart, LostDisk, StaleDisk, FullDisk, OneWayPartition, FullPartition, Freeze,
	StalledRank, DelayedMessages, DuplicatedMessages, ReorderedMessages, LostMessages, ClockStep, ConcurrentOperators,
	ResentIntents, SecondLoss, RestartAfterManyChanges,
}

// notApplicable gives the reason why a fault cannot affect a promise, for the few cells where
// that is so. Faults that have merely not been tested are not listed.
var notApplicable = map[Promise]map[Fault]string{
	OneMapPerStep: {
		ConcurrentOperators: "operators set policies only; map switches begin and are decided solely by the coordinator's log entries",
		ResentIntents:       "an intent carries no map; map switches begin and are decided solely by the coordinator's log entries",
	},
	AtMostOnce: {
		StalledRank: "non-idempotent calls go to plain services, which are not ranks of a group",
	},
}

// NotApplicable returns the reason why a fault cannot affect a promise, or an empty string if
// it can.
func NotApplicable(promise Promise, fault Fault) string {
	return notApplicable[promise][fault]
}

// Marker is the prefix of a cell in the test log.
const Marker = "proof-cell "

// Cell is what a test shows: that a promise holds under the given faults at a step of the
// protocol.
type Cell struct {
	Promise Promise `json:"promise"`
	// Faults are injected by the test, one at a time or combined.
	Faults []Fault `json:"faults"`
	// Step is the step of the protocol at which the faults occur, or "every step".
	Step string `json:"step"`
	// Guard is the code whose removal made the test fail. If it is empty, this was not tried
	// and the cell does not count as proved.
	Guard string `json:"guard"`
	// Combined is true if the faults occur in combination.
	Combined bool `json:"together"`
	// SeparateProcesses is true if the test runs the daemons as separate processes.
	SeparateProcesses bool `json:"real"`
}

// Log writes the cell to the test's log.
func (c Cell) Log(t testing.TB) {
	t.Helper()
	line, err := json.Marshal(c)
	if err != nil {
		t.Fatalf("proof cell: %v", err)
	}
	t.Log(Marker + string(line))
}
