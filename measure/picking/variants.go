package picking

import (
	"time"

	"github.com/lilackeel/lilackeel/endpoint/pick"
)

// kvLink returns the cost of moving cached prefixes between engines: 70 kB per token
// at 2 GB/s, plus 5 ms for the orders.
func kvLink() *pick.Import {
	return &pick.Import{Overhead: 5 * time.Millisecond, TokenBytes: 70e3, Bandwidth: 2e9}
}

// noEjectionShare is a value of MaxEjected that rounds down to zero endpoints; zero
// itself selects the default.
const noEjectionShare = 1e-6

// faultVariants returns, for each scenario with a fault, a job in which the policy
// lacks the mechanism that handles this fault.
func faultVariants() []*job {
	noPredictionErrors := lilackeelPolicy()
	noPredictionErrors.name = "no surprise at first tokens"
	noPredictionErrors.load.PredictionErrorTTL = -1
	noEjection := lilackeelPolicy()
	noEjection.name = "no ejection"
	noEjection.outlier.MaxEjected = noEjectionShare
	var jobs []*job
	for _, sc := range scenarios() {
		if sc.injectFault == nil {
			continue
		}
		p := noEjection
		if sc.name == falseReportName {
			p = noPredictionErrors
		}
		jobs = append(jobs, &job{scenario: sc, policy: p, seeds: seedsPerResult})
	}
	return jobs
}

// policyVariants returns the entry's policy and variants of it that differ in one
// setting each.
func policyVariants() []policy {
	var all []policy
	add := func(name string, change func(p *policy)) {
		p := lilackeelPolicy()
		p.name = name
		change(&p)
		all = append(all, p)
	}
	add("as it stands", func(*policy) {})
	add("means in place of draws", func(p *policy) { p.pick.StdDevScale = -1 })
	add("reports believed as they are", func(p *policy) { p.load.DecayTime = -1 })
	add("memory fixed at 2 s", func(p *policy) { p.load.DecayTime = 2 * time.Second })
	add("memory fixed at 0.3 s", func(p *policy) { p.load.DecayTime = 300 * time.Millisecond })
	add("no surprise at first tokens", func(p *policy) { p.load.PredictionErrorTTL = -1 })
	add("no prefix expected before events", func(p *policy) { p.prefix.SentTTL = -1 })
	add("no skew score", func(p *policy) { p.pick.SkewWeight = -1 })
	add("skew score times 5", func(p *policy) { p.pick.SkewWeight = 5 * pick.DefaultSkewWeight })
	add("no shard", func(p *policy) { p.pick.ShardSize = -1 })
	add("4 candidates", func(p *policy) { p.pick.Candidates = 4 })
	add("16 candidates", func(p *policy) { p.pick.Candidates = 16 })
	add("all 64 as candidates", func(p *policy) { p.pick.Candidates = 64 })
	add("prefixes moved at 2 GB/s", func(p *policy) { p.pick.Import = kvLink() })
	return all
}
