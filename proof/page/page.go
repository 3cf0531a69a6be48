// Package page generates docs/PROOF.md from the log of a test run.
package page

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"

	"github.com/lilackeel/lilackeel/proof"
)

// maxLine bounds the length of a line of the test log, in bytes.
const maxLine = 16 << 20

// Test is a test that logged cells, and its result.
type Test struct {
	// Name is the package path relative to the module, followed by the test's name.
	Name string
	// Passed is false for a test that failed, was skipped or did not finish.
	Passed bool
	// Cells are the cells that the test logged.
	Cells []proof.Cell
}

// event is a line of `go test -json` output.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// Read collects the tests that logged cells from the output of `go test -json`.
func Read(r io.Reader) ([]Test, error) {
	tests := map[string]*Test{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			continue
		}
		if err := addEvent(tests, e); err != nil {
			return nil, err
		}
	}
	return sortedTests(tests), lines.Err()
}

// addEvent adds an event to the tests.
func addEvent(tests map[string]*Test, e event) error {
	if e.Test == "" {
		return nil
	}
	name := strings.TrimPrefix(e.Package, "github.com/lilackeel/lilackeel/") + "." + e.Test
	test := tests[name]
	if test == nil {
		test = &Test{Name: name}
		tests[name] = test
	}
	if e.Action == "pass" {
		test.Passed = true
	}
	_, text, found := strings.Cut(e.Output, proof.Marker)
	if !found {
		return nil
	}
	var cell proof.Cell
	if err := json.Unmarshal([]byte(strings.TrimSpace(text)), &cell); err != nil {
		return fmt.Errorf("cell of %s: %w", name, err)
	}
	test.Cells = append(test.Cells, cell)
	return nil
}

