// Package engineapi defines the HTTP API that an agent uses at a model engine in addition to its model
// calls:
//
//	GET  /load                   load figures (Load), with their age
//	GET  /cache/events?after=N   cache events (CacheEvents) with a number above N
//	POST /orders                 carries out an Order; returns State
//	GET  /orders                 reads back State
//
// An engine that checks fencing rejects an order that has an old token with status 409. An engine that
// does not support one of the paths returns status 404, and the agent works without it.
//
// Answers to model calls may carry the header X-Stream-Id. An answer that was interrupted is resumed by
// sending the call again with that header and X-Resume-Offset; the engine repeats X-Resume-Offset when
// it resumes, and returns status 404 when it no longer knows the stream. X-Priority orders the calls
// that wait in the engine, highest first.
//
// The responses of any endpoint may carry these headers. Lilackeel-Rate-Limit advertises the number of
// requests per second that the endpoint accepts, and applies for as long as its responses carry it.
// Retry-After with status 503 rejects the request and requests a pause of that time, during which the
// sender must send nothing to the endpoint; Lilackeel-Not-Run then says that the request has not run.
// Lilackeel-Leaving announces that the endpoint is about to stop and must get no new calls.
package engineapi

// Paths of the API.
const (
	PathLoad        = "/load"
	PathCacheEvents = "/cache/events"
	PathOrders      = "/orders"
	// QueryAfter is the query parameter of PathCacheEvents.
	QueryAfter = "after"
)

// Headers of requests and responses.
const (
	HeaderStreamID     = "X-Stream-Id"
	HeaderResumeOffset = "X-Resume-Offset"
	HeaderPriority     = "X-Priority"
	HeaderRateLimit    = "Lilackeel-Rate-Limit"
	HeaderLeaving      = "Lilackeel-Leaving"
	HeaderNotRun       = "Lilackeel-Not-Run"
)

// Values of Order.Kind.
const (
	OrderLoadModel     = "load_model"
	OrderLoadAdapter   = "load_adapter"
	OrderUnloadAdapter = "unload_adapter"
	OrderChangeRole    = "change_role"
)

// Load is the load that an engine reports. Its figures are AgeMS old.
type Load struct {
	// Running and Waiting are the numbers of calls in the running batch and in the queue.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// CacheUsed is the fraction of the prefix cache's blocks in use, from 0 to 1.
	CacheUsed float64 `json:"cache_used"`
	// TokensPerSecond is the engine's throughput.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// RankLoad is the load of the rank relative to its group's mean.
	RankLoad float64 `json:"rank_load"`
	// AgeMS is the age of the figures, in milliseconds.
	AgeMS int64 `json:"age_ms"`

	// The fields below are optional: an engine omits those that it does not know.

	// PrefillTokens is the number of prompt tokens accepted and not yet computed.
	PrefillTokens *int64 `json:"prefill_tokens,omitempty"`
	// PrefillRate is the number of prompt tokens computed per second.
	PrefillRate float64 `json:"prefill_rate,omitempty"`
	// StepUS is the mean duration of the recent steps of the engine, or of its group, in
	// microseconds. If the step in progress has taken longer than that, it is the duration of that
	// step so far. An engine that has not run a step recently omits it.
	StepUS int64 `json:"step_us,omitempty"`
	// OwnStepUS is the part of StepUS in which the engine itself computed, without the time spent
	// waiting for other ranks.
	OwnStepUS int64 `json:"own_step_us,omitempty"`
	// Adapters lists the adapters in memory: null if they are not known, which differs from an empty
	// list.
	Adapters []string `json:"adapters"`
}

// CacheEvent reports prefix blocks that the engine stored or evicted.
type CacheEvent struct {
	// Seq is the sequence number of the event in the run of the engine, from 1.
	Seq uint64 `json:"seq"`
	// Stored and Removed list the hashes of the blocks.
	Stored  []uint64 `json:"stored,omitempty"`
	Removed []uint64 `json:"removed,omitempty"`
	// Cleared is true when the whole cache was emptied.
	Cleared bool `json:"cleared,omitempty"`
}

// CacheEvents is the response of PathCacheEvents.
type CacheEvents struct {
	// Run identifies the run of the engine: it changes at every start of its process.
	Run string `json:"run"`
	// Events are in the order of Seq.
	Events []CacheEvent `json:"events"`
}

// Order tells an engine to change what it has loaded.
type Order struct {
	// ID identifies the order in logs.
	ID string `json:"id"`
	// Kind is one of the constants above, or OrderLoadMap.
	Kind string `json:"kind"`
	// Model, Version, Adapter and Role are the parameters of the order; those that its kind does not
	// need are empty.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	// Fence is the fencing token of the sender of the order.
	Fence uint64 `json:"fence"`
	// Epoch, Digest and Map describe the map of OrderLoadMap. Keep lists the epochs whose weights must
	// stay loaded; the engine may unload those of others.
	Epoch  uint64     `json:"epoch,omitempty"`
	Digest uint64     `json:"digest,omitempty"`
	Map    *ExpertMap `json:"map,omitempty"`
	Keep   []uint64   `json:"keep,omitempty"`
}

// State is what an engine has loaded.
type State struct {
	// Model, Version and Role describe what the engine currently serves.
	Model   string `json:"model"`
	Version string `json:"version"`
	Role    string `json:"role"`
	// Adapters are the adapters that it serves, in any order.
	Adapters []string `json:"adapters"`
	// Fence is the highest fencing token that the engine has seen; zero if it does not check tokens.
	Fence uint64 `json:"fence"`
	// Orders is the number of orders carried out.
	Orders int `json:"orders"`
}
