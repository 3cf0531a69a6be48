package page

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const testLog = `{"Action":"output","Package":"github.com/lilackeel/lilackeel/gate","Test":"TestA","Output":"x.go:1: proof-cell {\"promise\":\"not run is true\",\"faults\":[\"kill\"],\"step\":\"s\",\"guard\":\"g\"}\n"}
{"Action":"pass","Package":"github.com/lilackeel/lilackeel/gate","Test":"TestA"}
{"Action":"output","Package":"github.com/lilackeel/lilackeel/gate","Test":"TestB","Output":"x.go:1: proof-cell {\"promise\":\"not run is true\",\"faults\":[\"freeze, late wake-up\"],\"step\":\"s\",\"guard\":\"g\"}\n"}
{"Action":"fail","Package":"github.com/lilackeel/lilackeel/gate","Test":"TestB"}
`

// A failed test must be shown as failing: the page must not claim what did not pass.
func TestFailedTestIsNotProved(t *testing.T) {
	is := is.New(t)
	tests, err := Read(strings.NewReader(testLog))
	is.NoErr(err)
	var page strings.Builder
	is.NoErr(Write(&page, tests))
	is.True(strings.Contains(page.String(), "Cells: 1 proved, 0 passed without a guard removed, 1 failing"))
	is.True(strings.Contains(page.String(), "| stalled rank | – | – | – | n/a |"))
	is.True(strings.Contains(page.String(), "`gate.TestB` **FAILS**"))
}
