package picking

import "time"

// Parameters of the injected faults.
const (
	// stalledSlowdown is the factor by which the compute time of a stalled rank is
	// longer than usual.
	stalledSlowdown = 6
	// slowEngineSlowdown is the same factor for a slow stand-alone engine.
	slowEngineSlowdown = 4
)

// falseReportName is the name of the scenario in which an endpoint falsely reports
// that it has no load.
const falseReportName = "an endpoint that lies"

// baseScenario returns a fleet of four groups of 16 ranks that is used by 32 entries.
// A load report is 1 s old when it arrives and 1.25 s old when the next one arrives.
func baseScenario() scenario {
	return scenario{
		name: "reports 1 s old", groups: 4, ranks: 16, entries: 32,
		workload: workload{
			callsPerSecond: 300, duration: 28 * time.Second, workspaces: 24, zipfExponent: 0.8,
			maxSystemBlocks: 24, meanTurns: 5, meanThinkTime: 6 * time.Second, adapters: 6, adapterEvery: 3,
		},
		cacheBlocks:    2000,
		reportInterval: 250 * time.Millisecond, reportLag: time.Second,
		eventLag: 300 * time.Millisecond, eventLossRate: 0.005,
		warmUp: 8 * time.Second,
	}
}

// scenarios returns the scenarios of the main comparison.
func scenarios() []scenario {
	fresh := baseScenario()
	fresh.name = "reports 0.1 s old"
	fresh.reportInterval, fresh.reportLag = 100*time.Millisecond, 50*time.Millisecond

	stalled := baseScenario()
	stalled.name = "a stalled rank"
	stalled.injectFault = func(r *rank) { r.slowdown = stalledSlowdown }

	slow := baseScenario()
	slow.name = "a slow endpoint"
	slow.groups, slow.ranks = 64, 1
	slow.injectFault = func(r *rank) { r.slowdown = slowEngineSlowdown }

	falseReport := baseScenario()
	falseReport.name = falseReportName
	falseReport.groups, falseReport.ranks = 64, 1
	falseReport.injectFault = func(r *rank) { r.reportsIdle = true }

	return []scenario{baseScenario(), fresh, stalled, slow, falseReport}
}
