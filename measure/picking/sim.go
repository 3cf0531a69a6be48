package picking

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/endpoint/pick"
	"github.com/lilackeel/lilackeel/endpoint/prefix"
)

const (
	poolName  = "lilackeel-pool"
	modelName = "draft"
	zones     = 3
)

// scenario describes a fleet, its workload and the fault to inject.
type scenario struct {
	name string
	// groups is the number of groups, ranks the number of ranks in each. If ranks is
	// one, the engines are stand-alone.
	groups, ranks int
	entries       int
	workload      workload
	// cacheBlocks is the capacity of an engine's prefix cache in blocks.
	cacheBlocks int
	// reportInterval is the time between load reports, reportLag their age on
	// arrival.
	reportInterval, reportLag time.Duration
	// eventLag is the mean delay of cache events, eventLossRate the fraction of them
	// that is lost.
	eventLag      time.Duration
	eventLossRate float64
	// warmUp is the initial period whose calls are not counted. injectFault, if not
	// nil, is applied to the first rank at its end.
	warmUp      time.Duration
	injectFault func(r *rank)
}

// publishInterval is the time between the cache events of an engine.
const publishInterval = 200 * time.Millisecond

// sim is a simulation of one policy in one scenario.
type sim struct {
	scenario
	seed       uint64
	policy     policy
	clock      clock
	networkRNG *rand.Rand
	table      *endpoint.Table
	groups     []*rankGroup
	ranks      []*rank
	byID       map[string]*rank
	entries    []*entry
	metrics    metrics
	// reportedCalls is the number of running and waiting calls in the last report
	// that arrived, by endpoint ID.
	reportedCalls map[string]int
}

func newSim(sc scenario, p policy, seed uint64) *sim {
	s := &sim{
		scenario: sc, seed: seed, policy: p,
		networkRNG: rand.New(rand.NewPCG(seed, 0x11)),
		table:      endpoint.NewTable(), byID: map[string]*rank{}, reportedCalls: map[string]int{},
	}
	s.metrics.sim = s
	var records []endpoint.Endpoint
	for g := range sc.groups {
		group := &rankGroup{sim: s}
		for i := range sc.ranks {
			r := s.newRank(group, g, i)
			group.ranks = append(group.ranks, r)
			s.ranks = append(s.ranks, r)
			s.byID[r.record.ID] = r
			records = append(records, r.record)
		}
		s.groups = append(s.groups, group)
	}
	s.table.Replace(records)
	for i := range sc.entries {
		s.entries = append(s.entries, newEntry(s, i))
	}
	return s
}

func (s *sim) newRank(group *rankGroup, g, i int) *rank {
	record := endpoint.Endpoint{
		ID:   fmt.Sprintf("engine-%03d-%02d", g, i),
		Zone: zoneName(g), Pool: poolName, Model: modelName, Rank: i, Slots: engineSlots, Revision: 1,
	}
	if s.scenario.ranks > 1 {
		record.Group = fmt.Sprintf("group-%03d", g)
	}
	for a := range s.workload.adapters {
		record.Adapters = append(record.Adapters, adapterName(a))
	}
	return &rank{
		record: record, group: group, cache: newBlockCache(s.cacheBlocks), slowdown: 1,
		stepTime: stepBase, ownStep: stepBase, prefillRate: maxChunkTokens / (stepBase + maxChunkTokens*stepPerToken).Seconds(),
	}
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i%zones) }

// run simulates the scenario with the given arrivals and returns the metrics. Each
// call arrives at a random entry.
func (s *sim) run(arrivals []*arrival) *metrics {
	for _, a := range arrivals {
		s.clock.after(a.at, func() { s.entries[s.networkRNG.IntN(len(s.entries))].handleArrival(a) })
	}
	if s.injectFault != nil {
		s.clock.after(s.warmUp, func() { s.injectFault(s.ranks[0]) })
	}
	s.every(s.reportInterval, s.sendReports)
	s.every(publishInterval, s.publishCacheEvents)
	s.every(time.Second, s.tick)
	s.clock.runUntil(s.workload.duration)
	for end := s.workload.duration + maxDrainTime; s.clock.now < end && s.metrics.outstanding() > 0; {
		s.clock.runUntil(s.clock.now + time.Second)
	}
	s.metrics.recordUnserved(s.workload.duration + maxDrainTime)
	return &s.metrics
}

