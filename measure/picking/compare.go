package picking

import "sync"

const (
	// seedsPerResult is the number of runs, each with its own seed, whose mean is
	// reported.
	seedsPerResult = 3
	// workers is the maximum number of concurrent runs.
	workers = 4
)

// job is the measurement of one policy in one scenario.
type job struct {
	scenario scenario
	policy   policy
	seeds    int
	// runs has one result for each seed; mean is their mean.
	runs []summary
	mean summary
}

// runJobs runs all jobs, each with its number of seeds. The results do not depend on
// the number of concurrent runs.
func runJobs(seed uint64, jobs []*job) {
	semaphore := make(chan struct{}, workers)
	var wg sync.WaitGroup
	for _, j := range jobs {
		j.runs = make([]summary, j.seeds)
		for i := range j.runs {
			semaphore <- struct{}{}
			wg.Go(func() {
				j.runs[i] = runOnce(j.scenario, j.policy, seed+uint64(i))
				<-semaphore
			})
		}
	}
	wg.Wait()
	for _, j := range jobs {
		for _, run := range j.runs {
			j.mean.addScaled(run, 1/float64(j.seeds))
		}
	}
}

// runOnce simulates one policy in one scenario. The arrivals depend only on the
// scenario and the seed.
func runOnce(sc scenario, p policy, seed uint64) summary {
	return newSim(sc, p, seed).run(sc.workload.generateArrivals(seed)).summarize()
}

// compareJobs returns the jobs of the main comparison.
func compareJobs() []*job {
	var jobs []*job
	for _, sc := range scenarios() {
		for _, p := range comparedPolicies() {
			jobs = append(jobs, &job{scenario: sc, policy: p, seeds: seedsPerResult})
		}
	}
	return jobs
}

// variantJobs returns the jobs for the variants of the entry's policy.
func variantJobs() []*job {
	var jobs []*job
	for _, p := range policyVariants() {
		jobs = append(jobs, &job{scenario: baseScenario(), policy: p, seeds: seedsPerResult})
	}
	return append(jobs, faultVariants()...)
}