// sortedTests returns the tests that logged cells, sorted by name.
func sortedTests(tests map[string]*Test) []Test {
	var list []Test
	for _, test := range tests {
		if len(test.Cells) > 0 {
			list = append(list, *test)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// state says how far a cell of the matrix is proved.
type state int

const (
	notProved state = iota
	notApplicable
	guardNotTried
	failing
	proved
)

var stateText = map[state]string{notProved: "–", notApplicable: "n/a", guardNotTried: "(yes)", failing: "FAILS", proved: "yes"}

// cellKey identifies a cell of the matrix.
type cellKey struct {
	promise proof.Promise
	fault   proof.Fault
}

// Write writes the page: the counts, the matrix and the tests.
func Write(w io.Writer, tests []Test) error {
	matrix := buildMatrix(tests)
	var b strings.Builder
	writeHeader(&b, matrix)
	writeMatrix(&b, matrix)
	writeNotApplicable(&b, matrix)
	writePairs(&b, tests)
	writeTests(&b, tests)
	_, err := io.WriteString(w, b.String())
	return err
}

// buildMatrix computes the state of every cell. A failing test takes precedence, then a test
// that was shown to fail without its guard, then one for which this was not tried, then the
// reason why the cell does not apply.
func buildMatrix(tests []Test) map[cellKey]state {
	matrix := map[cellKey]state{}
	for _, promise := range proof.Promises {
		for _, fault := range proof.Faults {
			if proof.NotApplicable(promise, fault) != "" {
				matrix[cellKey{promise, fault}] = notApplicable
			}
		}
	}
	for _, test := range tests {
		for _, cell := range test.Cells {
			for _, fault := range cell.Faults {
				at := cellKey{cell.Promise, fault}
				matrix[at] = combine(matrix[at], cellState(test, cell))
			}
		}
	}
	return matrix
}

// cellState returns the state that one test gives a cell.
func cellState(test Test, cell proof.Cell) state {
	switch {
	case !test.Passed:
		return failing
	case cell.Guard == "":
		return guardNotTried
	default:
		return proved
	}
}

// combine merges the states that two tests give the same cell.
func combine(a, b state) state {
	if a == failing || b == failing {
		return failing
	}
	return max(a, b)
}

func writeHeader(b *strings.Builder, matrix map[cellKey]state) {
	counts := map[state]int{}
	for _, promise := range proof.Promises {
		for _, fault := range proof.Faults {
			counts[matrix[cellKey{promise, fault}]]++
		}
	}
	b.WriteString("# Fault matrix: what is proved, and by which test\n\n")
	b.WriteString("Generated from the log of a test run; do not edit. Regenerate it with\n")
	b.WriteString("`go test -count=1 -json ./... | go run ./cmd/lilackeel-proof > docs/PROOF.md`.\n\n")
	b.WriteString("A cell is *yes* if a test that injects this fault passed and was shown to fail with its guard\n")
	b.WriteString("removed, *(yes)* if the test passed but no guard was removed, *FAILS* if a test failed, and – if\n")
	b.WriteString("no test covers it. A – does not mean that the promise is broken, only that no test shows that it holds.\n")
	b.WriteString("*n/a* marks a fault that cannot affect the promise, for the reason given below.\n\n")
	fmt.Fprintf(b, "Cells: %d proved, %d passed without a guard removed, %d failing, %d not proved, %d not applicable.\n\n",
		counts[proved], counts[guardNotTried], counts[failing], counts[notProved], counts[notApplicable])
}

func writeMatrix(b *strings.Builder, matrix map[cellKey]state) {
	b.WriteString("| fault |")
	for _, promise := range proof.Promises {
		fmt.Fprintf(b, " %s |", promise)
	}
	b.WriteString("\n|---|" + strings.Repeat("---|", len(proof.Promises)) + "\n")
	for _, fault := range proof.Faults {
		fmt.Fprintf(b, "| %s |", fault)
		for _, promise := range proof.Promises {
			fmt.Fprintf(b, " %s |", stateText[matrix[cellKey{promise, fault}]])
		}
		b.WriteString("\n")
	}
}

// writeNotApplicable lists the cells that do not apply, with the reasons.
func writeNotApplicable(b *strings.Builder, matrix map[cellKey]state) {
	b.WriteString("\nNot applicable:\n\n")
	for _, promise := range proof.Promises {
		for _, fault := range proof.Faults {
			if matrix[cellKey{promise, fault}] == notApplicable {
				fmt.Fprintf(b, "- %s, %s: %s.\n", promise, fault, proof.NotApplicable(promise, fault))
			}
		}
	}
}

// writePairs counts the pairs of faults that are combined in a test which passed and was shown
// to fail without its guard.
func writePairs(b *strings.Builder, tests []Test) {
	pairs := map[proof.Promise]map[[2]proof.Fault]bool{}
	for _, test := range tests {
		for _, cell := range test.Cells {
			if cell.Combined && cellState(test, cell) == proved {
				addPairs(pairs, cell)
			}
		}
	}
	total := len(proof.Faults) * (len(proof.Faults) - 1) / 2
	fmt.Fprintf(b, "\nPairs of different faults that a proved test combines, out of %d:\n\n| promise | pairs |\n|---|---|\n", total)
	for _, promise := range proof.Promises {
		fmt.Fprintf(b, "| %s | %d |\n", promise, len(pairs[promise]))
	}
}

// addPairs adds the pairs of faults of a cell, each in the order of the page.
func addPairs(pairs map[proof.Promise]map[[2]proof.Fault]bool, cell proof.Cell) {
	if pairs[cell.Promise] == nil {
		pairs[cell.Promise] = map[[2]proof.Fault]bool{}
	}
	for i, first := range proof.Faults {
		for _, second := range proof.Faults[i+1:] {
			if slices.Contains(cell.Faults, first) && slices.Contains(cell.Faults, second) {
				pairs[cell.Promise][[2]proof.Fault{first, second}] = true
			}
		}
	}
}

func writeTests(b *strings.Builder, tests []Test) {
	b.WriteString("\n## The tests\n\n| test | promise | faults | at which step | guard whose removal made it fail |\n|---|---|---|---|---|\n")
	for _, test := range tests {
		for _, cell := range test.Cells {
			fmt.Fprintf(b, "| `%s`%s | %s | %s | %s | %s |\n", test.Name, failureNote(test), cell.Promise,
				faultList(cell), cell.Step, guardText(cell))
		}
	}
}

func failureNote(test Test) string {
	if test.Passed {
		return ""
	}
	return " **FAILS**"
}

func guardText(cell proof.Cell) string {
	if cell.Guard == "" {
		return "not tried"
	}
	return cell.Guard
}

// faultList formats the faults of a cell and how the test injects them.
func faultList(cell proof.Cell) string {
	names := make([]string, len(cell.Faults))
	for i, fault := range cell.Faults {
		names[i] = string(fault)
	}
	text := strings.Join(names, ", ")
	if cell.Combined {
		text += " (together)"
	}
	if cell.SeparateProcesses {
		text += " (real processes)"
	}
	return text
}
