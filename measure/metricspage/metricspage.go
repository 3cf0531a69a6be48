// Package metricspage compares docs/METRICS.md with the metrics that are declared
// in the source tree, so that the page stays complete and correct.
package metricspage

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// Metrics maps the names of metrics to their sorted label names.
type Metrics map[string][]string

// prefix is the common prefix of the names of lilackeel's metrics.
const prefix = "lilackeel_"

var (
	// metricLiteral matches a string that starts with the name of a metric, and
	// captures the name and the text after the opening brace of the labels.
	metricLiteral = regexp.MustCompile(`^(` + prefix + `[a-z0-9_]+)(?:\{(.*))?$`)
	// labelName matches a label name in the text after the brace.
	labelName = regexp.MustCompile(`([a-z0-9_]+)=`)
	// tableRow matches a row of the tables of the page, whose columns are name,
	// type, unit, labels and meaning.
	tableRow = regexp.MustCompile("^\\| `(" + prefix + "[a-z0-9_]+)` \\|[^|]*\\|[^|]*\\|([^|]*)\\|")
	// codeSpan matches a label name in backquotes on the page.
	codeSpan = regexp.MustCompile("`([a-z0-9_]+)`")
)

// ParseSource returns the metrics that are named in string literals of the Go files
// under root. Tests, generated protobuf code and this package are skipped.
func ParseSource(root string) (Metrics, error) {
	found := Metrics{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			return skipDir(entry.Name())
		}
		if !isSource(path) {
			return nil
		}
		return found.addFile(path)
	})
	return found, trace.Wrap(err)
}

// skipDir returns filepath.SkipDir for this package, testdata and hidden directories.
func skipDir(name string) error {
	if name == "metricspage" || name == "testdata" || len(name) > 1 && name[0] == '.' && name != ".." {
		return filepath.SkipDir
	}
	return nil
}

func isSource(path string) bool {
	generated := strings.HasSuffix(path, ".pb.go")
	return strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") && !generated
}

// addFile adds the metrics that are declared in one file.
func (m Metrics) addFile(path string) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	ast.Inspect(file, func(node ast.Node) bool {
		if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
			m.addLiteral(literal.Value)
		}
		return true
	})
	return nil
}

func (m Metrics) addLiteral(quoted string) {
	text, err := strconv.Unquote(quoted)
	if err != nil {
		return
	}
	match := metricLiteral.FindStringSubmatch(text)
	if match == nil {
		return
	}
	m.add(match[1], labelName.FindAllStringSubmatch(match[2], -1))
}

// ParsePage returns the metrics that are listed in the tables of a page.
func ParsePage(page string) Metrics {
	found := Metrics{}
	for line := range strings.Lines(page) {
		if match := tableRow.FindStringSubmatch(line); match != nil {
			found.add(match[1], codeSpan.FindAllStringSubmatch(match[2], -1))
		}
	}
	return found
}

// add adds a metric, or adds labels to it. The label name is the first submatch of
// each element of labels.
func (m Metrics) add(name string, labels [][]string) {
	names := m[name]
	for _, label := range labels {
		names = append(names, label[1])
	}
	slices.Sort(names)
	m[name] = slices.Compact(names)
}

// Differences describes the differences between the source tree and the page, one
// per element, sorted.
func Differences(declared, documented Metrics) []string {
	var lines []string
	for name, labels := range declared {
		documentedLabels, ok := documented[name]
		switch {
		case !ok:
			lines = append(lines, fmt.Sprintf("%s is in the code and not on the page", name))
		case !slices.Equal(labels, documentedLabels):
			lines = append(lines, fmt.Sprintf("%s has the labels %v in the code and %v on the page", name, labels, documentedLabels))
		}
	}
	for name := range documented {
		if _, ok := declared[name]; !ok {
			lines = append(lines, fmt.Sprintf("%s is on the page and not in the code", name))
		}
	}
	slices.Sort(lines)
	return lines
}