// maxDrainTime is the maximum time for which a run continues after the end of the
// arrivals.
const maxDrainTime = 20 * time.Second

// every runs f at each multiple of d in virtual time.
func (s *sim) every(d time.Duration, f func()) {
	var repeat func()
	repeat = func() {
		f()
		s.clock.after(d, repeat)
	}
	s.clock.after(d, repeat)
}

// tick ends a window of the metrics and updates the outlier detectors; it runs once
// per second.
func (s *sim) tick() {
	s.metrics.closeWindow(s)
	for _, e := range s.entries {
		e.outliers.Tick(s.clock.now)
	}
}

// sendReports takes a load report of every rank; it reaches all entries after
// reportLag.
func (s *sim) sendReports() {
	if !s.policy.usesReports {
		return
	}
	reports := make([]load.Report, len(s.ranks))
	for i, r := range s.ranks {
		reports[i] = r.report()
	}
	s.clock.after(s.reportLag, func() {
		for i, r := range s.ranks {
			reports[i].Age = s.reportLag
			s.reportedCalls[r.record.ID] = reports[i].Running + reports[i].Waiting
			for _, e := range s.entries {
				e.handleReport(r, reports[i])
			}
		}
	})
}

// report returns the rank's load report.
func (r *rank) report() load.Report {
	report := load.Report{
		Running: len(r.running), Waiting: len(r.waiting) + len(r.prefills),
		PrefillRate: r.prefillRate, StepTime: r.stepTime, OwnStep: r.ownStep,
		Adapters: append([]string(nil), r.adapters...),
	}
	for _, c := range r.prefills {
		report.PrefillTokens += c.prefillLeft
	}
	for _, c := range r.waiting {
		report.PrefillTokens += c.promptTokens - r.cache.matchPrefix(c.prompt)*blockTokens
	}
	if r.reportsIdle {
		report.Running, report.Waiting, report.PrefillTokens = 0, 0, 0
	}
	return report
}

// publishCacheEvents sends the cache events of all ranks to the entries. Each event
// has a random delay.
func (s *sim) publishCacheEvents() {
	if !s.policy.usesIndex {
		return
	}
	for _, r := range s.ranks {
		stored, removed := r.cache.takeChanges()
		if len(stored)+len(removed) == 0 {
			continue
		}
		r.eventSeq++
		e := prefix.Event{Endpoint: r.record.ID, Incarnation: 1, Seq: r.eventSeq, Stored: stored, Removed: removed}
		lag := seconds(s.eventLag.Seconds() * (0.5 + s.networkRNG.ExpFloat64()/2))
		s.clock.after(lag, func() { s.deliverCacheEvent(e) })
	}
}

// deliverCacheEvent applies the event at each entry, unless it is lost there.
func (s *sim) deliverCacheEvent(e prefix.Event) {
	for _, receiver := range s.entries {
		if s.networkRNG.Float64() >= s.eventLossRate {
			receiver.index.Apply(s.clock.now, e)
		}
	}
}

// startImport sets the number of blocks that the call imports, if the picker
// requested an import, and returns the time that the transfer takes. Only the blocks
// that the source still caches are imported.
func (s *sim) startImport(c *call, explain pick.Explain) time.Duration {
	if explain.ImportFrom == "" {
		return 0
	}
	heldBlocks := s.byID[explain.ImportFrom].cache.matchPrefix(c.prompt)
	c.importedBlocks = min(heldBlocks, explain.ImportBlocks)
	localBlocks := c.attempt.rank.cache.matchPrefix(c.prompt)
	cost := s.policy.pick.Import
	s.metrics.imports++
	bytes := float64(max(c.importedBlocks-localBlocks, 0)*blockTokens) * cost.TokenBytes
	return cost.Overhead + seconds(bytes/cost.Bandwidth)
}
