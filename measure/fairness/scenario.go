package fairness

import (
	"fmt"
	"math"
	"time"

	"github.com/lilackeel/lilackeel/workspace"
)

// regularWorkspaces is the number of workspaces that send a steady load.
const regularWorkspaces = 9

// floodVariant is one configuration of the flood scenario.
type floodVariant struct {
	name string
	// slots is the number of requests that can run at once.
	slots int
	// guaranteed is the guaranteed share of each regular workspace.
	guaranteed float64
	// meanRunTime is the mean run time of the flooding workspace's requests.
	meanRunTime time.Duration
}

// The flood lasts from floodBegin to floodEnd.
const (
	floodBegin = 60 * time.Second
	floodEnd   = 120 * time.Second
)

// measureFlood measures how a flood from one workspace affects the latency of
// nine others, whose combined load occupies half of the slots.
func measureFlood(seed uint64) *table {
	result := &table{
		name:  "flood",
		title: "One workspace floods at four times the capacity; latency of the nine others",
		columns: []string{"policy", "variant", "slots", "p99 without flood, s", "p99 in flood, s",
			"p99 ratio, median run", "p99 ratio, worst run", "others refused", "slots in use in flood"},
	}
	for _, variant := range []floodVariant{
		{"no guarantees", slots, 0, time.Second},
		{"guaranteed 8% each", slots, 0.08, time.Second},
		{"no guarantees, flood of 5 s runs", slots, 0, 5 * time.Second},
		{"guaranteed 8% each, flood of 5 s runs", slots, 0.08, 5 * time.Second},
		{"no guarantees", smallPoolSlots, 0, time.Second},
		{"guaranteed 8% each", smallPoolSlots, 0.08, time.Second},
	} {
		for _, p := range policies {
			result.add(append([]any{p.name, variant.name, variant.slots}, variant.measure(seed, p)...)...)
		}
	}
	return result
}

// measure simulates the variant with and without the flood for each seed and
// returns the cells of its table row.
func (v floodVariant) measure(seed uint64, p namedPolicy) []any {
	capacity := float64(v.slots)
	limits := make(map[string]workspace.Limits)
	workloads := make([]workload, regularWorkspaces, regularWorkspaces+1)
	for i := range workloads {
		name := fmt.Sprint("branch-", i)
		limits[name] = workspace.Limits{GuaranteedShare: v.guaranteed}
		workloads[i] = workload{workspace: name, rate: capacity / 2 / regularWorkspaces, end: floodEnd + time.Minute, meanRunTime: time.Second}
	}
	withFlood := append(workloads, workload{
		workspace: "flooder", rate: 4 * capacity / v.meanRunTime.Seconds(), begin: floodBegin, end: floodEnd, meanRunTime: v.meanRunTime,
	})
	others := func(r *record) bool {
		return r.workspace != "flooder" && r.arrived >= floodBegin && r.arrived < floodEnd
	}
	var baselineP99s, floodP99s, ratios, refused, slotsInUse []float64
	for run := range uint64(seeds) {
		baseline := simulate(p.newPolicy(v.slots, limits), generateArrivals(seed+run, workloads), nil)
		flooded := simulate(p.newPolicy(v.slots, limits), generateArrivals(seed+run, withFlood), nil)
		baselineP99 := quantile(latencies(baseline.records, others), 0.99)
		floodP99 := quantile(latencies(flooded.records, others), 0.99)
		baselineP99s = append(baselineP99s, baselineP99)
		floodP99s = append(floodP99s, floodP99)
		ratios = append(ratios, floodP99/baselineP99)
		refused = append(refused, fraction(flooded.records, others, func(r *record) bool { return !r.ran }))
		slotsInUse = append(slotsInUse, slotSeconds(flooded.records, floodBegin, floodEnd, allRequests)/(capacity*(floodEnd-floodBegin).Seconds()))
	}
	return []any{
		quantile(baselineP99s, 0.5), quantile(floodP99s, 0.5),
		quantile(ratios, 0.5), quantile(ratios, 1),
		quantile(refused, 0.5), quantile(slotsInUse, 0.5),
	}
}

// measureReclaim measures how long a workspace takes to regain its guaranteed
// share from a workspace that has borrowed it, for several run times of the
// borrower's requests.
func measureReclaim(seed uint64) *table {
	const (
		guaranteed  = 0.4
		returnTime  = 60 * time.Second
		measureFrom = 30 * time.Second
	)
	result := &table{
		name:  "reclaim",
		title: "A workspace with a 40% guarantee resumes sending while another one has borrowed its slots",
		columns: []string{"policy", "mean run time of the borrower, s", "slots in use before",
			"time to the guaranteed share, median run, s", "worst run, s"},
	}
	limits := map[string]workspace.Limits{"owner": {GuaranteedShare: guaranteed}}
	unlimitedLending := namedPolicy{"lilackeel, lending without limit", func(slots int, limits map[string]workspace.Limits) policy {
		return newAdmissionPolicy(workspace.Config{MaxQueued: maxQueue, MaxWait: maxWait, ReclaimWithin: -1}, slots, limits)
	}}
	for _, runTime := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second} {
		workloads := []workload{
			{workspace: "borrower", rate: 4 * slots / runTime.Seconds(), end: returnTime + 10*time.Second, meanRunTime: runTime},
			{workspace: "owner", burst: slots, begin: returnTime, meanRunTime: time.Minute},
		}
		for _, p := range []namedPolicy{policies[0], unlimitedLending, policies[1]} {
			var slotsInUse, reclaimTimes []float64
			for run := range uint64(seeds) {
				s := simulate(p.newPolicy(slots, limits), generateArrivals(seed+run, workloads), nil)
				slotsInUse = append(slotsInUse, slotSeconds(s.records, measureFrom, returnTime, allRequests)/(slots*(returnTime-measureFrom).Seconds()))
				reclaimTimes = append(reclaimTimes, timeToReclaim(s.records, returnTime, int(math.Floor(guaranteed*slots))))
			}
			result.add(p.name, runTime.Seconds(), quantile(slotsInUse, 0.5), quantile(reclaimTimes, 0.5), quantile(reclaimTimes, 1))
		}
	}
	return result
}

