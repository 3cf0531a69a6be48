package rankhost

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestManyReadersShareTheReports keeps what a host sends within its budget: as asked with the
// 5 and 14 entries of the smaller deployments, more rarely with 36.
func TestManyReadersShareTheReports(t *testing.T) {
	is := is.New(t)
	const asked = 100 * time.Millisecond
	is.Equal(reportInterval(asked, 5), asked)
	is.Equal(reportInterval(asked, 14), asked)
	is.Equal(reportInterval(asked, 36), 225*time.Millisecond)
	is.Equal(reportInterval(0, 1), defaultReport)
	is.Equal(reportInterval(time.Millisecond, 1), leastReport)
}
