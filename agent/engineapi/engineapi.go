// Package engineapi is the small HTTP API that an agent expects of a model
// engine beside its model calls:
//
//	GET  /load                   load figures (Load), with their age
//	GET  /cache/events?after=N   cache events (CacheEvents) later than number N
//	POST /orders                 carries out an Order; answers State
//	GET  /orders                 reads back State
//
// An engine that checks fencing answers an order with an old token by status
// 409. An engine without one of the paths answers 404; the agent does without.
//
// Answers to model calls may carry the header X-Stream-Id. A cut answer is
// resumed by sending the call again with that header and X-Resume-Offset; the
// engine repeats X-Resume-Offset when it resumes, and answers 404 when it no
// longer knows the stream. X-Priority orders the calls that wait, highest
// first. An answer of any endpoint may name in Lilackeel-Rate-Limit the requests a second
// that it takes, for as long as its answers say so. An endpoint that rejects a request with 503 and
// Retry-After wants nothing more from its sender for that time; Lilackeel-Not-Run says that the
// request did not run. Lilackeel-Leaving in an answer says that the endpoint is about to stop and
// is to get no new work.
package engineapi

// Paths of the API.
const (
	PathLoad        = "/load"
	PathCacheEvents = "/cache/events"
	PathOrders      = "/orders"
	// QueryAfter is the parameter of PathCacheEvents.
	QueryAfter = "after"
)

// Headers of model calls.
const (
	HeaderStreamID     = "X-Stream-Id"
	HeaderResumeOffset = "X-Resume-Offset"
	HeaderPriority     = "X-Priority"
	HeaderRateLimit    = "Lilackeel-Rate-Limit"
	HeaderLeaving      = "Lilackeel-Leaving"
	HeaderNotRun       = "Lilackeel-Not-Run"
)

// Kinds of Order.
const (
	OrderLoadModel     = "load_model"
	OrderLoadAdapter   = "load_adapter"
	OrderUnloadAdapter = "unload_adapter"
	OrderChangeRole    = "change_role"
)

// Load is what an engine says of its load. It lags by AgeMS.
type Load struct {
	// Running and Waiting count the calls in the running batch and in the queue.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// CacheUsed is the share of the prefix cache's blocks in use, 0 to 1.
	CacheUsed float64 `json:"cache_used"`
	// TokensPerSecond is the engine's throughput.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// RankLoad is the load of the rank relative to its group's mean.
	RankLoad float64 `json:"rank_load"`
	// AgeMS is the age of the figures, in milliseconds.
	AgeMS int64 `json:"age_ms"`

	// The figures below are optional: an engine leaves out what it does not know.

	// PrefillTokens counts the prompt tokens accepted and not yet computed.
	PrefillTokens *int64 `json:"prefill_tokens,omitempty"`
	// PrefillRate is the prompt tokens computed per second.
	PrefillRate float64 `json:"prefill_rate,omitempty"`
	// StepUS is the mean time of the recent steps of the engine, or of its group,
	// in microseconds. A step that has not ended counts with its time so far when
	// that is longer. An engine that has run no step lately leaves it out.
	StepUS int64 `json:"step_us,omitempty"`
	// OwnStepUS is the part of StepUS in which the engine itself computed, without
	// the wait for other ranks.
	OwnStepUS int64 `json:"own_step_us,omitempty"`
	// Adapters are the adapters in memory: null if not known, which is not the
	// same as an empty list.
	Adapters []string `json:"adapters"`
}

// CacheEvent says that the engine stored or dropped prefix blocks.
type CacheEvent struct {
	// Seq numbers the events of one run of the engine from 1.
	Seq uint64 `json:"seq"`
	// Stored and Removed list the hashes of the blocks.
	Stored  []uint64 `json:"stored,omitempty"`
	Removed []uint64 `json:"removed,omitempty"`
	// Cleared is true when the whole cache was emptied.
	Cleared bool `json:"cleared,omitempty"`
}

// CacheEvents are the cache events later than a number.
type CacheEvents struct {
	// Run names the run of the engine: new at every start of its process.
	Run string `json:"run"`
	// Events are in the order of Seq.
	Events []CacheEvent `json:"events"`
}

// Order asks an engine to change what it has loaded.
type Order struct {
	// ID identifies the order in logs.
	ID string `json:"id"`
	// Kind is one of the kinds of Order above, or OrderLoadMap.
	Kind string `json:"kind"`
	// Model, Version, Adapter and Role are what the order is about, as far as
	// its kind needs them.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	// Fence is the fencing token of who gives the order.
	Fence uint64 `json:"fence"`
	// Epoch, Digest and Map are the map of OrderLoadMap. Keep lists the epochs
	// whose weights must stay in place; the engine may drop others.
	Epoch  uint64     `json:"epoch,omitempty"`
	Digest uint64     `json:"digest,omitempty"`
	Map    *ExpertMap `json:"map,omitempty"`
	Keep   []uint64   `json:"keep,omitempty"`
}

// State is what an engine has loaded.
type State struct {
	// Model, Version and Role are what the engine serves now.
	Model   string `json:"model"`
	Version string `json:"version"`
	Role    string `json:"role"`
	// Adapters are the adapters that it serves, in any order.
	Adapters []string `json:"adapters"`
	// Fence is the highest token seen; engines that ignore tokens say zero.
	Fence uint64 `json:"fence"`
	// Orders counts the orders carried out.
	Orders int `json:"orders"`
}
