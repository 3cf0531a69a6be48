package pick

import (
	"slices"
	"time"

	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/speed"
)

// Slowdown scores the extra time that a call takes at an endpoint that works slower than nominal.
type Slowdown struct{}

// Phase implements Scorer.
func (Slowdown) Phase() Phase { return AfterFirstToken }

// Cost implements Scorer.
func (Slowdown) Cost(q *Query, c *Candidate) time.Duration {
	if c.Slowdown <= speed.Nominal {
		return 0
	}
	return time.Duration((c.Slowdown - speed.Nominal) * float64(c.Load.StepTime) * q.OutputTokens(c))
}

const (
	// maxSlowShare is the share of the endpoints up to which slow endpoints get no calls while the
	// others have free slots. Beyond it, all entries would send their calls to the few others
	// before the next load reports show that these are full.
	maxSlowShare = 2.0 / 3
	// maxSlowShareWithoutSlots is the same share for endpoints that state no slots. They are never
	// full, so that the slow ones would get no calls at all.
	maxSlowShareWithoutSlots = 1.0 / 3
	// maxScanned is the number of endpoints that one selection examines to find one that is not
	// slow and has a free slot. It covers the largest lock-step groups, and limits the cost of a
	// selection in larger pools.
	maxScanned = 256
)

// rank orders candidates in a pool with slow endpoints; the lowest is best.
type rank int

const (
	fastWithFreeSlot rank = iota
	slowWithFreeSlot
	withoutFreeSlot
)

// rankOf returns the rank of a candidate. With preferFast false, slow endpoints are not
// distinguished from others.
func rankOf(c *Candidate, preferFast bool) rank {
	slots := float64(c.Endpoint.Slots)
	switch {
	case slots > 0 && c.Load.Running+0.5 > slots: // Running is an estimate and need not be whole
		return withoutFreeSlot
	case preferFast && c.Slowdown > speed.Nominal:
		return slowWithFreeSlot
	}
	return fastWithFreeSlot
}

// preferFast keeps the candidates with the best rank if the pool has slow endpoints. If none of the
// candidates is fast and has a free slot, it looks for such endpoints in the list: the few sampled
// candidates may all be slow, or full, while most endpoints are not.
func (p *Picker) preferFast(s *scratch, list []*endpoint.Endpoint, view *endpoint.View) {
	q := &s.query
	slow := p.config.Speeds.CountSlow(q.Now, func(id string) bool {
		e, known := view.Get(id)
		return known && e.Pool == q.Pool
	})
	if slow == 0 || list[0].Slots <= 0 && float64(slow) > maxSlowShareWithoutSlots*float64(len(list)) {
		return
	}
	preferFast := float64(slow) <= maxSlowShare*float64(len(list))
	best := withoutFreeSlot
	for i := range s.candidates {
		c := &s.candidates[i]
		c.Slowdown = p.config.Speeds.Slowdown(q.Now, c.Endpoint.ID)
		best = min(best, rankOf(c, preferFast))
	}
	if best != fastWithFreeSlot && preferFast {
		best = p.scanFast(s, list, best)
	}
	s.candidates = slices.DeleteFunc(s.candidates, func(c Candidate) bool { return rankOf(&c, preferFast) > best })
}

// scanFast adds endpoints of a better rank than best to the candidates, and returns the best rank.
// It stops when it has found as many fast endpoints with a free slot as a selection samples.
func (p *Picker) scanFast(s *scratch, list []*endpoint.Endpoint, best rank) rank {
	q := &s.query
	start, found := q.Rand.IntN(len(list)), 0
	for i := range min(len(list), maxScanned) {
		c := Candidate{Endpoint: list[(start+i)%len(list)]}
		c.Slowdown = p.config.Speeds.Slowdown(q.Now, c.Endpoint.ID)
		if best == slowWithFreeSlot && c.Slowdown > speed.Nominal || !(Excluded{}).Keep(q, &c) || !p.rotation.Keep(q, &c) {
			continue
		}
		c.Load = p.loads.Estimate(q.Now, c.Endpoint.ID)
		r := rankOf(&c, true)
		if r >= best && r != fastWithFreeSlot || !p.keep(q, &c) {
			continue
		}
		best = r
		s.candidates = append(s.candidates, c)
		if r == fastWithFreeSlot {
			if found++; found == p.sampler.candidates {
				break
			}
		}
	}
	return best
}
