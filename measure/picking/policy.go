package picking

import (
	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/endpoint/outlier"
	"github.com/lilackeel/lilackeel/endpoint/pick"
	"github.com/lilackeel/lilackeel/endpoint/prefix"
)

// policy is one way to pick. The baselines have a choose function of their
// own; the others configure the picker.
type policy struct {
	name   string
	pick   pick.Config
	load   load.Config
	prefix prefix.Config
	// outlier sets up the detector of all policies that go by the picker.
	outlier outlier.Config
	choose  func(e *entry, r *pick.Request) (string, pick.Explain, error)
	// usesIndex and usesReports say what the policy reads; the rest is not fed,
	// which changes nothing but the time of the run.
	usesIndex, usesReports bool
}

// lilackeelName is the name of the policy that the entry uses.
const lilackeelName = "lilackeel"

// lilackeel is the policy that the entry uses.
func lilackeel() policy {
	return policy{name: lilackeelName, choose: byPicker, usesIndex: true, usesReports: true}
}

// compared are the policies of the main comparison.
func compared() []policy {
	return []policy{
		{name: "random", choose: random},
		{name: "round robin", choose: roundRobin},
		{name: "least requests", choose: leastRequests},
		{name: "least requests of two", choose: leastOfTwo},
		{name: "prefix only", choose: byPicker, usesIndex: true,
			pick: pick.Config{Scorers: []pick.Scorer{pick.Prefill{}}, ShardSize: -1}},
		{name: "load only, lowest report", choose: lowestReport, usesReports: true},
		{name: "load only, sampled and aged", choose: byPicker, usesReports: true,
			pick: pick.Config{Scorers: []pick.Scorer{pick.Wait{StdDevScale: 1}, pick.Decode{StdDevScale: 1}}, ShardSize: -1, PrefixHolders: -1}},
		lilackeel(),
	}
}

// byPicker picks as the entry does.
func byPicker(e *entry, r *pick.Request) (string, pick.Explain, error) {
	chosen, explain, err := e.picker.Pick(e.sim.clock.now, e.rng, r)
	return chosen.ID, explain, err
}

// random picks any endpoint.
func random(e *entry, _ *pick.Request) (string, pick.Explain, error) {
	return e.sim.ranks[e.rng.IntN(len(e.sim.ranks))].record.ID, pick.Explain{}, nil
}

// roundRobin picks the next endpoint of the entry's own turn.
func roundRobin(e *entry, _ *pick.Request) (string, pick.Explain, error) {
	e.turn = (e.turn + 1) % len(e.sim.ranks)
	return e.sim.ranks[e.turn].record.ID, pick.Explain{}, nil
}

// leastRequests picks the endpoint with the fewest calls of this entry.
func leastRequests(e *entry, _ *pick.Request) (string, pick.Explain, error) {
	return e.lowest(func(id string) int { return e.loads.InFlight(id) }), pick.Explain{}, nil
}

// leastOfTwo picks the better of two random endpoints by leastRequests.
func leastOfTwo(e *entry, _ *pick.Request) (string, pick.Explain, error) {
	a := e.sim.ranks[e.rng.IntN(len(e.sim.ranks))].record.ID
	b := e.sim.ranks[e.rng.IntN(len(e.sim.ranks))].record.ID
	if e.loads.InFlight(b) < e.loads.InFlight(a) {
		a = b
	}
	return a, pick.Explain{}, nil
}

// lowestReport picks the endpoint whose last report is the lowest.
func lowestReport(e *entry, _ *pick.Request) (string, pick.Explain, error) {
	return e.lowest(func(id string) int { return e.sim.lastReports[id] }), pick.Explain{}, nil
}

// lowest returns the endpoint with the lowest value, a random one of equals.
func (e *entry) lowest(value func(id string) int) string {
	best, least, equals := "", 0, 0
	for _, r := range e.sim.ranks {
		v := value(r.record.ID)
		switch {
		case best == "" || v < least:
			best, least, equals = r.record.ID, v, 1
		case v == least:
			equals++
			if e.rng.IntN(equals) == 0 {
				best = r.record.ID
			}
		}
	}
	return best
}
