package pick

import "time"

// Import is the cost of moving cached blocks from one engine to another.
type Import struct {
	// Overhead is the time of a move that does not depend on its size: the
	// orders to both engines and the first round trip.
	Overhead time.Duration
	// TokenBytes is the size of the KV cache for one token.
	TokenBytes float64
	// Bandwidth is the bandwidth between two engines in bytes per second.
	Bandwidth float64
}

// perToken returns the time in seconds to move the KV cache of one token.
func (m *Import) perToken() float64 { return m.TokenBytes / m.Bandwidth }

// Cost returns the time to move to c the blocks that the best holder has cached
// and c has not.
func (m *Import) Cost(q *Query, c *Candidate) time.Duration {
	tokens := float64(q.BestMatch-c.Matched) * q.BlockTokens()
	return m.Overhead + seconds(tokens*m.perToken())
}

// BreakEven returns the number of tokens above which moving a prefix is faster
// than computing it at the given rate in tokens per second. ok is false if moving
// is never faster because the link is slower than the engine.
func (m *Import) BreakEven(prefillRate float64) (tokens float64, ok bool) {
	saved := 1/prefillRate - m.perToken()
	if saved <= 0 {
		return 0, false
	}
	return m.Overhead.Seconds() / saved, true
}

// worthwhile reports whether moving the best holder's prefix to c is faster
// than computing it there.
func (m *Import) worthwhile(q *Query, c *Candidate) bool {
	if q.BestMatch <= c.Matched {
		return false
	}
	tokens := float64(q.BestMatch-c.Matched) * q.BlockTokens()
	breakEven, ok := m.BreakEven(c.Load.PrefillRate)
	return ok && tokens > breakEven
}
