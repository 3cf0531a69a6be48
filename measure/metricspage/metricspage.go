// Package metricspage compares docs/METRICS.md with the metrics that the source
// tree declares, so that the page stays complete and true.
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

// Metrics maps the name of a metric to its label names, sorted.
type Metrics map[string][]string

// prefix starts the name of every metric of lilackeel's own.
const prefix = "lilackeel_"

var (
	// declaration matches a literal that starts with the name of a metric, and
	// what stands between the braces after it.
	declaration = regexp.MustCompile(`^(` + prefix + `[a-z0-9_]+)(?:\{(.*))?$`)
	// labelName matches a label name in a declaration.
	labelName = regexp.MustCompile(`([a-z0-9_]+)=`)
	// tableRow matches a row of the page: name, type, unit, labels, meaning.
	tableRow = regexp.MustCompile("^\\| `(" + prefix + "[a-z0-9_]+)` \\|[^|]*\\|[^|]*\\|([^|]*)\\|")
	// codeSpan matches one label name in the page.
	codeSpan = regexp.MustCompile("`([a-z0-9_]+)`")
)

// Declared returns the metrics in the string literals of the Go files under
// root. Tests, generated messages and this package are left out.
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

// skipDir leaves out this package and what is no part of the source.
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

// addFile adds the metrics that one file declares.
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
	match := declaration.FindStringSubmatch(text)
	if match == nil {
		return
	}
	m.add(match[1], labelName.FindAllStringSubmatch(match[2], -1))
}

// Listed returns the metrics that the tables of a page list.
func ParsePage(page string) Metrics {
	found := Metrics{}
	for line := range strings.Lines(page) {
		if match := tableRow.FindStringSubmatch(line); match != nil {
			found.add(match[1], codeSpan.FindAllStringSubmatch(match[2], -1))
		}
	}
	return found
}

// add adds a metric and the labels that were matched.
func (m Metrics) add(name string, labels [][]string) {
	names := m[name]
	for _, label := range labels {
		names = append(names, label[1])
	}
	slices.Sort(names)
	m[name] = slices.Compact(names)
}

// Differences says, line by line and sorted, where the page and the source tree
// disagree.
func Differences(declared, listed Metrics) []string {
	var lines []string
	for name, labels := range declared {
		onPage, known := listed[name]
		switch {
		case !known:
			lines = append(lines, fmt.Sprintf("%s is in the code and not on the page", name))
		case !slices.Equal(labels, onPage):
			lines = append(lines, fmt.Sprintf("%s has the labels %v in the code and %v on the page", name, labels, onPage))
		}
	}
	for name := range listed {
		if _, known := declared[name]; !known {
			lines = append(lines, fmt.Sprintf("%s is on the page and not in the code", name))
		}
	}
	slices.Sort(lines)
	return lines
}
