package rankhost

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The reports of a host stay within maxReportsPerSecond: at the requested interval with the 5 and
// 14 entries of the smaller deployments, at a longer one with 36.
func TestReportIntervalGrowsWithReaders(t *testing.T) {
	is := is.New(t)
	const requested = 100 * time.Millisecond
	is.Equal(reportInterval(requested, 5), requested)
	is.Equal(reportInterval(requested, 14), requested)
	is.Equal(reportInterval(requested, 36), 225*time.Millisecond)
	is.Equal(reportInterval(0, 1), defaultReportInterval)
	is.Equal(reportInterval(time.Millisecond, 1), minReportInterval)
}
