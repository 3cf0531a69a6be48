package picking

import "time"

// targetScenario returns a fleet of the target size: 39 groups of 64 ranks, 37,000
// workspaces and 2,300 calls per second, simulated for a few seconds. The calls arrive
// at 4 entries, a tenth of the target's 40, so each entry dispatches, and therefore
// knows of, a larger share of the calls than it would at the target.
func targetScenario() scenario {
	sc := baseScenario()
	sc.name = "the target"
	sc.groups, sc.ranks, sc.entries = 39, 64, 4
	sc.workload.callsPerSecond = 2300
	sc.workload.duration = 9 * time.Second
	sc.workload.workspaces = 37000
	sc.workload.meanTurns, sc.workload.meanThinkTime = 4, 2*time.Second
	sc.warmUp = 4 * time.Second
	return sc
}

// targetJobs returns the jobs at the target size.
func targetJobs() []*job {
	var jobs []*job
	for _, p := range comparedPolicies() {
		switch p.name {
		case "round robin", "least requests", lilackeelName:
		default:
			continue
		}
		p.prefix.Entries = 1 << 20
		jobs = append(jobs, &job{scenario: targetScenario(), policy: p, seeds: 1})
	}
	return jobs
}
