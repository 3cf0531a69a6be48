package engineapi

// PathSteps is served by the agent, for engines that are ranks of a group:
//
//	POST /steps    StepRequest; answers StepGrant
//
// A rank begins no step for which it holds no grant. It has at most one request
// open, drops the answer of a request that it has given up, and remembers
// grants for as long as it runs.
const PathSteps = "/steps"

// PathExperts is served by engines that are ranks of a group:
//
//	GET /experts   Experts
const PathExperts = "/experts"

// OrderLoadMap asks a rank to load the weights of an epoch's map. It is answered
// once they are in place. The map in use changes only by grants.
const OrderLoadMap = "load_map"

// StepRequest asks for a grant of further steps.
type StepRequest struct {
	// Group and Rank name the rank that asks.
	Group string `json:"group"`
	Rank  int    `json:"rank"`
	// Run names the run of the engine: new at every start of its process.
	Run string `json:"run"`
	// Step is the next step that the rank begins, from 1; zero if it has just
	// started and its group does not know either.
	Step uint64 `json:"step"`
	// Granted is the highest step granted to this run, by whichever agent; zero
	// for none.
	Granted uint64 `json:"granted"`
	// Loaded lists the maps whose weights are in place.
	Loaded []LoadedMap `json:"loaded,omitempty"`
}

// LoadedMap names a map that an engine has loaded.
type LoadedMap struct {
	// Epoch numbers the maps of a group; Digest is the hash of the map's content.
	Epoch  uint64 `json:"epoch"`
	Digest uint64 `json:"digest"`
}

// StepGrant allows the steps from From to Until, without Until, with the map of
// Epoch. Without a grant Until is zero, and the rank asks again.
type StepGrant struct {
	Epoch uint64 `json:"epoch"`
	From  uint64 `json:"from"`
	Until uint64 `json:"until"`
	// First is set for a rank that does not know its step: the group begins at
	// the highest of its ranks' first steps.
	First uint64 `json:"first,omitempty"`
}

// ExpertMap says which expert sits in which slot, by layer, then rank, then slot.
type ExpertMap struct {
	// Layers, Ranks and SlotsPerRank are the dimensions of Slots.
	Layers       int `json:"layers"`
	Ranks        int `json:"ranks"`
	SlotsPerRank int `json:"slots_per_rank"`
	// Slots holds the number of the expert in each slot, 0xffff in an empty one.
	Slots []uint16 `json:"slots"`
}

// Experts counts the tokens that the rank's experts have handled in its run.
type ExpertCounts struct {
	// Run names the run of the engine, as in StepRequest.
	Run string `json:"run"`
	// Steps counts the steps run.
	Steps uint64 `json:"steps"`
	// Tokens is by layer and then expert.
	Tokens [][]uint64 `json:"tokens"`
}
