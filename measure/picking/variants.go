package picking

import (
	"time"

	"github.com/lilackeel/lilackeel/endpoint/pick"
)

// kvLink is the link over which engines move cached prefixes: 70 kB a token
// at 2 GB/s, 5 ms for the orders.
func kvLink() *pick.Import {
	return &pick.Import{Overhead: 5 * time.Millisecond, TokenBytes: 70e3, Bandwidth: 2e9}
}

// noEjection is a share of which no whole endpoint is made.
const noEjection = 1e-6

// faultVariants are the policy without what is there for a fault, in the
// scenario with that fault.
func faultVariants() []*job {
	noSurprise := lilackeel()
	noSurprise.name = "no surprise at first tokens"
	noSurprise.load.PredictionErrorTTL = -1
	keepAll := lilackeel()
	keepAll.name = "no ejection"
	keepAll.outlier.MaxEjected = noEjection
	var jobs []*job
	for _, sc := range scenarios() {
		if sc.fault == nil {
			continue
		}
		p := keepAll
		if sc.name == liarName {
			p = noSurprise
		}
		jobs = append(jobs, &job{scenario: sc, policy: p, seeds: seedsPerFigure})
	}
	return jobs
}

// variants are the entry's policy with one decision changed each.
func variants() []policy {
	var all []policy
	add := func(name string, change func(p *policy)) {
		p := lilackeel()
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
