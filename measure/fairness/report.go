package fairness

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/gravitational/trace"
)

// table is the result of one scenario.
type table struct {
	name    string
	title   string
	columns []string
	rows    [][]string
}

// add appends a row; floating-point numbers are rounded to three significant
// digits.
func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
		if number, ok := cell.(float64); ok {
			row[i] = fmt.Sprintf("%.3g", number)
		}
	}
	t.rows = append(t.rows, row)
}

// writeMarkdown writes the table to w in Markdown.
func (t *table) writeMarkdown(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "\n### %s\n\n", t.title)
	fmt.Fprintf(&text, "| %s |\n", strings.Join(t.columns, " | "))
	fmt.Fprintf(&text, "|%s\n", strings.Repeat(" --- |", len(t.columns)))
	for _, row := range t.rows {
		fmt.Fprintf(&text, "| %s |\n", strings.Join(row, " | "))
	}
	_, err := io.WriteString(w, text.String())
	return trace.Wrap(err)
}

// writeCSV writes the table to a CSV file in dir.
func (t *table) writeCSV(dir string) error {
	file, err := os.Create(filepath.Join(dir, t.name+".csv"))
	if err != nil {
		return trace.Wrap(err)
	}
	writer := csv.NewWriter(file)
	if err := writer.WriteAll(append([][]string{t.columns}, t.rows...)); err != nil {
		_ = file.Close()
		return trace.Wrap(err)
	}
	return trace.Wrap(file.Close())
}
