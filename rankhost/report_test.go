package rankhost

import (
	"testing"
	"time"

	"github.com/matryer/is"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
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

// Guards against a slow engine without calls, whose load does not change, that counts as nominal at
// the entries two seconds after its only report.
func TestReportOfASlowEngineIsRenewed(t *testing.T) {
	is := is.New(t)
	report := func(slowdown float64) *agentv1.Report {
		return &agentv1.Report{Loads: []*agentv1.LoadReport{{Slowdown: slowdown}}}
	}
	is.True(renewsSlowdown(report(2.26), slowdownRenewal))
	is.True(!renewsSlowdown(report(2.26), slowdownRenewal/2))
	is.True(!renewsSlowdown(report(1), time.Hour))
	is.True(!renewsSlowdown(report(0), time.Hour))
}
