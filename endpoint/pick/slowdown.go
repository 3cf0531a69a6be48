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
	// minFullUsage and maxFullUsage are the used fractions of the other endpoints' slots from which
	// the first and all calls go to slow endpoints. In between, their share rises linearly: entries
	// learn of each other's calls by reports only, and would all send their calls to the same few
	// endpoints with a free slot, or all to slow ones, until the next report.
	minFullUsage, maxFullUsage = 0.95, 1.05
	// maxScanned is the number of endpoints that one selection examines in a pool with slow
	// endpoints. It covers the largest lock-step groups, and limits the cost of a selection in
	// larger pools.
	maxScanned = 256
)

// preferFast keeps the candidates that are not slow, if the pool has slow endpoints and the others
// are not full, and the slow ones with a free slot if they are. If there are none among the sampled
// candidates, it looks for some in the list.
func (p *Picker) preferFast(s *scratch, list []*endpoint.Endpoint, view *endpoint.View) {
	q := &s.query
	inPool := func(id string) bool {
		e, known := view.Get(id)
		return known && e.Pool == q.Pool
	}
	if p.config.Speeds.CountSlow(q.Now, inPool) == 0 {
		return
	}
	if len(list) > maxScanned {
		start := q.Rand.IntN(len(list) - maxScanned + 1)
		list = list[start : start+maxScanned]
	}
	usage := p.surveyUsage(q, list)
	if usage.slow == 0 || usage.slots == 0 && usage.slowShare() > maxSlowShareWithoutSlots {
		return
	}
	for i := range s.candidates {
		c := &s.candidates[i]
		c.Slowdown = p.config.Speeds.Slowdown(q.Now, c.Endpoint.ID)
	}
	switch used := usage.usedSlots(); {
	case usage.slowShare() > maxSlowShare:
	case used > minFullUsage && q.Rand.Float64() < (used-minFullUsage)/(maxFullUsage-minFullUsage):
		p.keepOrFind(s, list, isSlowWithFreeSlot)
	default:
		p.keepOrFind(s, list, isFast)
	}
}

// isFast reports whether a candidate is not slow.
func isFast(c *Candidate) bool { return c.Slowdown <= speed.Nominal }

// isSlowWithFreeSlot reports whether a candidate is slow and has a free slot.
func isSlowWithFreeSlot(c *Candidate) bool {
	return c.Slowdown > speed.Nominal && c.Load.Running < float64(c.Endpoint.Slots)
}

// poolUsage is the usage of the endpoints that a call may use.
type poolUsage struct {
	// all and slow are the numbers of endpoints.
	all, slow int
	// calls and slots are those of the endpoints that are not slow.
	calls, slots float64
}

func (u *poolUsage) slowShare() float64 { return float64(u.slow) / float64(u.all) }

// usedSlots returns the used fraction of the slots of the endpoints that are not slow.
func (u *poolUsage) usedSlots() float64 { return u.calls / max(u.slots, 1) }

// surveyUsage returns the usage of the endpoints in the list that the call may use.
func (p *Picker) surveyUsage(q *Query, list []*endpoint.Endpoint) (u poolUsage) {
	for _, e := range list {
		if !(Excluded{}).Keep(q, &Candidate{Endpoint: e}) {
			continue
		}
		u.all++
		if p.config.Speeds.Slowdown(q.Now, e.ID) > speed.Nominal {
			u.slow++
		} else if e.Slots > 0 {
			u.slots += float64(e.Slots)
			u.calls += p.loads.Reported(e.ID)
		}
	}
	return u
}

// keepOrFind keeps the candidates that are wanted. If there are none, it replaces them by wanted
// endpoints of the list, up to the number that a selection samples; if there are none either, it
// keeps all candidates.
func (p *Picker) keepOrFind(s *scratch, list []*endpoint.Endpoint, wanted func(*Candidate) bool) {
	q := &s.query
	if !slices.ContainsFunc(s.candidates, func(c Candidate) bool { return wanted(&c) }) {
		start, sampled := q.Rand.IntN(len(list)), len(s.candidates)
		for i := range list {
			c := Candidate{Endpoint: list[(start+i)%len(list)]}
			c.Slowdown = p.config.Speeds.Slowdown(q.Now, c.Endpoint.ID)
			c.Load = p.loads.Estimate(q.Now, c.Endpoint.ID)
			if wanted(&c) && p.keep(q, &c) && p.rotation.Keep(q, &c) {
				s.candidates = append(s.candidates, c)
			}
			if len(s.candidates) == sampled+p.sampler.candidates {
				break
			}
		}
		if len(s.candidates) == sampled {
			return
		}
	}
	s.candidates = slices.DeleteFunc(s.candidates, func(c Candidate) bool { return !wanted(&c) })
}