// timeToReclaim returns the seconds from returnTime until the owner holds n slots
// at once. None of its requests ends before then, so that is when its n-th request
// starts; +Inf if it never does.
func timeToReclaim(records []*record, returnTime time.Duration, n int) float64 {
	var starts []float64
	for _, r := range records {
		if r.workspace == "owner" && r.ran {
			starts = append(starts, (r.started - returnTime).Seconds())
		}
	}
	if len(starts) < n {
		return math.Inf(1)
	}
	return quantile(starts, float64(n)/float64(len(starts)))
}

// measureOverload measures how slots are divided among three workspaces of
// different importance that each offer enough load for the whole capacity.
func measureOverload(seed uint64) *table {
	const measureFrom, end = 30 * time.Second, 120 * time.Second
	result := &table{
		name:  "overload",
		title: "Three workspaces, each offering load for the whole capacity",
		columns: []string{"policy", "importance", "share of the slots", "refused",
			"p50 of the answered, s", "p99 of the answered, s", "refused at once, of all refused"},
	}
	importance := map[string]int{"one": 1, "two": 2, "four": 4}
	limits := make(map[string]workspace.Limits)
	for name, weight := range importance {
		limits[name] = workspace.Limits{Importance: weight}
	}
	names := []string{"one", "two", "four"}
	var workloads []workload
	for _, name := range names {
		workloads = append(workloads, workload{workspace: name, rate: slots, end: end, meanRunTime: time.Second})
	}
	for _, p := range policies {
		s := simulate(p.newPolicy(slots, limits), generateArrivals(seed, workloads), nil)
		total := slotSeconds(s.records, measureFrom, end, allRequests)
		for _, name := range names {
			answered := latencies(s.records, func(r *record) bool { return r.workspace == name && r.ran && r.arrived > measureFrom })
			refused := func(r *record) bool { return r.workspace == name && r.wasRefused }
			result.add(p.name, importance[name],
				slotSeconds(s.records, measureFrom, end, inWorkspace(name))/total,
				fraction(s.records, inWorkspace(name), refused),
				quantile(answered, 0.5), quantile(answered, 0.99),
				fraction(s.records, refused, func(r *record) bool { return r.refusedAt == r.arrived }))
		}
	}
	return result
}

// measureDeadlines measures the outcome of requests with deadlines at 1.5 times
// the capacity.
func measureDeadlines(seed uint64) *table {
	const end = 120 * time.Second
	result := &table{
		name:  "deadlines",
		title: "Deadlines of 2 to 6 s at 1.5 times the capacity",
		columns: []string{"policy", "answered in time, of what the slots allow", "started but late, of the started",
			"refused at once, of all refused", "p99 held before a refusal, s"},
	}
	workloads := []workload{{workspace: "branch", rate: 1.5 * slots, end: end, meanRunTime: time.Second, minDeadline: 2 * time.Second, maxDeadline: 6 * time.Second}}
	started := func(r *record) bool { return r.ran }
	refused := func(r *record) bool { return r.wasRefused }
	for _, p := range policies {
		s := simulate(p.newPolicy(slots, nil), generateArrivals(seed, workloads), nil)
		var waits []float64
		for _, r := range s.records {
			if r.wasRefused {
				waits = append(waits, (r.refusedAt - r.arrived).Seconds())
			}
		}
		result.add(p.name,
			fraction(s.records, allRequests, (*record).inTime)*1.5,
			fraction(s.records, started, func(r *record) bool { return !r.inTime() }),
			fraction(s.records, refused, func(r *record) bool { return r.refusedAt == r.arrived }),
			quantile(waits, 0.99))
	}
	return result
}

// measureRetries measures the success rate of callers that are refused during a
// peak and retry once, after the suggested delay.
func measureRetries(seed uint64) *table {
	const peakEnd, end = 10 * time.Second, 90 * time.Second
	result := &table{
		name:    "returning",
		title:   "A peak of three times the capacity for 10 s, then half; refused callers retry once, after the suggested delay",
		columns: []string{"policy", "refused on arrival or in the queue", "answered in time on coming back"},
	}
	workloads := []workload{
		{workspace: "branch", rate: 3 * slots, end: peakEnd, meanRunTime: time.Second, minDeadline: 2 * time.Second, maxDeadline: 6 * time.Second},
		{workspace: "branch", rate: slots / 2.0, begin: peakEnd, end: end, meanRunTime: time.Second, minDeadline: 2 * time.Second, maxDeadline: 6 * time.Second},
	}
	for _, p := range policies {
		initial := generateArrivals(seed, workloads)
		retries := make(map[*record]bool)
		s := simulate(p.newPolicy(slots, nil), initial, func(s *simulation, r *record) {
			if retries[r] || r.retryAfter == 0 {
				return
			}
			retry := *r
			retry.wasRefused = false
			retry.arrived = r.refusedAt + r.retryAfter
			retry.deadline = retry.arrived + r.deadline - r.arrived
			retries[&retry] = true
			s.schedule(&retry)
		})
		isRetry := func(r *record) bool { return retries[r] }
		result.add(p.name, float64(len(retries))/float64(len(initial)), fraction(s.records, isRetry, (*record).inTime))
	}
	return result
}
