package picking

import (
	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/endpoint/outlier"
	"github.com/lilackeel/lilackeel/endpoint/pick"
	"github.com/lilackeel/lilackeel/endpoint/prefix"
)

// policy is a way to pick endpoints. Some baselines have a choose function of their
// own; all other policies are configurations of the picker.
type policy struct {
	name   string
	pick   pick.Config
	load   load.Config
	prefix prefix.Config
	// outlier configures the outlier detector; only policies that use the picker
	// depend on it.
	outlier outlier.Config
	choose  func(e *entry, r *pick.Request) (string, pick.Explain, error)
	// usesIndex and usesReports report whether the policy uses the prefix index and
	// the load reports. Unused inputs are not simulated, which only makes the run
	// faster.
	usesIndex, usesReports bool
}

// lilackeelName is the name of lilackeelPolicy.
const lilackeelName = "lilackeel"

// lilackeelPolicy returns the policy that the entry uses in production.
func lilackeelPolicy() policy {
	return policy{name: lilackeelName, choose: usePicker, usesIndex: true, usesReports: true}
}

// comparedPolicies returns the policies of the main comparison.
func comparedPolicies() []policy {
	return []policy{
		{name: "random", choose: random},
		{name: "round robin", choose: roundRobin},
		{name: "least requests", choose: leastRequests},
		{name: "least requests of two", choose: leastOfTwo},
		{name: "prefix only", choose: usePicker, usesIndex: true,
			pick: pick.Config{Scorers: []pick.Scorer{pick.Prefill{}}, ShardSize: -1}},
		{name: "load only, lowest report", choose: leastReportedCalls, usesReports: true},
		{name: "load only, sampled and aged", choose: usePicker, usesReports: true,
			pick: pick.Config{Scorers: []pick.Scorer{pick.Wait{StdDevScale: 1}, pick.Decode{StdDevScale: 1}}, ShardSize: -1, PrefixHolders: -1}},
		lilackeelPolicy(),
	}
}

// usePicker picks an endpoint with the entry's picker.
func usePicker(e *entry, r *pick.Request) (string, pick.Explain, error) {
	chosen, explain, err := e.picker.Pick(e.sim.clock.now, e.rng, r)
	return chosen.ID, explain, err
}

// random picks a random endpoint.
func random(e *entry, _ *pick.Request) (string, pick.Explain, error) {
	return e.sim.ranks[e.rng.IntN(len(e.sim.ranks))].record.ID, pick.Explain{}, nil
}

// roundRobin picks the endpoint that follows the entry's previous one.
func roundRobin(e *entry, _ *pick.Request) (string, pick.Explain, error) {
	e.roundRobinIndex = (e.roundRobinIndex + 1) % len(e.sim.ranks)
	return e.sim.ranks[e.roundRobinIndex].record.ID, pick.Explain{}, nil
}

// leastRequests picks the endpoint with the fewest calls in flight from this entry.
func leastRequests(e *entry, _ *pick.Request) (string, pick.Explain, error) {
	return e.argMin(func(id string) int { return e.loads.InFlight(id) }), pick.Explain{}, nil
}

// leastOfTwo picks the one of two random endpoints that has fewer calls in flight
// from this entry.
func leastOfTwo(e *entry, _ *pick.Request) (string, pick.Explain, error) {
	a := e.sim.ranks[e.rng.IntN(len(e.sim.ranks))].record.ID
	b := e.sim.ranks[e.rng.IntN(len(e.sim.ranks))].record.ID
	if e.loads.InFlight(b) < e.loads.InFlight(a) {
		a = b
	}
	return a, pick.Explain{}, nil
}

// leastReportedCalls picks the endpoint with the fewest running and waiting calls in
// its last report.
func leastReportedCalls(e *entry, _ *pick.Request) (string, pick.Explain, error) {
	return e.argMin(func(id string) int { return e.sim.reportedCalls[id] }), pick.Explain{}, nil
}

// argMin returns the ID of the endpoint with the lowest value; ties are broken at
// random.
func (e *entry) argMin(value func(id string) int) string {
	best, lowest, ties := "", 0, 0
	for _, r := range e.sim.ranks {
		v := value(r.record.ID)
		switch {
		case best == "" || v < lowest:
			best, lowest, ties = r.record.ID, v, 1
		case v == lowest:
			ties++
			if e.rng.IntN(ties) == 0 {
				best = r.record.ID
			}
		}
	}
	return best
}
