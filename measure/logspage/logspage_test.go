package logspage

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	root = "../.."
	page = root + "/docs/LOGS.md"
)

// The page lists every event of the daemons with its level and fields, and no
// other.
func TestPageListsWhatTheDaemonsLog(t *testing.T) {
	is := is.New(t)
	events, err := Events(root)
	is.NoErr(err)
	is.True(len(events) > 50)
	text, err := os.ReadFile(page)
	is.NoErr(err)
	is.Equal(strings.Join(Differences(events, ParsePage(string(text))), "\n"), "")
}

// Each kind of disagreement is reported.
func TestDifferences(t *testing.T) {
	is := is.New(t)
	events := []Event{
		{Message: "leading", Level: "INFO", Fields: []string{"term"}},
		{Message: "leading", Level: "INFO", Fields: []string{"fence"}},
		{Message: "lost", Level: "WARN", Fields: []string{"error"}},
		{Message: "new", Level: "INFO"},
		{Message: "open", Level: "", HasUnnamedFields: true},
	}
	listed := ParsePage("| `leading` | `INFO` | control | `fence`, `term` | x |\n| `lost` | `INFO` | control | `error`, `peer` | x |\n" +
		"| `gone` | `INFO` | control | | x |\n| `open` | `WARN`, `INFO` | entry | `a` | x |\n")
	is.Equal(Differences(events, listed), []string{
		`"lost" has the levels [WARN] in the code and [INFO] on the page`,
		`"lost" has the fields [error] in the code and [error peer] on the page`,
		`"new" is in the code and not on the page`,
		`"gone" is on the page and not in the code`,
	})
}
