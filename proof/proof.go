// Package proof lets a test say which cell of the fault matrix it proves.
//
// The matrix has the promises of the product as rows and the faults as
// columns. A test logs its cells while it runs; cmd/lilackeel-proof turns the
// log of a whole test run into docs/PROOF.md, so that the page can only list
// what a test that passed has said.
package proof

import (
	"encoding/json"
	"testing"
)

// Promise is one row of the matrix.
type Promise string

// The promises that must always hold.
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

// Fault is one column of the matrix.
type Fault string

// The faults that a test may bring about.
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

// notApplicable gives the reason why a fault cannot touch a promise, for the few
// cells where that is so. A fault that merely has not been tried is not here.
var notApplicable = map[Promise]map[Fault]string{
	OneMapPerStep: {
		ConcurrentOperators: "operators state policies; maps begin and are decided by the coordinator's entries alone",
		ResentIntents:       "an intent carries no map; maps begin and are decided by the coordinator's entries alone",
	},
	AtMostOnce: {
		StalledRank: "calls that may not be repeated go to plain services, which are no ranks of a group",
	},
}

// NotApplicable returns why a fault cannot touch a promise, or nothing.
func NotApplicable(promise Promise, fault Fault) string {
	return notApplicable[promise][fault]
}

// Marker starts the log line of a cell.
const Marker = "proof-cell "

// Cell is what one test proves: a promise under faults at a step.
type Cell struct {
	// Promise is the row.
	Promise Promise `json:"promise"`
	// Faults are brought about by the test, singly or together.
	Faults []Fault `json:"faults"`
	// Step of the protocol at which they come, or "every step".
	Step string `json:"step"`
	// Guard is the piece of code whose removal made the test fail; empty if
	// that was not tried, and then the cell does not count as proved.
	Guard string `json:"guard"`
	// Together is true when the faults come in combination.
	Combined bool `json:"together"`
	// Real is true when the test drives separate processes.
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
