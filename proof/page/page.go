// Package page turns the log of a test run into the page of proofs.
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

// maxLine bounds one line of the test log, in bytes.
const maxLine = 16 << 20

// Test is one test that logged cells, and how it ended.
type Test struct {
	// Name is the package path below the module and the test's name.
	Name string
	// Passed is false for a test that failed, was skipped or did not end.
	Passed bool
	// Cells are what it said that it proves.
	Cells []proof.Cell
}

// event is one line of `go test -json`.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// Read collects the tests with cells from the output of `go test -json`.
func Read(r io.Reader) ([]Test, error) {
	tests := map[string]*Test{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			continue
		}
		if err := record(tests, e); err != nil {
			return nil, err
		}
	}
	return sorted(tests), lines.Err()
}

// record adds one event to the tests.
func record(tests map[string]*Test, e event) error {
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

// sorted returns the tests that logged cells, by name.
func sorted(tests map[string]*Test) []Test {
	var list []Test
	for _, test := range tests {
		if len(test.Cells) > 0 {
			list = append(list, *test)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// state is how far a cell of the matrix is proved.
type state int

const (
	notProved state = iota
	impossible
	unguarded
	failing
	proved
)

var marks = map[state]string{notProved: "–", impossible: "n/a", unguarded: "(yes)", failing: "FAILS", proved: "yes"}

// key names one cell of the matrix.
type key struct {
	promise proof.Promise
	fault   proof.Fault
}

// Write prints the page: counts, the matrix, and the tests behind it.
func Write(w io.Writer, tests []Test) error {
	matrix := fill(tests)
	var b strings.Builder
	writeHead(&b, matrix)
	writeMatrix(&b, matrix)
	writeImpossible(&b, matrix)
	writePairs(&b, tests)
	writeTests(&b, tests)
	_, err := io.WriteString(w, b.String())
	return err
}

// fill computes the state of every cell: a failing test outweighs all, then a
// test whose guard was shown to matter, then one whose guard was not tried, then
// the reason why there can be none.
func fill(tests []Test) map[key]state {
	matrix := map[key]state{}
	for _, promise := range proof.Promises {
		for _, fault := range proof.Faults {
			if proof.NotApplicable(promise, fault) != "" {
				matrix[key{promise, fault}] = impossible
			}
		}
	}
	for _, test := range tests {
		for _, cell := range test.Cells {
			for _, fault := range cell.Faults {
				at := key{cell.Promise, fault}
				matrix[at] = worse(matrix[at], cellState(test, cell))
			}
		}
	}
	return matrix
}

// cellState is the state that one test gives a cell.
func cellState(test Test, cell proof.Cell) state {
	switch {
	case !test.Passed:
		return failing
	case cell.Guard == "":
		return unguarded
	default:
		return proved
	}
}

// worse joins the states that two tests give the same cell.
func worse(a, b state) state {
	if a == failing || b == failing {
		return failing
	}
	return max(a, b)
}

func writeHead(b *strings.Builder, matrix map[key]state) {
	counts := map[state]int{}
	for _, promise := range proof.Promises {
		for _, fault := range proof.Faults {
			counts[matrix[key{promise, fault}]]++
		}
	}
	b.WriteString("# What is proved, and by which test\n\n")
	b.WriteString("Made from the tests' own log; do not edit. Make it anew with\n")
	b.WriteString("`go test -count=1 -json ./... | go run ./cmd/lilackeel-proof > docs/PROOF.md`.\n\n")
	b.WriteString("A cell says *yes* when a test that brings about this fault passed and was shown to fail with its guard\n")
	b.WriteString("taken out, *(yes)* when the test passed but no guard was taken out, *FAILS* when a test failed, and – when\n")
	b.WriteString("nothing proves it. A – is not a claim that the promise breaks; it says that no test shows that it holds.\n")
	b.WriteString("*n/a* marks a fault that cannot touch the promise, for the reason given below.\n\n")
	fmt.Fprintf(b, "Cells: %d proved, %d passed without a guard taken out, %d failing, %d not proved, %d not applicable.\n\n",
		counts[proved], counts[unguarded], counts[failing], counts[notProved], counts[impossible])
}

func writeMatrix(b *strings.Builder, matrix map[key]state) {
	b.WriteString("| fault |")
	for _, promise := range proof.Promises {
		fmt.Fprintf(b, " %s |", promise)
	}
	b.WriteString("\n|---|" + strings.Repeat("---|", len(proof.Promises)) + "\n")
	for _, fault := range proof.Faults {
		fmt.Fprintf(b, "| %s |", fault)
		for _, promise := range proof.Promises {
			fmt.Fprintf(b, " %s |", marks[matrix[key{promise, fault}]])
		}
		b.WriteString("\n")
	}
}

// writeImpossible gives the reasons of the cells that are not applicable.
func writeImpossible(b *strings.Builder, matrix map[key]state) {
	b.WriteString("\nNot applicable:\n\n")
	for _, promise := range proof.Promises {
		for _, fault := range proof.Faults {
			if matrix[key{promise, fault}] == impossible {
				fmt.Fprintf(b, "- %s, %s: %s.\n", promise, fault, proof.NotApplicable(promise, fault))
			}
		}
	}
}

// writePairs counts the pairs of faults that come together in one test that
// passed and whose guard was shown to matter.
func writePairs(b *strings.Builder, tests []Test) {
	pairs := map[proof.Promise]map[[2]proof.Fault]bool{}
	for _, test := range tests {
		for _, cell := range test.Cells {
			if cell.Combined && cellState(test, cell) == proved {
				addPairs(pairs, cell)
			}
		}
	}
	all := len(proof.Faults) * (len(proof.Faults) - 1) / 2
	fmt.Fprintf(b, "\nPairs of different faults that come in one proved test, of %d:\n\n| promise | pairs |\n|---|---|\n", all)
	for _, promise := range proof.Promises {
		fmt.Fprintf(b, "| %s | %d |\n", promise, len(pairs[promise]))
	}
}

// addPairs adds the pairs of a cell, each in the order of the page.
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
			fmt.Fprintf(b, "| `%s`%s | %s | %s | %s | %s |\n", test.Name, outcome(test), cell.Promise,
				faults(cell), cell.Step, guard(cell))
		}
	}
}

func outcome(test Test) string {
	if test.Passed {
		return ""
	}
	return " **FAILS**"
}

func guard(cell proof.Cell) string {
	if cell.Guard == "" {
		return "not tried"
	}
	return cell.Guard
}

// faults lists the faults of a cell, with how they come.
func faults(cell proof.Cell) string {
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
