package metricspage

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	root = "../.."
	page = root + "/docs/METRICS.md"
)

// TestPageMatchesDeclaredMetrics checks that the page lists every metric of the source
// tree with its labels, and no others.
func TestPageMatchesDeclaredMetrics(t *testing.T) {
	is := is.New(t)
	declared, err := ParseSource(root)
	is.NoErr(err)
	is.True(len(declared) > 0)
	text, err := os.ReadFile(page)
	is.NoErr(err)
	is.Equal(strings.Join(Differences(declared, ParsePage(string(text))), "\n"), "")
}

// TestDifferences checks that each kind of difference is reported.
func TestDifferences(t *testing.T) {
	is := is.New(t)
	declared := Metrics{}
	declared.addLiteral("`lilackeel_a_total{kind=\"`")
	declared.addLiteral(`"lilackeel_b"`)
	declared.addLiteral(`"no lilackeel_c metric"`)
	documented := ParsePage("| `lilackeel_a_total` | counter | x | `other` | y |\n| `lilackeel_d` | gauge | x | | y |\n")
	is.Equal(Differences(declared, documented), []string{
		"lilackeel_a_total has the labels [kind] in the code and [other] on the page",
		"lilackeel_b is in the code and not on the page",
		"lilackeel_d is on the page and not in the code",
	})
}
