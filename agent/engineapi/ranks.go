package engineapi

// PathSteps is served by the agent, for engines that are ranks of a group:
//
//	POST /steps    StepRequest; returns StepGrant
//
// A rank does not begin a step without a grant for it. It has at most one request open, discards the
// answer to a request that it has abandoned, and keeps its grants for as long as its process runs.
const PathSteps = "/steps"

// PathExperts is served by engines that are ranks of a group:
//
//	GET /experts   ExpertCounts
const PathExperts = "/experts"

// OrderLoadMap is the kind of Order that makes a rank load the weights of an epoch's map. The rank
// responds once they are loaded. Only a StepGrant changes the map in use.
const OrderLoadMap = "load_map"

// StepRequest requests a grant of further steps.
type StepRequest struct {
	// Group and Rank identify the rank.
	Group string `json:"group"`
	Rank  int    `json:"rank"`
	// Run identifies the run of the engine: it changes at every start of its process.
	Run string `json:"run"`
	// Step is the next step that the rank begins, counted from 1. It is zero if the rank has just
	// started and its group does not know the step either.
	Step uint64 `json:"step"`
	// Granted is the highest step granted to this run by any process of the agent; zero for none.
	Granted uint64 `json:"granted"`
	// Loaded lists the maps whose weights are loaded.
	Loaded []LoadedMap `json:"loaded,omitempty"`
}

// LoadedMap identifies a map that an engine has loaded.
type LoadedMap struct {
	// Epoch is the number of the map within its group, Digest the hash of its contents.
	Epoch  uint64 `json:"epoch"`
	Digest uint64 `json:"digest"`
}

// StepGrant allows the steps from From up to, but not including, Until with the map of Epoch. If Until
// is zero, no step is granted and the rank requests steps again.
type StepGrant struct {
	Epoch uint64 `json:"epoch"`
	From  uint64 `json:"from"`
	Until uint64 `json:"until"`
	// First is set for a rank that does not know its step. The group begins at the highest of the
	// First of its ranks.
	First uint64 `json:"first,omitempty"`
}

// ExpertMap is the placement of experts in slots, by layer, then rank, then slot.
type ExpertMap struct {
	// Layers, Ranks and SlotsPerRank are the dimensions of Slots.
	Layers       int `json:"layers"`
	Ranks        int `json:"ranks"`
	SlotsPerRank int `json:"slots_per_rank"`
	// Slots holds the number of the expert in each slot, or 0xffff for an empty slot.
	Slots []uint16 `json:"slots"`
}

// ExpertCounts counts the tokens that the rank's experts have processed in its run.
type ExpertCounts struct {
	// Run identifies the run of the engine, as in StepRequest.
	Run string `json:"run"`
	// Steps is the number of steps run.
	Steps uint64 `json:"steps"`
	// Tokens is indexed by layer and then expert.
	Tokens [][]uint64 `json:"tokens"`
}
