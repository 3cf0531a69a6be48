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

// TestPageMatchesLoggedEvents checks that the page lists every event that the daemons
// log, with its levels and fields, and no others.
func TestPageMatchesLoggedEvents(t *testing.T) {
	is := is.New(t)
	events, err := Events(root)
	is.NoErr(err)
	is.True(len(events) > 50)
	text, err := os.ReadFile(page)
	is.NoErr(err)
	is.Equal(strings.Join(Differences(events, ParsePage(string(text))), "\n"), "")
}

// TestDifferences checks that each kind of difference is reported.
func TestDifferences(t *testing.T) {
	is := is.New(t)
	events := []Event{
		{Message: "leading", Level: "INFO", Fields: []string{"term"}},
		{Message: "leading", Level: "INFO", Fields: []string{"fence"}},
		{Message: "lost", Level: "WARN", Fields: []string{"error"}},
		{Message: "new", Level: "INFO"},
		{Message: "open", Level: "", HasUnnamedFields: true},
	}
	documented := ParsePage("| `leading` | `INFO` | control | `fence`, `term` | x |\n| `lost` | `INFO` | control | `error`, `peer` | x |\n" +
		"| `gone` | `INFO` | control | | x |\n| `open` | `WARN`, `INFO` | entry | `a` | x |\n")
	is.Equal(Differences(events, documented), []string{
		`"lost" has the levels [WARN] in the code and [INFO] on the page`,
		`"lost" has the fields [error] in the code and [error peer] on the page`,
		`"new" is in the code and not on the page`,
		`"gone" is on the page and not in the code`,
	})
}
