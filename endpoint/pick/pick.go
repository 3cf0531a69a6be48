// Package pick chooses the endpoint of a call: it samples candidates, filters
// them, scores each one and picks the cheapest.
//
// All scores are times, so that they add up without weights of mixed units:
// the cost of a candidate is the time that the call would lose there, plus
// the time that it would make others lose. The number of candidates does not
// depend on the size of the fleet, and so neither does the cost of a choice.
//
// Filters, scores and the sampler stand behind narrow interfaces, one file
// each, named for what they weigh.
//
// Times are time.Duration since an arbitrary start, monotonic.
package pick

import (
	"math/rand/v2"
	"time"

	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/load"
)

// Request is what the choice needs to know of a call.
type Request struct {
	// Pool, Model, Adapter and Version say what has to serve the call. Model,
	// Adapter and Version are empty for a service; an empty Version is any.
	Pool, Model, Adapter, Version string
	// Workspace is the caller's workspace.
	Workspace string
	// Zone is the availability zone of the entry.
	Zone string
	// PathDelays is by how much an answer is expected to be late on the way from each zone.
	PathDelays map[string]time.Duration
	// Priority is the priority inside the workspace; higher goes first. It does
	// not change the choice; it is passed on to the engine.
	Priority int
	// Prompt holds the chained hashes of the blocks of the prompt.
	Prompt []uint64
	// PromptTokens and MaxTokens are the size of the call.
	PromptTokens, MaxTokens int
	// Exclude lists the endpoints that have been tried.
	Exclude []string
	// Allow, if set, reports whether an endpoint may be picked at all.
	Allow func(e *endpoint.Endpoint) bool
	// Deadline is the time left for the call; zero is no deadline.
	Deadline time.Duration
}

// Candidate is an endpoint that is weighed for a call.
type Candidate struct {
	// Endpoint is the record in the table; it must not be changed.
	Endpoint *endpoint.Endpoint
	// Load is what the tracker believes of the endpoint.
	Load load.Estimate
	// Matched is the number of leading blocks of the prompt thought cached.
	Matched int
	// InShard is true for an endpoint of the workspace's shard.
	InShard bool
	// FirstToken is the expected time to the first token: the part of Cost
	// that passes before it.
	FirstToken time.Duration
	// Cost is the sum of the scores.
	Cost time.Duration
}

// Explain says how a choice was made.
type Explain struct {
	// Chosen and RunnerUp are the best two candidates; RunnerUp.Endpoint is
	// nil when there was only one.
	Chosen, RunnerUp Candidate
	// Considered is the number of candidates sampled, Dropped the number of
	// them that a filter dropped.
	Considered, Dropped int
	// ImportFrom is the endpoint from which moving the cached prefix beats
	// computing it again, empty when there is none.
	ImportFrom string
	// ImportBlocks is the number of leading blocks to move.
	ImportBlocks int
}

// Query is one choice in the making, as filters and scores see it.
type Query struct {
	*Request
	// Now is the time of the choice.
	Now time.Duration
	// Rand is the random source of the choice.
	Rand *rand.Rand
	// BestMatch is the greatest Matched among the candidates, in blocks.
	BestMatch int
	// Holder is the candidate that has BestMatch; nil when none has any block.
	BestHolder *Candidate
}

// BlockTokens is the number of prompt tokens in a block.
func (q *Query) BlockTokens() float64 {
	if len(q.Prompt) == 0 {
		return 0
	}
	return float64(q.PromptTokens) / float64(len(q.Prompt))
}

// AnswerTokens is the number of tokens that the call is expected to produce.
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

// Phase says when the time that a score foresees passes.
type Phase int

// The phases of a call.
const (
	// BeforeFirstToken is time that delays the first token of the call.
	BeforeFirstToken Phase = iota
	// AfterFirstToken is time lost later, or by others.
	AfterFirstToken
)

// Scorer weighs one aspect of a candidate.
type Scorer interface {
	// Phase says when the time passes.
	Phase() Phase
	// Cost is the time that the call, or others because of it, would lose.
	Cost(q *Query, c *Candidate) time.Duration
}
