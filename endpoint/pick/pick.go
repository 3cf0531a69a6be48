// Package pick selects the endpoint for a call: it samples candidates, filters
// them, scores each one and picks the one with the lowest cost.
//
// All scores are times, so they can be added without converting units: the cost
// of a candidate is the time that the call would take there, plus the time by
// which it would delay other calls. The number of candidates, and so the cost of
// a selection, does not depend on the size of the fleet.
//
// Filters and scorers implement narrow interfaces. Each has its own file, named
// after what it evaluates.
//
// Times are monotonic, expressed as time.Duration since an arbitrary start.
package pick

import (
	"math/rand/v2"
	"time"

	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/load"
)

// Request describes a call for the selection.
type Request struct {
	// Pool, Model, Adapter and Version identify what must serve the call. Model,
	// Adapter and Version are empty for a service; an empty Version matches any.
	Pool, Model, Adapter, Version string
	// Workspace is the caller's workspace.
	Workspace string
	// Zone is the availability zone of the entry.
	Zone string
	// PathDelays is the additional network delay expected for answers from each zone.
	PathDelays map[string]time.Duration
	// Priority is the priority inside the workspace; higher goes first. It does
	// not affect the selection, but is passed on to the engine.
	Priority int
	// Prompt contains the chained hashes of the blocks of the prompt.
	Prompt []uint64
	// PromptTokens and MaxTokens are the size of the call.
	PromptTokens, MaxTokens int
	// Exclude lists the ids of endpoints that have already been tried.
	Exclude []string
	// Allow, if set, reports whether an endpoint may be picked at all.
	Allow func(e *endpoint.Endpoint) bool
	// Deadline is the time left for the call; zero means no deadline.
	Deadline time.Duration
}

// Candidate is an endpoint that is considered for a call.
type Candidate struct {
	// Endpoint is the record in the table; it must not be modified.
	Endpoint *endpoint.Endpoint
	// Load is the tracker's load estimate for the endpoint.
	Load load.Estimate
	// Slowdown is the factor by which the endpoint works slower than nominal; at most 1, or zero,
	// if it is not slow.
	Slowdown float64
	// Matched is the number of leading blocks of the prompt that are expected to
	// be cached at the endpoint.
	Matched int
	// InShard is true for an endpoint of the workspace's shard.
	InShard bool
	// FirstToken is the expected time to first token: the sum of the scores of
	// phase BeforeFirstToken.
	FirstToken time.Duration
	// Cost is the sum of the scores.
	Cost time.Duration
}

// Explain describes how a selection was made.
type Explain struct {
	// Chosen and RunnerUp are the best two candidates; RunnerUp.Endpoint is
	// nil if there was only one.
	Chosen, RunnerUp Candidate
	// Considered is the number of candidates sampled, Dropped the number of
	// those that were filtered out.
	Considered, Dropped int
	// ImportFrom is the id of the endpoint from which moving the cached prefix
	// is faster than computing it; empty if there is none.
	ImportFrom string
	// ImportBlocks is the number of leading blocks to move.
	ImportBlocks int
}

// Query is the state of one selection that is passed to filters and scorers.
type Query struct {
	*Request
	// Now is the time of the selection.
	Now time.Duration
	// Rand is the random source of the selection.
	Rand *rand.Rand
	// BestMatch is the greatest Matched among the candidates, in blocks.
	BestMatch int
	// BestHolder is the candidate with BestMatch; nil if none has any block.
	BestHolder *Candidate
}

// BlockTokens returns the mean number of prompt tokens in a block.
func (q *Query) BlockTokens() float64 {
	if len(q.Prompt) == 0 {
		return 0
	}
	return float64(q.PromptTokens) / float64(len(q.Prompt))
}

// OutputTokens returns the number of tokens that the call is expected to produce.
func (q *Query) OutputTokens(c *Candidate) float64 {
	if q.MaxTokens <= 0 {
		return c.Load.OutputTokens
	}
	return min(float64(q.MaxTokens), c.Load.OutputTokens)
}

// Filter drops candidates that must not be picked.
type Filter interface {
	// Keep reports whether the candidate may be picked.
	Keep(q *Query, c *Candidate) bool
}

// Phase is the phase of a call to which a score belongs.
type Phase int

const (
	// BeforeFirstToken is time that delays the first token of the call.
	BeforeFirstToken Phase = iota
	// AfterFirstToken is time after the first token, or a delay of other calls.
	AfterFirstToken
)

// Scorer scores one aspect of a candidate.
type Scorer interface {
	// Phase returns the phase of the call to which the cost belongs.
	Phase() Phase
	// Cost returns the time that the call takes, or by which it delays others.
	Cost(q *Query, c *Candidate) time.Duration
}
