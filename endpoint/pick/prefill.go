package pick

import "time"

// Prefill scores the time to compute the part of the prompt that is not cached.
type Prefill struct {
	// Import is the cost of moving a cached prefix; nil if prefixes are not moved.
	Import *Import
}

// Phase implements Scorer.
func (Prefill) Phase() Phase { return BeforeFirstToken }

// Cost implements Scorer. If another candidate has cached a longer prefix, the cost is
// the lower of moving that prefix and computing it.
func (s Prefill) Cost(q *Query, c *Candidate) time.Duration {
	compute := prefillTime(q, c, c.Matched)
	if s.Import == nil || q.BestMatch <= c.Matched {
		return compute
	}
	moved := s.Import.Cost(q, c) + prefillTime(q, c, q.BestMatch)
	return min(compute, moved)
}

// prefillTime returns the time to compute the prompt except for its leading blocks.
func prefillTime(q *Query, c *Candidate, blocks int) time.Duration {
	tokens := float64(q.PromptTokens) - float64(blocks)*q.BlockTokens()
	return seconds(max(tokens, 0) / c.Load.PrefillRate)
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
